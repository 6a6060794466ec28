package bench

import (
	"math/rand/v2"
	"slices"
	"time"

	"gooseberrypin.example/router/admission"
	"gooseberrypin.example/router/prefill"
	"gooseberrypin.example/router/transfer"
)

const (
	// headItems are the prompts that may ask for decode memory at once.
	headItems        = 4
	queueCheck       = 5 * time.Millisecond
	prefillTokenCost = time.Second / prefillTokensPerS
	linkStallAfter   = 50 * time.Millisecond
)

type (
	// prefillServer is a fake prefill engine with the decisions of its sidecar.
	prefillServer struct {
		world    *world
		name     string
		queue    *prefill.Queue
		items    map[string]*attempt
		head     []*attempt
		ready    []*attempt
		running  *attempt
		began    time.Time
		cache    *blockCache
		link     *transfer.Link
		moving   map[string]*attempt
		checking bool
	}
)

func newPrefillServer(w *world, name string, random *rand.Rand) *prefillServer {
	return &prefillServer{
		world:  w,
		name:   name,
		queue:  prefill.NewQueue(prefill.WithGate(admission.NewGate(random, admission.WithMargin(10*time.Millisecond))), prefill.WithTimeAfterPrefill(afterPrefill)),
		items:  make(map[string]*attempt),
		cache:  newBlockCache(engineCacheBlocks),
		link:   transfer.NewLink(linkBytesPerS, transfer.WithStallAfter(linkStallAfter)),
		moving: make(map[string]*attempt),
	}
}

// afterPrefill is the time from the end of a prefill to the first token.
func afterPrefill(tokens int) time.Duration {
	return transferTime(tokens) + firstStep + 2*hopDelay
}

func transferTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) * kvBytesPerToken / linkBytesPerS * float64(time.Second))
}

// push queues an attempt.
func (s *prefillServer) push(a *attempt) {
	if a.ended {
		return
	}
	now := s.world.clock.now
	if s.world.policy.naive {
		s.ready = append(s.ready, a)
		s.pump()
		return
	}
	refused := s.queue.Push(prefill.Item{
		Attempt:      a.id,
		Partner:      a.request.partner,
		Tokens:       a.uncached(),
		PromptTokens: a.prompt.Tokens,
		Arrived:      now,
		Deadline:     a.deadline,
		Late:         a.ticket.Late,
	}, now)
	a.request.keeper.observePrefill(s.hint())
	if refused != nil {
		s.world.tally.shed("queue")
		a.request.keeper.refuse(a, hopDelay)
		return
	}
	s.items[a.id] = a
	s.pump()
}

func (s *prefillServer) hint() prefill.Hint {
	now := s.world.clock.now
	return prefill.Hint{Upstream: s.name, QueueDelay: s.queue.Delay(now), Accepting: true, At: now}
}

// pump answers what came too late, brings prompts to the head and starts a prefill.
func (s *prefillServer) pump() {
	now := s.world.clock.now
	for _, it := range s.queue.Expired(now) {
		a := s.items[it.Attempt]
		delete(s.items, it.Attempt)
		s.world.tally.shed("expired")
		a.request.keeper.refuse(a, hopDelay)
	}
	for len(s.head)+len(s.ready) < headItems {
		it, found := s.queue.Next(now)
		if !found {
			break
		}
		a := s.items[it.Attempt]
		delete(s.items, it.Attempt)
		if s.world.policy.reserve != reserveAtHead {
			s.ready = append(s.ready, a)
			continue
		}
		s.head = append(s.head, a)
		s.world.clock.after(hopDelay, func() { a.request.keeper.reserve(a) })
	}
	if s.running == nil && len(s.ready) > 0 {
		s.run(s.ready[0])
	}
	s.check()
}

func (s *prefillServer) check() {
	if s.checking || s.queue.Len() == 0 {
		return
	}
	s.checking = true
	s.world.clock.after(queueCheck, func() {
		s.checking = false
		s.pump()
	})
}

// start lets a prompt at the head run, as its decode memory is reserved.
func (s *prefillServer) start(a *attempt) {
	if a.ended {
		return
	}
	s.head = without(s.head, a)
	s.ready = append(s.ready, a)
	s.pump()
}

func (s *prefillServer) run(a *attempt) {
	s.ready = without(s.ready, a)
	s.running = a
	s.began = s.world.clock.now
	tokens := a.prompt.Tokens - s.cache.cached(a.prompt)
	took := time.Duration(tokens) * prefillTokenCost
	s.world.clock.after(took, func() {
		if s.running == a && !a.ended {
			s.finish(a, tokens, took)
		}
	})
}

func (s *prefillServer) finish(a *attempt, tokens int, took time.Duration) {
	s.running = nil
	s.world.computed(a, tokens)
	s.queue.RecordPrefill(tokens, took)
	s.cache.add(a.prompt)
	s.world.publishCache(s.name, a.prompt.Blocks)
	a.kvExpires = s.world.clock.now.Add(kvLife)
	s.world.clock.after(hopDelay, func() { a.request.keeper.prefilled(a) })
	s.pump()
}

// move queues the transfer of an attempt's KV cache.
func (s *prefillServer) move(a *attempt) {
	if a.ended || a.dest == nil || s.moving[a.id] == a {
		return
	}
	deadline := a.deadline
	if s.world.policy.naive {
		deadline = s.world.clock.now.Add(transferTime(a.prompt.Tokens))
	}
	s.moving[a.id] = a
	s.link.Push(transfer.Transfer{Attempt: a.id, Bytes: a.bytes(), Deadline: deadline, Expires: a.kvExpires})
	s.pumpLink()
}

func (s *prefillServer) pumpLink() {
	now := s.world.clock.now
	for _, t := range s.link.Expired(now) {
		a := s.moving[t.Attempt]
		delete(s.moving, t.Attempt)
		a.request.keeper.lostKV(a)
	}
	t, found := s.link.Next(now)
	if !found {
		return
	}
	a := s.moving[t.Attempt]
	a.path++
	path := a.path
	if s.world.scene.faults && s.world.random.Float64() < transferStalls {
		s.world.clock.after(s.world.stallBound(), func() { s.stalled(a, path) })
		if s.world.policy.naive {
			s.link.Remove(a.id)
			s.pumpLink()
		}
		return
	}
	took := transferTime(a.prompt.Tokens)
	s.world.clock.after(took, func() {
		if s.moving[a.id] != a || a.path != path {
			return
		}
		delete(s.moving, a.id)
		s.link.Done(a.id, took)
		a.dest.join(a)
		s.pumpLink()
	})
}

// stalled cancels a transfer that made no progress.
func (s *prefillServer) stalled(a *attempt, path int) {
	if s.moving[a.id] != a || a.path != path {
		return
	}
	delete(s.moving, a.id)
	s.link.Remove(a.id)
	a.request.keeper.stalledTransfer(a)
	s.pumpLink()
}

// drop forgets an attempt, whatever it does here.
func (s *prefillServer) drop(a *attempt) {
	s.queue.Remove(a.id)
	delete(s.items, a.id)
	s.head = without(s.head, a)
	s.ready = without(s.ready, a)
	if s.running == a {
		s.running = nil
		s.world.computed(a, int(s.world.clock.now.Sub(s.began)/prefillTokenCost))
	}
	s.stop(a)
	s.pump()
}

// stop gives up the transfer of an attempt.
func (s *prefillServer) stop(a *attempt) {
	if s.moving[a.id] == a {
		delete(s.moving, a.id)
		a.path++
		s.link.Remove(a.id)
		s.pumpLink()
	}
}

func without(list []*attempt, a *attempt) []*attempt {
	return slices.DeleteFunc(list, func(b *attempt) bool { return a == b })
}
