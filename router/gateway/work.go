package gateway

import (
	"context"
	"errors"
	"time"

	"gooseberrypin.example/router/event"
	"gooseberrypin.example/router/ingress"
	"gooseberrypin.example/router/line"
	"gooseberrypin.example/router/quarantine"
	"gooseberrypin.example/router/refusal"
	"gooseberrypin.example/router/upstream"
)

type (
	// work is one request on its way.
	work struct {
		gateway *Gateway
		request *Request
		route   *ingress.Route
		pool    ingress.Pool
		shared  *pool
		reply   Reply
		record  *Record
		// contents name what the request carries.
		contents []quarantine.Content
	}
)

// left is how long the caller still waits.
func (w *work) left() time.Duration {
	return time.Until(w.request.end(w.route))
}

func (w *work) terms() SendOptions {
	return SendOptions{Remaining: w.left(), Priority: w.route.Priority}
}

// ended returns the refusal of a request whose context is over: its caller left, or its time is up.
func (w *work) ended(ctx context.Context, ran refusal.Ran) *refusal.Refusal {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return refusal.New(ran, refusal.Deadline, 0, "no answer within %v", time.Since(w.request.Arrived).Round(time.Millisecond))
	}
	return refusal.New(ran, refusal.Cancelled, 0, "the caller left")
}

// note keeps the last failure for the record, and tells the directory of an upstream that is
// another one now or takes no connections.
func (w *work) note(m *upstream.Member, p SendReason, reason NotRunReason, err error) {
	w.record.Cause = reason.String()
	if err != nil {
		w.record.Cause += ": " + err.Error()
	}
	if reason == NoAnswer {
		w.broke(m, p, err)
	}
	w.gateway.note(m, reason, err)
}

// broke logs a send that gave no whole answer.
func (w *work) broke(m *upstream.Member, p SendReason, err error) {
	w.gateway.log.Error(err, event.SendBroke, "request", w.request.ID, "upstream", m.ID, "address", m.Address,
		"path", p.String(), "contents", names(w.contents), "took_ms", time.Since(w.request.Arrived).Milliseconds())
}

func (g *Gateway) note(m *upstream.Member, reason NotRunReason, err error) {
	switch reason {
	case NoAnswer:
		g.failed(m, err)
	case Full:
		m.Rejected(time.Now())
	case Replaced:
		m.Replaced()
		g.UpstreamTerminated(m.Upstream)
		g.log.Info(event.UpstreamReplaced, "upstream", m.ID, "address", m.Address)
	case Unreachable:
		switch {
		case refused(err):
			g.UpstreamTerminated(m.Upstream)
		case timedOut(err):
			g.crashes.changed(g.crashes.watch.Unreachable(incarnation(m.Upstream), time.Now()))
		}
		g.ejected(m, m.Unreachable(time.Now()), err)
	}
}

// failed records an upstream that gave no whole answer.
func (g *Gateway) failed(m *upstream.Member, err error) {
	if pause, ejected := m.Failed(time.Now()); ejected {
		g.ejected(m, pause, err)
	}
}

func (g *Gateway) ejected(m *upstream.Member, pause time.Duration, err error) {
	g.log.Error(err, event.UpstreamEjected, "upstream", m.ID, "address", m.Address, "pause_ms", pause.Milliseconds())
}

// reserve asks an engine for memory, and keeps what its answer tells of the engine.
func (g *Gateway) reserve(ctx context.Context, m *upstream.Member, tokens int, life time.Duration) line.Outcome {
	outcome := g.upstreams.Reserve(ctx, m, tokens, life)
	if f, failed := outcome.(line.Failed); failed && ctx.Err() == nil {
		g.note(m, Unreachable, f.Err)
	}
	return outcome
}
