package gateway

import (
	"context"
	"errors"
	"time"

	"gooseberrypin.example/router/event"
	"gooseberrypin.example/router/ingress"
	"gooseberrypin.example/router/memory"
	"gooseberrypin.example/router/quarantine"
	"gooseberrypin.example/router/quota"
	"gooseberrypin.example/router/refusal"
	"gooseberrypin.example/router/reservation"
	"gooseberrypin.example/router/upstream"
)

type (
	// activeRequest is a request that is being served.
	activeRequest struct {
		gateway *Gateway
		request *Request
		// table is the table by which the request was admitted.
		table     *ingress.Table
		route     *ingress.Route
		pool      ingress.Pool
		poolState *poolState
		reply     Reply
		record    *Record
		// memory holds the answers that are buffered.
		memory *memory.Allocation
		// contents identify the content of the request for the quarantine of content that crashes
		// upstreams.
		contents []quarantine.Content
		// customer is nil if no customers are in force, or on a public route without a known key.
		customer *ingress.Customer
		// charge is what the request has taken of its customer's quota.
		charge charge
		// peek is nil for a request that is served, and not for one that is only explained.
		peek *peek
	}
)

// serve serves a request that is within the quota of its customer.
func (ar *activeRequest) serve(ctx context.Context) *refusal.Refusal {
	ar.poolState.retryBudget.RecordFirstTry()
	if refused := ar.checkContents(); refused != nil {
		return refused
	}
	switch ar.route.Kind.(type) {
	case ingress.Streaming:
		return ar.generate(ctx)
	case ingress.Idempotent, ingress.NonIdempotent:
		return ar.call(ctx)
	}
	return refusal.New(refusal.RanNo, refusal.UnknownRule, 0, "route of an unknown kind")
}

// checkContents identifies the contents of the request, and refuses it if they are quarantined.
func (ar *activeRequest) checkContents() *refusal.Refusal {
	ar.contents = ar.request.contents()
	return ar.refuseQuarantined(refusal.RanNo)
}

// remaining returns the time until the deadline of the caller.
func (ar *activeRequest) remaining() time.Duration {
	return time.Until(ar.request.deadline(ar.route))
}

func (ar *activeRequest) sendOptions() SendOptions {
	return SendOptions{Remaining: ar.remaining(), Priority: ar.table.EnginePriority(ar.rank()), Identity: ar.identity()}
}

// contextRefusal returns the refusal of a request whose context is done: its deadline passed, or its caller
// disconnected.
func (ar *activeRequest) contextRefusal(ctx context.Context, ran refusal.Ran) *refusal.Refusal {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return refusal.New(ran, refusal.Deadline, 0, "no answer within %v", time.Since(ar.request.Arrived).Round(time.Millisecond))
	}
	return refusal.New(ran, refusal.Cancelled, 0, "the caller left")
}

// recordFailure stores a failed send as the cause in the record, and updates the health of the upstream.
func (ar *activeRequest) recordFailure(m *upstream.Member, sendReason SendReason, reason NotRunReason, err error) {
	ar.record.Cause = reason.String()
	if err != nil {
		ar.record.Cause += ": " + err.Error()
	}
	if reason == NoAnswer {
		ar.logLostAnswer(m, sendReason, err)
	}
	ar.gateway.recordFailure(m, reason, err)
}

// logLostAnswer logs a send without a complete answer.
func (ar *activeRequest) logLostAnswer(m *upstream.Member, sendReason SendReason, err error) {
	ar.gateway.log.Error(err, event.AnswerIncomplete, "request", ar.request.ID, "upstream", m.ID, "address", m.Address,
		"path", sendReason.String(), "contents", logged(contentNames(ar.contents)), "parts", logged(ar.request.promptParts()), "parts_total", len(ar.request.promptParts()), "events", ar.record.Events,
		"took_ms", time.Since(ar.request.Arrived).Milliseconds())
}

// recordFailure updates the health of an upstream after a failed send. An upstream that was replaced or
// refuses connections has terminated, so the content that it ran becomes suspect.
func (g *Gateway) recordFailure(m *upstream.Member, reason NotRunReason, err error) {
	switch reason {
	case NoAnswer:
		g.recordLostAnswer(m, err)
	case Full:
		m.Rejected(time.Now())
	case Replaced:
		m.Replaced()
		g.UpstreamTerminated(m.Upstream)
		g.log.Info(event.UpstreamReplaced, "upstream", m.ID, "address", m.Address)
	case Unreachable:
		switch {
		case connectionRefused(err):
			g.UpstreamTerminated(m.Upstream)
		case isTimeout(err):
			g.crashes.notifyIfUrgent(g.crashes.tracker.Unreachable(m.Incarnation(), time.Now()))
		}
		g.logEjection(m, m.Unreachable(time.Now()), err)
	}
}

// recordLostAnswer counts a missing or incomplete answer as a failure of the upstream, and logs the
// ejection that may follow.
func (g *Gateway) recordLostAnswer(m *upstream.Member, err error) {
	if pause, ejected := m.Failed(time.Now()); ejected {
		g.logEjection(m, pause, err)
	}
}

func (g *Gateway) logEjection(m *upstream.Member, pause time.Duration, err error) {
	g.log.Error(err, event.UpstreamEjected, "upstream", m.ID, "address", m.Address, "pause_ms", pause.Milliseconds())
}

// reserve requests memory at a decode engine. After a failed request, the engine is recorded as unreachable. Against the
// limit of the engine, the reservation and the decode that uses it count as one request.
func (g *Gateway) reserve(ctx context.Context, m *upstream.Member, tokens int, life time.Duration) reservation.Outcome {
	if denied, ok := g.quota.Take(ctx, m.Incarnation()).(quota.Denied); ok {
		return reservation.Limited{RetryAfter: denied.RetryAfter}
	}
	outcome := g.upstreams.Reserve(ctx, m, tokens, life)
	if f, failed := outcome.(reservation.Failed); failed && ctx.Err() == nil {
		g.recordFailure(m, Unreachable, f.Err)
	}
	return outcome
}
