package gateway

import (
	"time"

	"gooseberrypin.example/router/contention"
	"gooseberrypin.example/router/event"
	"gooseberrypin.example/router/ingress"
	"gooseberrypin.example/router/refusal"
	"gooseberrypin.example/router/reservation"
)

const (
	// maxLimited bounds the upstreams in a record that were passed over because of their limits.
	maxLimited = 8
)

type (
	// Record describes a finished request for logs and metrics.
	Record struct {
		Request *Request
		// Route is nil if no route matches the request.
		Route *ingress.Route
		// Customer is the name of the customer; empty if there is none.
		Customer string
		// Version is the version of the configuration that contains the route.
		Version int64
		Pool    string
		// Took is the time from the arrival of the request to the end of its answer or its refusal.
		Took time.Duration
		// MemoryWait is the time in the queue for decode memory.
		MemoryWait time.Duration
		// PrefillTime is the time that prefills took.
		PrefillTime time.Duration
		// TimeToFirstByte is the time from the arrival of the request to the first byte of the answer.
		TimeToFirstByte time.Duration
		// Status is the HTTP status of the answer; 0 if no answer began.
		Status int
		// Upstream is the ID of the upstream that answered, or of the last one that was tried.
		Upstream string
		// Source is the ID of the last engine to which a prefill was sent.
		Source string
		// Sends counts the requests that were sent to upstreams.
		Sends Sends
		// Limited holds the IDs of the upstreams that were passed over because their limits were used up, at most
		// maxLimited.
		Limited []string
		// Reserves counts the requests for memory at decode engines.
		Reserves int
		// SinceFirstTry is the time from the first attempt of a request that was refused before to the arrival
		// of this one; zero for the first attempt.
		SinceFirstTry time.Duration
		// Tokens is the memory to reserve for a generation, in tokens.
		Tokens int
		// Standing is the place of a generation among those that compete for decode memory, where it counts.
		Standing contention.Standing
		// Denial is why the generation got no decode memory.
		Denial reservation.Denial
		// Events counts the events of a stream that were sent to the caller.
		Events int
		// MaxGap is the longest pause between two events.
		MaxGap time.Duration
		// Resumptions counts how often a stream was continued at another upstream.
		Resumptions int
		// Move is what became of a stream that was stopped to move it; empty if it was not.
		Move MoveOutcome
		// Cause is the last failure of an upstream.
		Cause string
		// Refusal is nil for a request with a complete answer.
		Refusal *refusal.Refusal
	}

	// Observer receives the record of each finished request.
	Observer func(Record)
)

// RouteName returns the name of the route, or the empty string if there is none.
func (r *Record) RouteName() string {
	if r.Route == nil {
		return ""
	}
	return r.Route.Name
}

// Kind returns the name in metrics of the kind of the route: which requests may be repeated or resumed. It
// returns the empty string if there is no route.
func (r *Record) Kind() string {
	if r.Route == nil {
		return ""
	}
	return kindName(r.Route.Kind)
}

// kindName returns the name of a kind in metrics and explanations.
func kindName(kind ingress.Kind) string {
	switch k := kind.(type) {
	case ingress.Idempotent:
		return "idempotent"
	case ingress.NonIdempotent:
		return "non_idempotent"
	case ingress.Streaming:
		if k.Resumable {
			return "resumable_stream"
		}
		return "stream"
	}
	return ""
}

func (g *Gateway) logRequest(r Record) {
	fields := []any{
		"request", r.Request.ID, "route", r.RouteName(), "pool", r.Pool, "version", r.Version,
		"status", r.Status, "upstream", r.Upstream, "source", r.Source, "sends", r.Sends.Total(),
		"reserves", r.Reserves, "tokens", r.Tokens, "events", r.Events,
		"max_gap_ms", r.MaxGap.Milliseconds(), "resumed", r.Resumptions, "spent_ms", r.SinceFirstTry.Milliseconds(),
		"waited_ms", r.MemoryWait.Milliseconds(), "prefill_ms", r.PrefillTime.Milliseconds(), "first_ms", r.TimeToFirstByte.Milliseconds(), "took_ms", r.Took.Milliseconds(),
	}
	if r.Move != "" {
		fields = append(fields, "move", string(r.Move))
	}
	if r.Customer != "" {
		fields = append(fields, "customer", r.Customer)
	}
	if len(r.Limited) > 0 {
		fields = append(fields, "limited", r.Limited)
	}
	if r.Cause != "" {
		fields = append(fields, "cause", r.Cause)
	}
	if r.Refusal == nil {
		g.log.Info(event.RequestServed, fields...)
		return
	}
	if r.Request.HasKey && (r.Refusal.Reason == refusal.Unauthenticated || r.Refusal.Reason == refusal.KeysOutdated) {
		fields = append(fields, "key_digest", r.Request.KeyDigest.String()[:2*loggedDigestBytes])
	}
	if r.Standing.InForce {
		fields = append(fields, "rank", r.Standing.Rank, "ranks", r.Standing.Ranks, "beyond_share", r.Standing.BeyondShare)
	}
	if r.Denial != reservation.NotDenied {
		fields = append(fields, "denial", string(r.Denial))
	}
	fields = append(fields, "reason", r.Refusal.Reason.String(), "ran", r.Refusal.Ran.String(),
		"retry_after_ms", r.Refusal.RetryAfter.Milliseconds(), "why", r.Refusal.Message)
	g.log.Warn(event.RequestRefused, fields...)
}
