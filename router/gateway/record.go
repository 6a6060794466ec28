package gateway

import (
	"time"

	"gooseberrypin.example/router/event"
	"gooseberrypin.example/router/ingress"
	"gooseberrypin.example/router/refusal"
)

type (
	// Record is what decided a finished request, for logs and metrics.
	Record struct {
		Request *Request
		Route   *ingress.Route
		// Version of the configuration that chose the route.
		Version int64
		Pool    string
		Took    time.Duration
		// MemoryWait is the time in the line for decode memory.
		MemoryWait time.Duration
		// PrefillTime is the time that prefill engines took.
		PrefillTime time.Duration
		// TimeToFirstByte is the time until the first byte of the answer went to the caller.
		TimeToFirstByte time.Duration
		// Status of the answer; 0 if none began.
		Status int
		// Upstream that answered, or the last that was tried; Source prefilled the prompt.
		Upstream string
		Source   string
		// Sends counts what was sent to upstreams, Reserves the engines asked for memory.
		Sends    Sends
		Reserves int
		// Spent is how long ago the first try of a refused request arrived; zero: this is the first.
		Spent time.Duration
		// Tokens is the memory that was reserved.
		Tokens int
		// Events of a stream that were passed on.
		Events int
		// MaxGap is the longest pause between events.
		MaxGap time.Duration
		// Resumed counts the upstreams that a stream went on at.
		Resumed int
		// Cause is the last failure of an upstream.
		Cause   string
		Refusal *refusal.Refusal
	}

	// Observer is told of each finished request.
	Observer func(Record)
)

// RouteName is the route's name, or empty.
func (r *Record) RouteName() string {
	if r.Route == nil {
		return ""
	}
	return r.Route.Name
}

// Kind is what may be done again with the request, as metrics show it, or empty.
func (r *Record) Kind() string {
	if r.Route == nil {
		return ""
	}
	switch k := r.Route.Kind.(type) {
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
		"max_gap_ms", r.MaxGap.Milliseconds(), "resumed", r.Resumed, "spent_ms", r.Spent.Milliseconds(),
		"waited_ms", r.MemoryWait.Milliseconds(), "prefill_ms", r.PrefillTime.Milliseconds(), "first_ms", r.TimeToFirstByte.Milliseconds(), "took_ms", r.Took.Milliseconds(),
	}
	if r.Cause != "" {
		fields = append(fields, "cause", r.Cause)
	}
	if r.Refusal == nil {
		g.log.Info(event.RequestServed, fields...)
		return
	}
	fields = append(fields, "reason", r.Refusal.Reason.String(), "ran", r.Refusal.Ran.String(),
		"retry_after_ms", r.Refusal.RetryAfter.Milliseconds(), "why", r.Refusal.Message)
	g.log.Warn(event.RequestRefused, fields...)
}
