package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"gooseberrypin.example/router/eventstream"
	"gooseberrypin.example/router/quarantine"
	"gooseberrypin.example/router/refusal"
	"gooseberrypin.example/router/upstream"
)

var (
	errGap     = eris.New("the stream skipped an event")
	errCaller  = eris.New("the caller left")
	errRefused = eris.New("the engine failed")
	errNoEvent = eris.New("the stream has no numbered events")
)

const (
	// maxUnnumbered bounds the events without a number in a row: comments that keep a connection
	// alive, of which engines send few.
	maxUnnumbered = 16
)

type (
	// relay passes the events of one answer on, from one engine or several.
	relay struct {
		work  *work
		began bool
		// lastID is the id of the last event that was passed on.
		lastID  int64
		hasLast bool
		first   time.Time
		// latest is when the last event was passed on.
		latest time.Time
		// unnumbered counts the events without a number since the last one with it.
		unnumbered int
	}
)

func newRelay(w *work) relay {
	r := relay{work: w}
	if id, err := strconv.ParseInt(w.request.LastEventID, 10, 64); err == nil {
		r.lastID, r.hasLast = id, true
	}
	return r
}

func (r *relay) last() string {
	if !r.hasLast {
		return r.work.request.LastEventID
	}
	return strconv.FormatInt(r.lastID, 10)
}

// answer passes an engine's answer on and decides what follows when it breaks off.
func (n *generation) answer(ctx context.Context, m *upstream.Member, t quarantine.Attempt, a Answer, granted time.Time) verdict {
	if a.Status != http.StatusOK {
		return n.engineFailure(ctx, m, t, a)
	}
	before := n.record.Events
	began := time.Now()
	err := n.relay.pass(ctx, a, n.vigil)
	if events := n.record.Events - before; events > 0 {
		n.shared.pace.started(n.relay.first.Sub(granted))
		if engine := n.pool.Engine; engine != nil {
			n.shared.pace.generated(events*engine.EventTokens, time.Since(began))
		}
	}
	switch {
	case err == nil:
		m.Succeeded(time.Since(began))
		n.answered(t)
		return done{}
	case errors.Is(err, errCaller):
		n.abandoned(t)
		return done{refusal.New(refusal.RanYes, refusal.Cancelled, 0, "%v", err)}
	}
	n.unknown(ctx, t, m, ended(err) && !n.vigil.left())
	return n.lost(ctx, m, err)
}

// engineFailure passes an engine's own failure on, as it tells that the request ran.
func (n *generation) engineFailure(ctx context.Context, m *upstream.Member, t quarantine.Attempt, a Answer) verdict {
	if n.relay.began {
		return n.lost(ctx, m, eris.Wrapf(errRefused, "status %d", a.Status))
	}
	body, result := n.gateway.readWhole(a)
	if u, broken := result.(Unknown); broken {
		n.unknown(ctx, t, m, u.ConnectionLost)
		return n.lost(ctx, m, u.Err)
	}
	return done{n.deliver(callResult{member: m, body: body}, a)}
}

// pass passes whole events on until the stream ends.
func (r *relay) pass(ctx context.Context, a Answer, v *vigil) error {
	if !r.began {
		r.began = true
		r.work.record.Status = a.Status
		r.work.reply.Begin(a.Status, a.Header, -1)
	}
	events := eventstream.NewReader(a.Body)
	for {
		e, err := events.Next()
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
		v.heard()
		if err := r.event(ctx, e); err != nil {
			return err
		}
	}
}

// ended reports whether an error tells that the engine's connection ended; otherwise it sent what is no
// stream of the request.
func ended(err error) bool {
	return !errors.Is(err, errGap) && !errors.Is(err, errNoEvent) && !errors.Is(err, eventstream.ErrTooLong)
}

// event passes one event on, unless the caller has it already.
func (r *relay) event(ctx context.Context, e eventstream.Event) error {
	r.unnumbered++
	if r.unnumbered > maxUnnumbered {
		return errNoEvent
	}
	if e.HasID {
		r.unnumbered = 0
		switch {
		case r.hasLast && e.ID <= r.lastID:
			return nil
		case r.hasLast && e.ID != r.lastID+1:
			return eris.Wrapf(errGap, "event %d after %d", e.ID, r.lastID)
		}
		r.lastID, r.hasLast = e.ID, true
	}
	now := time.Now()
	if r.first.IsZero() {
		r.first, r.latest = now, now
		r.work.record.TimeToFirstByte = r.first.Sub(r.work.request.Arrived)
	}
	r.work.record.MaxGap = max(r.work.record.MaxGap, now.Sub(r.latest))
	r.latest = now
	if err := r.work.reply.Write(e.Raw); err != nil || ctx.Err() != nil {
		return errCaller
	}
	r.work.record.Events++
	return nil
}
