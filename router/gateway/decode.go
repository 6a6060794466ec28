package gateway

import (
	"context"
	"time"

	"gooseberrypin.example/router/ingress"
	"gooseberrypin.example/router/refusal"
	"gooseberrypin.example/router/upstream"
)

// lastEventID returns the ID of the last event that the caller has received, or the empty string if there is
// none.
func (n *generation) lastEventID() string {
	if n.relay.headSent {
		return n.relay.lastEventID()
	}
	return n.request.LastEventID
}

// decode streams the answer of the engine to the caller. granted is when the memory was granted.
func (n *generation) decode(ctx context.Context, m *upstream.Member, options DecodeOptions, granted time.Time) roundOutcome {
	outcome, ran := n.tryDecode(ctx, m, options, granted)
	if !ran {
		n.freeCacheAndReservation(m, options)
		return n.retryOrRefuse("the decode engine did not take the request")
	}
	return outcome
}

// tryDecode streams the answer of the engine to the caller, or returns false if the engine did not run the request. A stall
// monitor cancels the decode when it has found another engine for a stalled stream.
func (n *generation) tryDecode(ctx context.Context, m *upstream.Member, options DecodeOptions, granted time.Time) (roundOutcome, bool) {
	decodeCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	n.stallMonitor = n.startStallMonitor(ctx, cancel)
	defer n.stopStallMonitor()
	options.SendOptions = n.sendOptions()
	n.decodeReason = n.nextSendReason()
	n.countSend(n.decodeReason)
	attempt := n.newAttempt(m)
	result := n.gateway.upstreams.Decode(decodeCtx, m, n.request, options)
	if r, ok := result.(NotRun); !ok || r.Reason != Unreachable {
		n.countDecode()
	}
	switch r := result.(type) {
	case Answer:
		n.stallMonitor.dataReceived()
		n.ran = refusal.RanYes
		n.countRun()
		defer r.Body.Release()
		n.move = n.startMove(ctx, cancel, m, r.Status)
		defer n.stopMove(ctx)
		return n.relayAnswer(ctx, m, attempt, r, granted), true
	case NotRun:
		if ctx.Err() == nil {
			n.recordFailure(m, n.decodeReason, r.Reason, r.Err)
		}
		return nil, false
	case Unknown:
		n.ran = max(n.ran, refusal.RanUnknown)
		n.countRun()
		n.recordUnknown(ctx, attempt, m, r.ConnectionLost)
		return n.resumeOrRefuse(ctx, m, r.Err), true
	}
	return nextRound{}, true
}

// countDecode counts a decode that reached an engine. A stream that has moved continues the same run.
func (n *generation) countDecode() {
	if n.decodeReason != Move {
		n.countEngineRequest()
	}
}

// countRun counts a decode that an engine may have run. A stream that has moved continues the same run.
func (n *generation) countRun() {
	if n.decodeReason != Move {
		n.decodeRuns++
	}
}

// nextSendReason returns why the next decode is sent.
func (n *generation) nextSendReason() SendReason {
	switch {
	case n.handover != nil:
		return Move
	case n.resuming:
		return Resume
	case n.record.Sends[FirstTry] > 0:
		return AfterNotRun
	}
	return FirstTry
}

// stopStallMonitor stops the stall monitor of a decode. The generation keeps the memory and the retries that
// the monitor has acquired.
func (n *generation) stopStallMonitor() {
	grant, retries := n.stallMonitor.stop()
	n.stallMonitor = nil
	n.reservedRetries += retries
	if grant != nil {
		n.heldGrant = grant
	}
}

// resumeOrRefuse handles a decode without a complete answer. A resumable stream continues at another engine if
// the retry budget and the attempts of the route allow it. Otherwise the request is refused.
func (n *generation) resumeOrRefuse(ctx context.Context, m *upstream.Member, err error) roundOutcome {
	if ctx.Err() != nil {
		return done{n.contextRefusal(ctx, n.ran)}
	}
	n.stopStallMonitor()
	n.record.Cause = err.Error()
	n.logLostAnswer(m, n.decodeReason, err)
	n.gateway.recordLostAnswer(m, err)
	return n.resumeElsewhere(m, err)
}

// resumeElsewhere continues a stream that was broken off at an engine, or refuses the request.
func (n *generation) resumeElsewhere(m *upstream.Member, err error) roundOutcome {
	n.avoid = m.ID
	kind, _ := n.route.Kind.(ingress.Streaming)
	if refused := n.refuseQuarantined(n.ran); refused != nil {
		return done{refused}
	}
	if !kind.Resumable || n.decodeRuns >= n.route.MaxAttempts || !n.reserveRetries(retriesPerRound) {
		return done{refusal.New(n.ran, refusal.UpstreamLost, 0, "decode engine %s broke off: %v", m.ID, err)}
	}
	n.resuming = true
	n.record.Resumptions++
	return nextRound{}
}
