package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"gooseberrypin.example/router/eventstream"
	"gooseberrypin.example/router/quarantine"
	"gooseberrypin.example/router/refusal"
	"gooseberrypin.example/router/upstream"
)

var (
	errEventGap           = eris.New("the stream skipped an event")
	errCallerDisconnected = eris.New("the caller left")
	errEngineStatus       = eris.New("the engine failed")
	errNoNumberedEvents   = eris.New("the stream has no numbered events")
	errOtherMediaType     = eris.New("the answer that continues the stream has another media type")
)

const (
	// maxUnnumbered bounds the consecutive events without a number. Engines send few of them, as comments
	// that keep a connection alive.
	maxUnnumbered = 16
)

type (
	// relay forwards the events of one answer to the caller. They may come from several engines, one after
	// another.
	relay struct {
		activeRequest *activeRequest
		headSent      bool
		// mediaType is that of the answer whose head was sent.
		mediaType string
		// lastID is the ID of the last event that the caller has, if hasLast is set.
		lastID  int64
		hasLast bool
		// firstEventAt is when the first event was forwarded.
		firstEventAt time.Time
		// lastEventAt is when the last event was forwarded.
		lastEventAt time.Time
		// unnumbered counts the events without a number since the last numbered one.
		unnumbered int
		// awaitsNumber is whether the current answer continues a stream and has sent no numbered event.
		awaitsNumber bool
		// received counts the numbered events that were received from all engines.
		received int
	}
)

func newRelay(ar *activeRequest) relay {
	r := relay{activeRequest: ar}
	if id, err := strconv.ParseInt(ar.request.LastEventID, 10, 64); err == nil {
		r.lastID, r.hasLast = id, true
	}
	return r
}

// lastEventID returns the ID of the last event that the caller has, or the empty string if there is none.
func (r *relay) lastEventID() string {
	if !r.hasLast {
		return r.activeRequest.request.LastEventID
	}
	return strconv.FormatInt(r.lastID, 10)
}

// relayAnswer forwards the answer of an engine to the caller. A truncated answer is resumed or refused. granted
// is when the memory was granted.
func (n *generation) relayAnswer(ctx context.Context, m *upstream.Member, t quarantine.Attempt, a Answer, granted time.Time) roundOutcome {
	if a.Status != http.StatusOK {
		return n.relayEngineError(ctx, m, t, a)
	}
	before, receivedBefore := n.record.Events, n.relay.received
	began := time.Now()
	err := n.relay.forward(ctx, a, n.stallMonitor)
	t.Begun = n.relay.received > receivedBefore
	if events := n.record.Events - before; events > 0 {
		if before == 0 {
			n.poolState.estimates.recordStartup(n.relay.firstEventAt.Sub(granted))
		}
		if engine := n.pool.Engine; engine != nil {
			n.poolState.estimates.recordDecode(events*engine.TokensPerEvent, time.Since(began))
		}
	}
	switch {
	case err == nil:
		m.Succeeded(time.Since(began))
		n.recordAnswered(t)
		return done{}
	case errors.Is(err, errCallerDisconnected):
		n.recordAbandoned(t)
		return done{refusal.New(refusal.RanYes, refusal.Cancelled, 0, "%v", err)}
	}
	n.recordUnknown(ctx, t, m, isConnectionLoss(err) && !n.stallMonitor.decodeCancelled())
	return n.resumeOrRefuse(ctx, m, err)
}

// relayEngineError forwards an error answer of an engine to the caller: the request ran, so it is not sent
// again. If a part of the stream was forwarded before, the stream is resumed or refused.
func (n *generation) relayEngineError(ctx context.Context, m *upstream.Member, t quarantine.Attempt, a Answer) roundOutcome {
	if n.relay.headSent {
		return n.resumeOrRefuse(ctx, m, eris.Wrapf(errEngineStatus, "status %d", a.Status))
	}
	body, result := n.readBody(ctx, a)
	if u, incomplete := result.(Unknown); incomplete {
		n.recordUnknown(ctx, t, m, u.ConnectionLost)
		return n.resumeOrRefuse(ctx, m, u.Err)
	}
	return done{n.deliver(callResult{member: m, body: body}, a)}
}

// forward sends the complete events of an engine's stream to the caller. It returns nil at the end of the stream. A stream
// that continues another one begins with its first numbered event, so that no text of an error gets into the answer.
func (r *relay) forward(ctx context.Context, a Answer, monitor *stallMonitor) error {
	mediaType := mediaType(a.Header)
	r.awaitsNumber = r.headSent
	switch {
	case !r.headSent:
		r.headSent, r.mediaType = true, mediaType
		r.activeRequest.record.Status = a.Status
		r.activeRequest.reply.Begin(a.Status, a.Header, -1)
	case mediaType != r.mediaType:
		return eris.Wrapf(errOtherMediaType, "%q", mediaType)
	}
	events := eventstream.NewReader(a.Body)
	for {
		e, err := events.Next()
		switch {
		case errors.Is(err, io.EOF) && r.awaitsNumber:
			return errNoNumberedEvents
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
		monitor.dataReceived()
		if err := r.forwardEvent(ctx, e); err != nil {
			return err
		}
	}
}

// mediaType returns the media type of an answer without its parameters.
func mediaType(h http.Header) string {
	name, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(name))
}

// isConnectionLoss reports whether an error of forward means that the connection to the engine was lost, rather
// than that the engine sent an invalid stream.
func isConnectionLoss(err error) bool {
	for _, invalid := range []error{errEventGap, errNoNumberedEvents, errOtherMediaType, eventstream.ErrTooLong} {
		if errors.Is(err, invalid) {
			return false
		}
	}
	return true
}

// forwardEvent forwards an event, unless the caller has it already or it precedes the first numbered event of a continued
// stream. It returns an error if the event does not follow the last one, or if the caller has disconnected.
func (r *relay) forwardEvent(ctx context.Context, e eventstream.Event) error {
	r.unnumbered++
	if r.unnumbered > maxUnnumbered {
		return errNoNumberedEvents
	}
	if !e.HasID && r.awaitsNumber {
		return nil
	}
	if e.HasID {
		r.unnumbered, r.awaitsNumber = 0, false
		r.received++
		switch {
		case r.hasLast && e.ID <= r.lastID:
			return nil
		case r.hasLast && e.ID != r.lastID+1:
			return eris.Wrapf(errEventGap, "event %d after %d", e.ID, r.lastID)
		}
		r.lastID, r.hasLast = e.ID, true
	}
	now := time.Now()
	if r.firstEventAt.IsZero() {
		r.firstEventAt, r.lastEventAt = now, now
		r.activeRequest.record.TimeToFirstByte = r.firstEventAt.Sub(r.activeRequest.request.Arrived)
	}
	r.activeRequest.record.MaxGap = max(r.activeRequest.record.MaxGap, now.Sub(r.lastEventAt))
	r.lastEventAt = now
	if err := r.activeRequest.reply.Write(e.Raw); err != nil || ctx.Err() != nil {
		return errCallerDisconnected
	}
	r.activeRequest.record.Events++
	return nil
}
