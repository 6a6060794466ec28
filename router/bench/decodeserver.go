package bench

import (
	"slices"
	"time"

	"gooseberrypin.example/router/decode"
	"gooseberrypin.example/router/refusal"
)

const (
	// joinToFirstToken is the mean time from joining a batch to the first token, one and a half steps.
	joinToFirstToken = betweenTokensTarget * 3 / 2
	reservationHold  = time.Second
	// stepStallTimeout is the time without a step after which a busy engine counts as stalled.
	stepStallTimeout = 150 * time.Millisecond
	checkInterval    = 25 * time.Millisecond
)

type (
	// decodeServer simulates a decode engine. Its sidecar decides with the router's own packages.
	decodeServer struct {
		simulation     *simulation
		name           string
		memory         *decode.Memory
		limitEstimator *decode.LimitEstimator
		stallDetector  *decode.StallDetector
		// held are the attempts with a reservation or a stream.
		held []*attempt
		// joining are the attempts that join the batch at the next step.
		joining []*attempt
		// streams are the attempts in the current batch.
		streams     []*attempt
		stepRunning bool
		// epoch is the number of crashes. It identifies attempts that were lost in a crash.
		epoch        int
		down         bool
		stalledUntil time.Time
	}
)

func newDecodeServer(sm *simulation, name string) *decodeServer {
	s := &decodeServer{simulation: sm, name: name}
	s.reset()
	return s
}

// reset starts the sidecar and the engine without attempts.
func (s *decodeServer) reset() {
	s.memory = decode.NewMemory(decodePieces, pieceTokens)
	s.limitEstimator = decode.NewLimitEstimator(betweenTokensTarget)
	s.stallDetector = decode.NewStallDetector(stepStallTimeout)
	s.held, s.joining, s.streams = nil, nil, nil
	s.stepRunning = false
	s.down = false
}

// reserve reserves memory for an attempt or returns a refusal.
func (s *decodeServer) reserve(a *attempt) *refusal.Refusal {
	now := s.simulation.clock.now
	if s.down {
		return refusal.New(refusal.RanNo, refusal.UpstreamLost, reservationHold, "lost")
	}
	if !s.simulation.policy.naive {
		if s.stallDetector.Stalled(now) {
			return refusal.New(refusal.RanNo, refusal.UpstreamLost, reservationHold, "no progress")
		}
		s.memory.SetLimit(s.limitEstimator.Limit())
	}
	if refused := s.memory.Reserve(a.id, a.prompt.Tokens, outputMaxTokens, reservationHold, now); refused != nil {
		return refused
	}
	s.held = append(s.held, a)
	a.decodeServer = s
	a.decodeEpoch = s.epoch
	return nil
}

func (s *decodeServer) hint() decode.Hint {
	now := s.simulation.clock.now
	limit := s.limitEstimator.Limit()
	if s.simulation.policy.naive {
		limit = 0
	}
	return decode.Hint{
		Upstream:   s.name,
		FreePieces: s.memory.FreePieces(),
		Running:    s.memory.HeldAttempts(),
		Limit:      limit,
		Accepting:  !s.down && !s.stallDetector.Stalled(now),
		At:         now,
	}
}

// joinBatch adds an attempt whose KV cache was transferred to the batch of the next step.
func (s *decodeServer) joinBatch(a *attempt) {
	if a.ended {
		return
	}
	if a.decodeEpoch != s.epoch || s.memory.Start(a.id, s.simulation.clock.now) != nil {
		a.request.entry.resumeLostStream(a)
		return
	}
	s.joining = append(s.joining, a)
	s.stallDetector.Begin(s.simulation.clock.now)
	if !s.stepRunning {
		s.startStep()
	}
}

// startStep starts the next step if there are streams.
func (s *decodeServer) startStep() {
	s.streams = append(s.streams, s.joining...)
	s.joining = nil
	if len(s.streams) == 0 {
		s.stepRunning = false
		return
	}
	s.stepRunning = true
	epoch, batch, startedAt := s.epoch, len(s.streams), s.simulation.clock.now
	s.simulation.clock.after(stepDuration(batch), func() { s.finishStep(epoch, batch, startedAt) })
}

// finishStep generates one token for each stream of the batch and starts the next step. A stalled engine finishes the
// step at the end of the stall.
func (s *decodeServer) finishStep(epoch, batch int, startedAt time.Time) {
	now := s.simulation.clock.now
	if epoch != s.epoch {
		return
	}
	if wait := s.stalledUntil.Sub(now); wait > 0 {
		s.simulation.clock.after(wait, func() { s.finishStep(epoch, batch, startedAt) })
		return
	}
	streams := s.streams
	s.streams = make([]*attempt, 0, len(streams))
	for _, a := range streams {
		s.generateToken(a)
	}
	s.stallDetector.Step(len(s.streams)+len(s.joining) > 0, now)
	estimator := s.limitEstimator
	s.simulation.clock.after(reportDelay, func() { estimator.Observe(batch, now.Sub(startedAt)) })
	s.startStep()
}

// generateToken generates the next token of an attempt. It completes the answer after the last token and refuses the
// attempt if there is no memory for more tokens.
func (s *decodeServer) generateToken(a *attempt) {
	if a.ended {
		return
	}
	s.simulation.deliverToken(a)
	size := a.request.size
	target := size.outputTokens - (a.prompt.Tokens - size.prompt.Tokens)
	if a.generatedTokens >= target {
		s.simulation.completeRequest(a)
		s.release(a)
		s.simulation.recordAttemptEnd(a)
		s.simulation.clock.after(hopDelay, func() { a.request.entry.finishAttempt(a) })
		return
	}
	if !s.memory.Grow(a.id, a.prompt.Tokens+a.generatedTokens+1) {
		s.simulation.measurements.recordShed("growth")
		a.request.entry.refuseAttempt(a, hopDelay)
		return
	}
	s.streams = append(s.streams, a)
}

// release frees the memory of an attempt.
func (s *decodeServer) release(a *attempt) {
	s.memory.Release(a.id)
	s.held = without(s.held, a)
}

// removeAttempt releases the memory of an attempt and removes it from the batch.
func (s *decodeServer) removeAttempt(a *attempt) {
	if a.decodeEpoch != s.epoch {
		return
	}
	s.release(a)
	s.joining = without(s.joining, a)
	s.streams = without(s.streams, a)
}

// check refuses the attempts whose reservations expired. If the engine is stalled, it moves the prefilled attempts
// without a token to other decode servers.
func (s *decodeServer) check() {
	for _, id := range s.memory.ExpireHolds(s.simulation.clock.now) {
		i := slices.IndexFunc(s.held, func(a *attempt) bool { return a.id == id })
		a := s.held[i]
		s.held = without(s.held, a)
		s.simulation.measurements.recordShed("hold")
		a.request.entry.refuseAttempt(a, hopDelay)
	}
	if s.down || !s.stallDetector.Stalled(s.simulation.clock.now) {
		return
	}
	for _, a := range append([]*attempt{}, s.held...) {
		if a.generatedTokens == 0 && !a.kvExpires.IsZero() {
			s.removeAttempt(a)
			s.simulation.clock.after(hopDelay, func() { a.request.entry.retryOnOtherServer(a, s.name) })
		}
	}
}

// crash crashes the engine. All attempts that it held are lost.
func (s *decodeServer) crash() {
	held := s.held
	s.epoch++
	s.reset()
	s.down = true
	for _, a := range held {
		s.simulation.clock.after(hopDelay, func() { a.request.entry.resumeLostStream(a) })
	}
}
