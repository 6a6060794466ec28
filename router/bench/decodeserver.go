package bench

import (
	"slices"
	"time"

	"gooseberrypin.example/router/decode"
	"gooseberrypin.example/router/refusal"
)

const (
	// firstStep is the mean time from joining a batch to the first token.
	firstStep = betweenTokensTarget * 3 / 2
	holdTime  = time.Second
	// stepBound is the time without a step after which a busy engine counts as stalled.
	stepBound = 150 * time.Millisecond
	stepCheck = 25 * time.Millisecond
)

type (
	// decodeServer is a fake decode engine with the decisions of its sidecar.
	decodeServer struct {
		world    *world
		name     string
		memory   *decode.Memory
		pace     *decode.LimitEstimator
		progress *decode.StallDetector
		held     []*attempt
		joining  []*attempt
		streams  []*attempt
		stepping bool
		epoch    int
		lost     bool
		stalled  time.Time
	}
)

func newDecodeServer(w *world, name string) *decodeServer {
	s := &decodeServer{world: w, name: name}
	s.reset()
	return s
}

// reset starts the sidecar and the engine, empty.
func (s *decodeServer) reset() {
	s.memory = decode.NewMemory(decodePieces, pieceTokens)
	s.pace = decode.NewLimitEstimator(betweenTokensTarget)
	s.progress = decode.NewStallDetector(stepBound)
	s.held, s.joining, s.streams = nil, nil, nil
	s.stepping = false
	s.lost = false
}

// reserve holds memory for an attempt.
func (s *decodeServer) reserve(a *attempt) *refusal.Refusal {
	now := s.world.clock.now
	if s.lost {
		return refusal.New(refusal.RanNo, refusal.UpstreamLost, holdTime, "lost")
	}
	if !s.world.policy.naive {
		if s.progress.Stalled(now) {
			return refusal.New(refusal.RanNo, refusal.UpstreamLost, holdTime, "no progress")
		}
		s.memory.SetLimit(s.pace.Limit())
	}
	if refused := s.memory.Reserve(a.id, a.prompt.Tokens, outputMaxTokens, holdTime, now); refused != nil {
		return refused
	}
	s.held = append(s.held, a)
	a.dest = s
	a.epoch = s.epoch
	return nil
}

func (s *decodeServer) hint() decode.Hint {
	now := s.world.clock.now
	limit := s.pace.Limit()
	if s.world.policy.naive {
		limit = 0
	}
	return decode.Hint{
		Upstream:   s.name,
		FreePieces: s.memory.FreePieces(),
		Running:    s.memory.HeldAttempts(),
		Limit:      limit,
		Accepting:  !s.lost && !s.progress.Stalled(now),
		At:         now,
	}
}

// join adds an attempt, whose KV cache has come, to the next step.
func (s *decodeServer) join(a *attempt) {
	if a.ended {
		return
	}
	if a.epoch != s.epoch || s.memory.Start(a.id, s.world.clock.now) != nil {
		a.request.keeper.lostStream(a)
		return
	}
	s.joining = append(s.joining, a)
	s.progress.Begin(s.world.clock.now)
	if !s.stepping {
		s.step()
	}
}

func (s *decodeServer) step() {
	s.streams = append(s.streams, s.joining...)
	s.joining = nil
	if len(s.streams) == 0 {
		s.stepping = false
		return
	}
	s.stepping = true
	epoch, batch, began := s.epoch, len(s.streams), s.world.clock.now
	s.world.clock.after(step(batch), func() { s.stepped(epoch, batch, began) })
}

func (s *decodeServer) stepped(epoch, batch int, began time.Time) {
	now := s.world.clock.now
	if epoch != s.epoch {
		return
	}
	if wait := s.stalled.Sub(now); wait > 0 {
		s.world.clock.after(wait, func() { s.stepped(epoch, batch, began) })
		return
	}
	streams := s.streams
	s.streams = make([]*attempt, 0, len(streams))
	for _, a := range streams {
		s.advance(a)
	}
	s.progress.Step(len(s.streams)+len(s.joining) > 0, now)
	pace := s.pace
	s.world.clock.after(reportLag, func() { pace.Observe(batch, now.Sub(began)) })
	s.step()
}

// advance gives an attempt its next token.
func (s *decodeServer) advance(a *attempt) {
	if a.ended {
		return
	}
	s.world.token(a)
	size := a.request.size
	target := size.output - (a.prompt.Tokens - size.prompt.Tokens)
	if a.generated >= target {
		s.world.answered(a)
		s.release(a)
		s.world.settle(a)
		s.world.clock.after(hopDelay, func() { a.request.keeper.finished(a) })
		return
	}
	if !s.memory.Grow(a.id, a.prompt.Tokens+a.generated+1) {
		s.world.tally.shed("growth")
		a.request.keeper.refuse(a, hopDelay)
		return
	}
	s.streams = append(s.streams, a)
}

func (s *decodeServer) release(a *attempt) {
	s.memory.Release(a.id)
	s.held = without(s.held, a)
}

// drop forgets an attempt, whatever it does here.
func (s *decodeServer) drop(a *attempt) {
	if a.epoch != s.epoch {
		return
	}
	s.release(a)
	s.joining = without(s.joining, a)
	s.streams = without(s.streams, a)
}

// check gives up reservations that ran out, and moves streams without a token away
// from an engine that makes no steps.
func (s *decodeServer) check() {
	for _, id := range s.memory.ExpireHolds(s.world.clock.now) {
		i := slices.IndexFunc(s.held, func(a *attempt) bool { return a.id == id })
		a := s.held[i]
		s.held = without(s.held, a)
		s.world.tally.shed("hold")
		a.request.keeper.refuse(a, hopDelay)
	}
	if s.lost || !s.progress.Stalled(s.world.clock.now) {
		return
	}
	for _, a := range append([]*attempt{}, s.held...) {
		if a.generated == 0 && !a.kvExpires.IsZero() {
			s.drop(a)
			s.world.clock.after(hopDelay, func() { a.request.keeper.move(a, s.name) })
		}
	}
}

// lose ends the engine and all that it held.
func (s *decodeServer) lose() {
	held := s.held
	s.epoch++
	s.reset()
	s.lost = true
	for _, a := range held {
		s.world.clock.after(hopDelay, func() { a.request.keeper.lostStream(a) })
	}
}
