package gateway

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"gooseberrypin.example/router/event"
	"gooseberrypin.example/router/upstream"
)

const (
	// sourceQuotaWait bounds the wait until the limit of the source allows that a stream continues there. The engine keeps
	// the memory of a stopped run for half a second or more.
	sourceQuotaWait = 300 * time.Millisecond
	// unconfirmedTries is how often it is tried to continue a stream at a source that has not stated that the run was stopped, and
	// unconfirmedPause the pause between two tries: it may still be copying.
	unconfirmedTries = 3
	unconfirmedPause = 100 * time.Millisecond
)

var (
	errMoveBroken = eris.New("the stream was stopped for a move, and no engine continued it")
)

type (
	// handover is a stopped run, and the engines that have its memory.
	handover struct {
		source, destination *upstream.Member
		cache               string
		// tokens is the memory that counts as load at the destination.
		tokens    int
		loadEnded bool
		// isCopied reports whether the destination has a complete copy.
		isCopied bool
		// confirmed reports whether the source has stated that it stopped the run.
		confirmed bool
		// copyTime is how long the copies took while the stream continued, and stoppedAt when the run was asked to stop.
		copyTime  time.Duration
		stoppedAt time.Time
		// answeredAt is when the answer to that arrived, or did not.
		answeredAt time.Time
	}
)

func (h *handover) setCache(cache string) {
	if cache != "" {
		h.cache = cache
	}
}

// freeHandover frees the memory of a handover that is not used. The source frees the copy as well, unless it is gone.
func (g *Gateway) freeHandover(h *handover) {
	h.endLoad()
	g.freeMoved(h.source, h.cache)
	g.freeMoved(h.destination, h.cache)
}

// freeMoved frees the memory of a moved stream at an engine. An engine that has asked for a pause or states a limit is not called:
// the memory expires there within about a second.
func (g *Gateway) freeMoved(m *upstream.Member, cache string) {
	if cache != "" && m.Backoff(time.Now()) == 0 && !g.moves.isLimited(m.Incarnation()) {
		g.upstreams.FreeCache(m, cache)
	}
}

// endLoad ends the load at the destination.
func (h *handover) endLoad() {
	if !h.loadEnded {
		h.loadEnded = true
		h.destination.End(h.tokens)
	}
}

// continueMoved continues a stream whose run was stopped: at the destination if it has the copy, and else at the source. If
// neither takes it, the stream is broken.
func (n *generation) continueMoved(ctx context.Context) roundOutcome {
	h := n.handover
	n.moved = true
	defer func() { n.handover = nil }()
	if h.isCopied && n.takesStreams(h.destination, time.Now()) {
		if outcome, ran := n.continueAt(ctx, h, h.destination); ran {
			return outcome
		}
	}
	h.endLoad()
	h.source.Begin(h.tokens)
	defer h.source.End(h.tokens)
	tries := 1
	if !h.confirmed {
		tries = unconfirmedTries
	}
	for try := 0; try < tries && (try == 0 || n.pauseBeforeTry(ctx, h.source)); try++ {
		if outcome, ran := n.continueAt(ctx, h, h.source); ran {
			return outcome
		}
	}
	n.gateway.freeHandover(h)
	if ctx.Err() != nil {
		return done{n.contextRefusal(ctx, n.ran)}
	}
	n.recordMove(h, h.source, MoveBroken)
	n.record.Cause = errMoveBroken.Error()
	return n.resumeElsewhere(h.source, errMoveBroken)
}

// continueAt continues a stopped stream at an engine that has its memory. It returns false if the engine did not take it.
func (n *generation) continueAt(ctx context.Context, h *handover, m *upstream.Member) (roundOutcome, bool) {
	if ctx.Err() != nil || n.refuseQuarantined(n.ran) != nil || !n.awaitQuota(ctx, m) {
		return nil, false
	}
	n.record.Upstream = m.ID
	hasContinued := false
	n.relay.onNextEvent = func(at time.Time) {
		hasContinued = true
		n.recordContinued(h, m, at)
	}
	options := DecodeOptions{Source: h.source, Cache: h.cache, LastEventID: n.lastEventID()}
	outcome, ran := n.tryDecode(ctx, m, options, h.stoppedAt)
	n.relay.onNextEvent = nil
	if !ran {
		return nil, false
	}
	n.poolState.memoryQueue.Freed(m.ID)
	if !hasContinued {
		n.gateway.freeHandover(h)
	}
	if !hasContinued && ctx.Err() == nil {
		n.recordMove(h, m, MoveBroken)
	}
	h.endLoad()
	return outcome, true
}

// pauseBeforeTry pauses before a further try to continue a stream at its source. It returns false if the engine asks for a pause or
// is no longer published.
func (n *generation) pauseBeforeTry(ctx context.Context, source *upstream.Member) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(unconfirmedPause):
	}
	return source.Backoff(time.Now()) == 0 && n.gateway.directory.Contains(source.ID)
}

// recordContinued records that a stopped stream continued at an engine at a time.
func (n *generation) recordContinued(h *handover, m *upstream.Member, at time.Time) {
	if m == h.source {
		n.gateway.freeMoved(h.destination, h.cache)
		n.recordMove(h, m, MoveReturned)
		return
	}
	n.poolState.planner.HandedOver(at.Sub(h.stoppedAt), h.destination.DataCentre != h.source.DataCentre)
	n.recordMove(h, m, MoveCompleted)
}

// recordMove logs and counts what became of a stopped stream at an engine.
func (n *generation) recordMove(h *handover, m *upstream.Member, o MoveOutcome) {
	n.record.Move = o
	n.gateway.moves.observe(n.pool.Name, o)
	fields := []any{
		"request", n.request.ID, "from", h.source.ID, "to", h.destination.ID, "events", n.record.Events,
		"copy_ms", h.copyTime.Milliseconds(), "stopped_ms", time.Since(h.stoppedAt).Milliseconds(),
	}
	if o == MoveCompleted {
		n.gateway.log.Info(event.StreamMoved, fields...)
		return
	}
	fields = append(fields, "step", stepContinue, "reason", string(o), "at", m.ID)
	n.gateway.log.Warn(event.StreamMoveFailed, fields...)
}

// awaitQuota waits until the limit of an engine allows a request, at most sourceQuotaWait.
func (n *generation) awaitQuota(ctx context.Context, m *upstream.Member) bool {
	wait := n.takeQuota(ctx, m)
	if wait == 0 || wait > sourceQuotaWait {
		return wait == 0
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(wait):
	}
	return n.takeQuota(ctx, m) == 0
}
