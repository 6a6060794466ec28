package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"gooseberrypin.example/router/eventstream"
	"gooseberrypin.example/router/quarantine"
	"gooseberrypin.example/router/refusal"
	"gooseberrypin.example/router/upstream"
)

var (
	errEventOrder         = eris.New("the stream has an event out of order")
	errEndsEarly          = eris.New("the stream ended before an event that the caller has")
	errCallerDisconnected = eris.New("the caller left")
	errEngineStatus       = eris.New("the engine failed")
	errNoNumberedEvents   = eris.New("the stream has no numbered events")
	errNoEvents           = eris.New("the connection ended before the first event of the stream")
	errOtherMediaType     = eris.New("the answer that continues the stream has another media type")
)

const (
	// maxUnnumbered bounds the consecutive events without a number. Engines send few of them, as comments
	// that keep a connection alive.
	maxUnnumbered = 16
	// beginningTime is how long after its first event an answer counts as just begun, when an engine crashes: engines that
	// crash as they begin to answer may have sent some events, and a busy process reads the end of a connection late.
	beginningTime = 250 * time.Millisecond
)

type (
	// relay forwards the events of one answer to the caller. They may come from several engines, one after
	// another.
	relay struct {
		activeRequest *activeRequest
		headSent      bool
		// mediaType is that of the answer whose head was sent.
		mediaType string
		// order places the numbered events.
		order *eventstream.Order
		// firstEventAt is when the first event was forwarded.
		firstEventAt time.Time
		// lastEventAt is when the last event was forwarded.
		lastEventAt time.Time
		// unnumbered counts the events without a number since the last numbered one.
		unnumbered int
		// skipsUnnumbered is whether events without a number are dropped: the numbered event before them was not forwarded, or
		// the current answer continues a stream and has sent none.
		skipsUnnumbered bool
		// sample measures the speed of the current engine.
		sample decodeSample
		// move may move the current stream; nil if it does not move.
		move *streamMove
		// monitor finds out whether the current stream stalls; nil if it may not continue at another engine.
		monitor *stallMonitor
		// onNextEvent is called once when the next numbered event was forwarded, unless it is nil.
		onNextEvent func(at time.Time)
		// answerBeganAt is when the current engine sent its first numbered event; zero if it has sent none.
		answerBeganAt time.Time
	}
)

func newRelay(ar *activeRequest) relay {
	r := relay{activeRequest: ar, order: eventstream.NewOrder()}
	if id, ok := eventstream.ParseID(ar.request.LastEventID); ok {
		r.order.ResumeAfter(id)
	}
	return r
}

// lastEventID returns the ID of the last event that the caller has, or the empty string if there is none.
func (r *relay) lastEventID() string {
	id, found := r.order.Last()
	if !found {
		return r.activeRequest.request.LastEventID
	}
	return id.Text
}

// relayAnswer forwards the answer of an engine to the caller. A truncated answer is resumed or refused. granted
// is when the memory was granted.
func (n *generation) relayAnswer(ctx context.Context, m *upstream.Member, t quarantine.Attempt, a Answer, granted time.Time) roundOutcome {
	if a.Status != http.StatusOK {
		return n.relayEngineError(ctx, m, t, a)
	}
	before := n.record.Events
	began := time.Now()
	n.relay.sample = decodeSample{member: m}
	n.relay.move, n.relay.monitor = n.move, n.stallMonitor
	err := n.relay.forward(ctx, a)
	t.Begun = !n.relay.answerBeganAt.IsZero() && time.Since(n.relay.answerBeganAt) > beginningTime
	if events := n.record.Events - before; events > 0 {
		if before == 0 {
			n.poolState.estimates.recordStartup(n.relay.firstEventAt.Sub(granted))
		}
		if engine := n.pool.Engine; engine != nil {
			n.poolState.estimates.recordDecode(events*engine.TokensPerEvent, time.Since(began))
		}
	}
	stopped := n.awaitMove(ctx, err)
	switch {
	case err == nil:
		n.recordLength()
		m.Succeeded(time.Since(began))
		n.recordAnswered(t)
		return done{}
	case errors.Is(err, errCallerDisconnected):
		n.recordAbandoned(t)
		return done{refusal.New(refusal.RanYes, refusal.Cancelled, 0, "%v", err)}
	}
	if stopped == nil || !stopped.confirmed {
		n.recordUnknown(ctx, t, m, isConnectionLoss(err) && !n.stallMonitor.decodeCancelled())
	}
	if stopped != nil {
		n.handover = stopped
		return nextRound{}
	}
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
// that continues another one begins with its first numbered event, so that no text of an error gets into the answer. It may have
// none, if the caller has all events. A stream without events that ends with its connection counts as lost: an engine that
// terminates as it begins to answer closes it in the same way.
func (r *relay) forward(ctx context.Context, a Answer) error {
	mediaType := mediaType(a.Header)
	continues := r.headSent
	r.skipsUnnumbered, r.unnumbered, r.answerBeganAt = continues, 0, time.Time{}
	r.order.BeginAnswer()
	switch {
	case !r.headSent:
		r.headSent, r.mediaType = true, mediaType
		r.activeRequest.record.Status = a.Status
		r.activeRequest.reply.Begin(a.Status, a.Header, -1)
	case mediaType != r.mediaType:
		return eris.Wrapf(errOtherMediaType, "%q", mediaType)
	}
	events := eventstream.NewReader(a.Body, r.activeRequest.memory)
	defer events.Release()
	for {
		e, err := events.Next()
		switch {
		case errors.Is(err, io.EOF):
			return r.checkEnd(continues, a.IsCloseDelimited)
		case err != nil:
			return err
		}
		r.monitor.dataReceived()
		if err := r.forwardEvent(ctx, e); err != nil {
			return err
		}
	}
}

// checkEnd returns an error if the answer that has ended is not the rest of the stream. continues is whether another answer
// precedes it.
func (r *relay) checkEnd(continues, isCloseDelimited bool) error {
	hasNumber := !r.answerBeganAt.IsZero()
	switch {
	case !hasNumber && r.unnumbered == 0 && isCloseDelimited:
		return errNoEvents
	case !hasNumber && r.unnumbered > 0 && continues:
		return errNoNumberedEvents
	case r.order.EndsEarly():
		return eris.Wrapf(errEndsEarly, "event %s", r.lastEventID())
	}
	return nil
}

// mediaType returns the media type of an answer without its parameters.
func mediaType(h http.Header) string {
	name, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(name))
}

// isConnectionLoss reports whether an error of forward means that the connection to the engine was lost, rather
// than that the engine sent an invalid stream.
func isConnectionLoss(err error) bool {
	for _, invalid := range []error{errEventOrder, errEndsEarly, errNoNumberedEvents, errOtherMediaType, eventstream.ErrTooLong, eventstream.ErrMemory} {
		if errors.Is(err, invalid) {
			return false
		}
	}
	return true
}

// forwardEvent forwards an event, unless the caller has it already. Events without a number are dropped with the numbered one
// before them, and before the first numbered one of a continued stream. It returns an error if the event is out of order, or if
// the caller has disconnected.
func (r *relay) forwardEvent(ctx context.Context, e eventstream.Event) error {
	r.unnumbered++
	if r.unnumbered > maxUnnumbered {
		return errNoNumberedEvents
	}
	if !e.HasID && r.skipsUnnumbered {
		return nil
	}
	if e.HasID {
		r.unnumbered = 0
		if r.answerBeganAt.IsZero() {
			r.answerBeganAt = time.Now()
		}
		place := r.order.Accept(e.ID)
		r.skipsUnnumbered = place == eventstream.Repeated
		switch place {
		case eventstream.Repeated:
			return nil
		case eventstream.OutOfOrder:
			return eris.Wrapf(errEventOrder, "event %s after %s", e.ID, r.lastEventID())
		}
	}
	return r.write(ctx, e)
}

// write sends an event to the caller. It returns an error if the caller has disconnected.
func (r *relay) write(ctx context.Context, e eventstream.Event) error {
	now := time.Now()
	if r.firstEventAt.IsZero() {
		r.firstEventAt, r.lastEventAt = now, now
		r.activeRequest.record.TimeToFirstByte = r.firstEventAt.Sub(r.activeRequest.request.Arrived)
	}
	r.activeRequest.record.MaxGap = max(r.activeRequest.record.MaxGap, now.Sub(r.lastEventAt))
	r.lastEventAt = now
	if e.HasID {
		r.sampleEvent(now)
	}
	r.monitor.setWriting(true)
	err := r.activeRequest.reply.Write(e.Raw)
	r.monitor.setWriting(false)
	writing := time.Since(now)
	r.sample.writing += writing
	if e.HasID {
		r.move.eventForwarded(now, writing)
	}
	if e.HasID && r.onNextEvent != nil {
		r.onNextEvent(now)
		r.onNextEvent = nil
	}
	if err != nil || ctx.Err() != nil {
		return errCallerDisconnected
	}
	r.activeRequest.record.Events++
	return nil
}
