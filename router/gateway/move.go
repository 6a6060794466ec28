package gateway

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"gooseberrypin.example/router/event"
	"gooseberrypin.example/router/ingress"
	"gooseberrypin.example/router/migration"
	"gooseberrypin.example/router/refusal"
	"gooseberrypin.example/router/reservation"
	"gooseberrypin.example/router/upstream"
)

const (
	// moveCheckInterval is how often it is checked whether a stream would end in time.
	moveCheckInterval = 250 * time.Millisecond
	// maxMoveAttempts bounds the engines that are asked for room for one stream. With 3, 0.53 as many streams were cut off in the
	// simulation as without moves, and 0.4 with 8.
	maxMoveAttempts = 8
	// copyTimeout bounds a copy while the stream continues, and stopTimeout the copy of the rest, during which it pauses. Engines
	// queue copies, and a stream that is given up in the queue is lost.
	copyTimeout = 2 * time.Second
	stopTimeout = 3 * time.Second
	// maxCopies bounds the copies while the stream continues. A further one is made if the last one took longer than the pause
	// that callers accept, so that the rest is small and the wait for the links is known.
	maxCopies = 2
	// streamEndTimeout is how long the stream of a stopped run may still be read. Then its connection is closed, so that the
	// run ends in any case before it continues elsewhere.
	streamEndTimeout = 200 * time.Millisecond
	// defaultMaxPause is the longest pause between events that callers accept if the route states none.
	defaultMaxPause = 300 * time.Millisecond

	// stepCopy to stepContinue are the steps of a move in logs.
	stepCopy     = "copy"
	stepCheck    = "check"
	stepStop     = "stop"
	stepContinue = "continue"

	// NoRun means that the engine runs no such request.
	NoRun MoveFailure = "no_run"
	// CopyInProgress means that the engine is already copying the request's memory.
	CopyInProgress MoveFailure = "in_progress"
	// NotWorthwhile means that the move was not worthwhile any more when the copy was complete, or that an engine no longer took part.
	NotWorthwhile MoveFailure = "not_worthwhile"
	// NoRoom means that the other engine has no room or is not reachable.
	NoRoom MoveFailure = "no_room"
	// CopyUnknown means that there is no usable answer. The engine may have copied the memory or stopped the run.
	CopyUnknown MoveFailure = "unknown"

	// MoveCompleted means that the stream continued at the other engine.
	MoveCompleted MoveOutcome = "moved"
	// MoveGivenUp means that the run was not stopped: there was no room, the copy failed, or it was not used.
	MoveGivenUp MoveOutcome = "given_up"
	// MoveReturned means that the stream was stopped and continued at its own engine.
	MoveReturned MoveOutcome = "returned"
	// MoveBroken means that the stream was stopped and neither engine continued it.
	MoveBroken MoveOutcome = "broken"
)

type (
	// Mover copies the memory of running requests between engines.
	Mover interface {
		// Copy copies the memory of a request, by the ID of its attempt, from the engine that runs it to another one. If the
		// request was copied before, it copies only what is new. If stop is set, the run stops first, and its stream is closed
		// without its end.
		Copy(ctx context.Context, source *upstream.Member, attemptID string, destination *upstream.Member, stop bool) CopyResult
	}

	// CopyResult is the outcome of a copy: Copied or CopyFailed.
	//
	//sumtype:decl
	CopyResult interface{ copyResult() }

	// Copied means that the copy is complete. Cache is the handle of the memory at both engines.
	Copied struct{ Cache string }

	// CopyFailed means that there is no complete copy.
	CopyFailed struct {
		Reason MoveFailure
		// Cache is the handle of the memory at the source if the run was stopped all the same; empty if not.
		Cache string
		Err   error
	}

	// MoveFailure is why there is no copy.
	MoveFailure string

	// MoveOutcome is what became of a move.
	MoveOutcome string

	// MoveObserver receives the outcome of each move of a stream in a pool.
	MoveObserver func(pool string, o MoveOutcome)

	// streamMoves is what moves streams; see WithStreamMoves.
	streamMoves struct {
		mover     Mover
		isLimited func(incarnation string) bool
		observe   MoveObserver
	}

	// streamMove watches the stream of one decode, and moves it to another engine when it would not end in time. A nil
	// streamMove does nothing. It is safe for concurrent use.
	streamMove struct {
		generation   *generation
		ctx          context.Context
		cancelDecode context.CancelFunc
		source       *upstream.Member
		// waiter describes the stream as one that needs memory at another engine.
		waiter reservation.Waiter
		timer  *time.Timer

		mu       sync.Mutex
		progress migration.Progress
		// received is the number of events that the caller has.
		received int
		attempts int
		// ended reports whether the decode has ended.
		ended bool
		// stopping is closed when it is known whether the run was stopped; nil before the run is asked to stop.
		stopping chan struct{}
		// handover is where the stopped stream continues; nil if it was not stopped.
		handover *handover
	}
)

func (Copied) copyResult()     {}
func (CopyFailed) copyResult() {}

// WithStreamMoves makes streams that would not end in time move to faster engines, where learned speeds differ. isLimited
// reports whether an incarnation of an upstream states a limit for the requests of all entries. By default streams do not move.
func WithStreamMoves(mover Mover, isLimited func(incarnation string) bool, observe MoveObserver) Option {
	return func(g *Gateway) { g.moves = streamMoves{mover: mover, isLimited: isLimited, observe: observe} }
}

// startMove starts to watch the stream of a decode. It returns nil if the stream does not move.
func (n *generation) startMove(ctx context.Context, cancelDecode context.CancelFunc, m *upstream.Member, status int) *streamMove {
	engine := n.pool.Engine
	if n.gateway.moves.mover == nil || n.moved || engine == nil || engine.NoMoves || m.Phase != upstream.PhaseDecode || status != http.StatusOK {
		return nil
	}
	if !n.resuming {
		n.poolState.planner.Began()
	}
	w := n.completeWaiter(reservation.Waiter{Arrived: n.request.Arrived, Resumed: true, Avoid: m.ID})
	s := &streamMove{generation: n, ctx: ctx, cancelDecode: cancelDecode, source: m, waiter: w}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer = time.AfterFunc(moveCheckInterval, s.check)
	return s
}

// stopMove stops the watch of a decode that has ended.
func (n *generation) stopMove(ctx context.Context) {
	if h := n.move.finish(ctx, false); h != nil {
		n.gateway.freeHandover(h)
	}
	n.move = nil
}

// awaitMove returns where a stream continues that ended with an error because its run was stopped; nil if it was not, or if
// the request has ended.
func (n *generation) awaitMove(ctx context.Context, err error) *handover {
	continues := err != nil && ctx.Err() == nil && !errors.Is(err, errCallerDisconnected) && isConnectionLoss(err) && !n.stallMonitor.decodeCancelled()
	h := n.move.finish(ctx, continues)
	if h != nil && (!continues || ctx.Err() != nil) {
		n.gateway.freeHandover(h)
		return nil
	}
	return h
}

// eventForwarded records that the caller has a further event. writing is the time that its write took.
func (s *streamMove) eventForwarded(at time.Time, writing time.Duration) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.received++
	s.progress.Received(at, writing)
	if h := s.handover; h != nil && !h.confirmed && at.Sub(h.answeredAt) > streamEndTimeout {
		// The run was not stopped.
		s.handover = nil
		s.generation.gateway.freeHandover(h)
	}
}

// finish ends the watch. If the run is being stopped and the stream is to continue, it waits for the outcome and returns where
// it continues.
func (s *streamMove) finish(ctx context.Context, continues bool) *handover {
	if s == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer.Stop()
	if stopping := s.stopping; continues && stopping != nil {
		s.mu.Unlock()
		select {
		case <-stopping:
		case <-ctx.Done():
		}
		s.mu.Lock()
	}
	s.ended = true
	h := s.handover
	s.handover = nil
	return h
}

// check moves the stream if it would not end in time here, but at another engine.
func (s *streamMove) check() {
	s.mu.Lock()
	if s.ended {
		s.mu.Unlock()
		return
	}
	destination := s.plan(time.Now())
	if destination == nil {
		s.timer.Reset(moveCheckInterval)
		s.mu.Unlock()
		return
	}
	s.attempts++
	s.mu.Unlock()
	s.move(destination)
}

// plan returns the engine to which the stream should move, or nil. It takes a move from those that are allowed. The caller
// holds the lock.
func (s *streamMove) plan(now time.Time) *upstream.Member {
	n := s.generation
	stream, known := s.state(now)
	if !known || !stream.IsAtRisk() || !s.sourceTakesCalls(now) {
		return nil
	}
	speeds := n.speedsOf(upstream.PhaseDecode)
	if !speeds.Uneven() {
		return nil
	}
	var worthwhile []*upstream.Member
	for _, m := range n.gateway.directory.Ready(n.pool.Name, upstream.PhaseDecode, now) {
		if m.ID == s.source.ID || n.gateway.moves.isLimited(m.Incarnation()) || n.pool.Engine.KVTokens > 0 && m.Load().Tokens+s.waiter.Tokens > n.pool.Engine.KVTokens {
			continue
		}
		pause := speeds.PerToken(m) * time.Duration(n.pool.Engine.TokensPerEvent)
		if n.poolState.planner.IsWorthwhile(stream, migration.Destination{Pause: pause, Remote: s.isRemote(m)}) {
			worthwhile = append(worthwhile, m)
		}
	}
	w := s.waiter
	w.OutputTokens, w.Startup = int(stream.Left())*n.pool.Engine.TokensPerEvent, 0
	m := n.poolState.memoryQueue.Destination(w, worthwhile, now)
	if m == nil || !n.poolState.planner.Reserve() {
		return nil
	}
	return m
}

// state returns what is known of the stream, or false if it is too little. The caller holds the lock.
func (s *streamMove) state(now time.Time) (migration.Stream, bool) {
	pause, known := s.progress.Pause()
	g, perEvent := s.generation.request.Generation, float64(max(1, s.generation.pool.Engine.TokensPerEvent))
	return migration.Stream{
		Received: s.received, Estimate: float64(g.LengthHint) / perEvent, Max: float64(g.MaxOutputTokens) / perEvent,
		Pause: pause, Remaining: s.waiter.Deadline.Sub(now),
	}, known
}

// sourceTakesCalls reports whether the source may be asked to copy memory: it has neither asked for a pause nor stated a limit.
func (s *streamMove) sourceTakesCalls(now time.Time) bool {
	return s.source.Backoff(now) == 0 && !s.generation.gateway.moves.isLimited(s.source.Incarnation())
}

func (s *streamMove) isRemote(m *upstream.Member) bool { return m.DataCentre != s.source.DataCentre }

// takesStreams reports whether an engine may get a stream: it is ready for new requests, and states no limit.
func (n *generation) takesStreams(m *upstream.Member, now time.Time) bool {
	return !n.gateway.moves.isLimited(m.Incarnation()) && n.isReady(m, now)
}

// isReady reports whether a decode engine is ready for new requests.
func (n *generation) isReady(m *upstream.Member, now time.Time) bool {
	ready := n.gateway.directory.Ready(n.pool.Name, upstream.PhaseDecode, now)
	return slices.ContainsFunc(ready, func(r *upstream.Member) bool { return r.History == m.History })
}

// move copies the memory of the stream to an engine while the stream continues, then stops the run and copies the rest.
func (s *streamMove) move(destination *upstream.Member) {
	n := s.generation
	h := &handover{source: s.source, destination: destination, tokens: s.waiter.Tokens}
	destination.Begin(h.tokens)
	began := time.Now()
	for copies, took := 0, n.maxPause()+1; copies < maxCopies && took > n.maxPause(); copies++ {
		copyBegan := time.Now()
		switch r := s.copy(destination, false).(type) {
		case Copied:
			h.cache = r.Cache
		case CopyFailed:
			s.giveUp(h, stepCopy, r)
			return
		}
		took = time.Since(copyBegan)
	}
	h.copyTime = time.Since(began)
	n.poolState.planner.Copied(h.copyTime, s.isRemote(destination))
	if !s.beginStop(h) {
		s.giveUp(h, stepCheck, CopyFailed{Reason: NotWorthwhile})
		return
	}
	s.stop(h)
}

// maxPause returns the longest pause between events that callers accept.
func (n *generation) maxPause() time.Duration {
	if kind, ok := n.route.Kind.(ingress.Streaming); ok && kind.MaxGap > 0 {
		return kind.MaxGap
	}
	return defaultMaxPause
}

// copy copies the memory of the stream to an engine. It does not end with the caller's wait, as the handle of an unfinished copy
// is not known and the copy could not be freed.
func (s *streamMove) copy(destination *upstream.Member, stop bool) CopyResult {
	timeout := copyTimeout
	if stop {
		timeout = stopTimeout
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(s.ctx), timeout)
	defer cancel()
	n := s.generation
	return n.gateway.moves.mover.Copy(ctx, s.source, n.request.ID, destination, stop)
}

// beginStop reports whether the run is to be stopped now: the move is still worthwhile and both engines still take part.
func (s *streamMove) beginStop(h *handover) bool {
	n, now := s.generation, time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	stream, _ := s.state(now)
	pause := n.speedsOf(upstream.PhaseDecode).PerToken(h.destination) * time.Duration(n.pool.Engine.TokensPerEvent)
	if s.ended || s.ctx.Err() != nil || !n.takesStreams(h.destination, now) || !s.sourceTakesCalls(now) || n.refuseQuarantined(refusal.RanYes) != nil ||
		!n.poolState.planner.IsStillWorthwhile(stream, migration.Destination{Pause: pause, Remote: s.isRemote(h.destination)}) {
		return false
	}
	s.stopping = make(chan struct{})
	h.stoppedAt = now
	return true
}

// stop stops the run, copies the rest of its memory, and hands the stream over to the generation.
func (s *streamMove) stop(h *handover) {
	r := s.copy(h.destination, true)
	h.answeredAt = time.Now()
	switch r := r.(type) {
	case Copied:
		h.isCopied, h.confirmed = true, true
		h.setCache(r.Cache)
		time.AfterFunc(streamEndTimeout, s.cancelDecode)
	case CopyFailed:
		h.confirmed = r.Cache != ""
		h.setCache(r.Cache)
		if r.Reason == NoRun || r.Reason == CopyInProgress {
			s.giveUp(h, stepStop, r)
			close(s.stopping)
			return
		}
		s.logFailed(h, stepStop, r)
		if h.confirmed {
			time.AfterFunc(streamEndTimeout, s.cancelDecode)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		s.generation.gateway.freeHandover(h)
		return
	}
	s.handover = h
	close(s.stopping)
}

// giveUp frees the copy of a run that was not stopped. If the engine had no room, another one may be tried.
func (s *streamMove) giveUp(h *handover, step string, r CopyFailed) {
	n, now := s.generation, time.Now()
	n.gateway.freeHandover(h)
	s.logFailed(h, step, r)
	n.gateway.moves.observe(n.pool.Name, MoveGivenUp)
	if step != stepCopy {
		return
	}
	if r.Reason != CopyUnknown {
		n.poolState.planner.Return()
	}
	if r.Reason == NoRoom {
		n.poolState.memoryQueue.Refused(s.waiter, h.destination, now)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ended && s.attempts < maxMoveAttempts && (r.Reason == NoRoom || r.Reason == CopyInProgress) {
		s.timer.Reset(moveCheckInterval)
	}
}

func (s *streamMove) logFailed(h *handover, step string, r CopyFailed) {
	n := s.generation
	fields := []any{"request", n.request.ID, "from", h.source.ID, "to", h.destination.ID, "step", step, "reason", string(r.Reason)}
	if r.Err != nil {
		fields = append(fields, "error", r.Err.Error())
	}
	if step == stepStop {
		n.gateway.log.Warn(event.StreamMoveFailed, fields...)
		return
	}
	n.gateway.log.Info(event.StreamMoveFailed, fields...)
}
