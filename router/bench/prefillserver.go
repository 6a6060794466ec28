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
	// maxHeadItems is the maximum number of prompts that wait for decode memory or for the engine after they left the
	// queue.
	maxHeadItems         = 4
	queueRecheckInterval = 5 * time.Millisecond
	prefillTokenCost     = time.Second / prefillTokensPerS
	linkStallTimeout     = 50 * time.Millisecond
)

type (
	// prefillServer simulates a prefill engine. Its sidecar decides with the router's own packages.
	prefillServer struct {
		simulation *simulation
		name       string
		queue      *prefill.Queue
		// queued holds the attempts that are in queue, by ID.
		queued map[string]*attempt
		// waitingForMemory holds the attempts that left the queue and need decode memory. Ready attempts have it, or do
		// not need it yet.
		waitingForMemory []*attempt
		ready            []*attempt
		running          *attempt
		startedAt        time.Time
		cache            *blockCache
		link             *transfer.Link
		// transfers holds the attempts with a queued or running transfer, by ID.
		transfers        map[string]*attempt
		recheckScheduled bool
	}
)

func newPrefillServer(sm *simulation, name string, random *rand.Rand) *prefillServer {
	return &prefillServer{
		simulation: sm,
		name:       name,
		queue:      prefill.NewQueue(prefill.WithGate(admission.NewGate(random, admission.WithMargin(10*time.Millisecond))), prefill.WithTimeAfterPrefill(timeAfterPrefill)),
		queued:     make(map[string]*attempt),
		cache:      newBlockCache(engineCacheBlocks),
		link:       transfer.NewLink(linkBytesPerS, transfer.WithStallAfter(linkStallTimeout)),
		transfers:  make(map[string]*attempt),
	}
}

// timeAfterPrefill returns the predicted time from the end of a prefill of a number of tokens to the first token.
func timeAfterPrefill(tokens int) time.Duration {
	return transferTime(tokens) + joinToFirstToken + 2*hopDelay
}

// transferTime returns the transfer time of the KV cache of a number of tokens.
func transferTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) * kvBytesPerToken / linkBytesPerS * float64(time.Second))
}

// enqueue queues an attempt or refuses it if the queue rejects it.
func (s *prefillServer) enqueue(a *attempt) {
	if a.ended {
		return
	}
	now := s.simulation.clock.now
	if s.simulation.policy.naive {
		s.ready = append(s.ready, a)
		s.schedule()
		return
	}
	refused := s.queue.Push(prefill.Item{
		Attempt:      a.id,
		Partner:      a.request.partner,
		Tokens:       a.uncachedTokens(),
		PromptTokens: a.prompt.Tokens,
		Arrived:      now,
		Deadline:     a.deadline,
		Late:         a.ticket.Late,
	}, now)
	a.request.entry.observePrefill(s.hint())
	if refused != nil {
		s.simulation.measurements.recordShed("queue")
		a.request.entry.refuseAttempt(a, hopDelay)
		return
	}
	s.queued[a.id] = a
	s.schedule()
}

func (s *prefillServer) hint() prefill.Hint {
	now := s.simulation.clock.now
	return prefill.Hint{Upstream: s.name, QueueDelay: s.queue.Delay(now), Accepting: true, At: now}
}

// schedule refuses expired attempts, moves attempts from the queue to the head items and starts the next prefill.
func (s *prefillServer) schedule() {
	now := s.simulation.clock.now
	for _, it := range s.queue.Expired(now) {
		a := s.queued[it.Attempt]
		delete(s.queued, it.Attempt)
		s.simulation.measurements.recordShed("expired")
		a.request.entry.refuseAttempt(a, hopDelay)
	}
	for len(s.waitingForMemory)+len(s.ready) < maxHeadItems {
		it, found := s.queue.Next(now)
		if !found {
			break
		}
		a := s.queued[it.Attempt]
		delete(s.queued, it.Attempt)
		if s.simulation.policy.reserve != reserveAtHead {
			s.ready = append(s.ready, a)
			continue
		}
		s.waitingForMemory = append(s.waitingForMemory, a)
		s.simulation.clock.after(hopDelay, func() { a.request.entry.reserve(a) })
	}
	if s.running == nil && len(s.ready) > 0 {
		s.startPrefill(s.ready[0])
	}
	s.scheduleRecheck()
}

// scheduleRecheck calls schedule again after queueRecheckInterval if attempts are queued.
func (s *prefillServer) scheduleRecheck() {
	if s.recheckScheduled || s.queue.Len() == 0 {
		return
	}
	s.recheckScheduled = true
	s.simulation.clock.after(queueRecheckInterval, func() {
		s.recheckScheduled = false
		s.schedule()
	})
}

// allowStart makes a head item ready for the engine, because its decode memory is reserved.
func (s *prefillServer) allowStart(a *attempt) {
	if a.ended {
		return
	}
	s.waitingForMemory = without(s.waitingForMemory, a)
	s.ready = append(s.ready, a)
	s.schedule()
}

func (s *prefillServer) startPrefill(a *attempt) {
	s.ready = without(s.ready, a)
	s.running = a
	s.startedAt = s.simulation.clock.now
	tokens := a.prompt.Tokens - s.cache.cached(a.prompt)
	duration := time.Duration(tokens) * prefillTokenCost
	s.simulation.clock.after(duration, func() {
		if s.running == a && !a.ended {
			s.finishPrefill(a, tokens, duration)
		}
	})
}

func (s *prefillServer) finishPrefill(a *attempt, tokens int, duration time.Duration) {
	s.running = nil
	s.simulation.recordPrefill(a, tokens)
	s.queue.RecordPrefill(tokens, duration, s.simulation.clock.now)
	s.cache.add(a.prompt)
	s.simulation.publishCache(s.name, a.prompt.Blocks)
	a.kvExpires = s.simulation.clock.now.Add(kvLifetime)
	s.simulation.clock.after(hopDelay, func() { a.request.entry.prefilled(a) })
	s.schedule()
}

// queueTransfer queues the transfer of an attempt's KV cache to its decode server.
func (s *prefillServer) queueTransfer(a *attempt) {
	if a.ended || a.decodeServer == nil || s.transfers[a.id] == a {
		return
	}
	deadline := a.deadline
	if s.simulation.policy.naive {
		deadline = s.simulation.clock.now.Add(transferTime(a.prompt.Tokens))
	}
	s.transfers[a.id] = a
	s.link.Push(transfer.Transfer{Attempt: a.id, Bytes: a.kvBytes(), Deadline: deadline, Expires: a.kvExpires})
	s.startTransfer()
}

// startTransfer refuses the attempts whose KV cache expired before its transfer and starts the next transfer. In cases
// with faults, a fraction of the transfers stalls.
func (s *prefillServer) startTransfer() {
	now := s.simulation.clock.now
	for _, t := range s.link.Expired(now) {
		a := s.transfers[t.Attempt]
		delete(s.transfers, t.Attempt)
		a.request.entry.refuseLostKV(a)
	}
	t, found := s.link.Next(now)
	if !found {
		return
	}
	a := s.transfers[t.Attempt]
	a.transferCount++
	transferNumber := a.transferCount
	if s.simulation.benchCase.faults && s.simulation.random.Float64() < transferStallFraction {
		s.simulation.clock.after(s.simulation.transferStallTimeout(), func() { s.cancelStalledTransfer(a, transferNumber) })
		if s.simulation.policy.naive {
			s.link.Remove(a.id)
			s.startTransfer()
		}
		return
	}
	duration := transferTime(a.prompt.Tokens)
	s.simulation.clock.after(duration, func() {
		if s.transfers[a.id] != a || a.transferCount != transferNumber {
			return
		}
		delete(s.transfers, a.id)
		s.link.Done(a.id, duration)
		a.decodeServer.joinBatch(a)
		s.startTransfer()
	})
}

// cancelStalledTransfer cancels a stalled transfer, unless it was cancelled already.
func (s *prefillServer) cancelStalledTransfer(a *attempt, transferNumber int) {
	if s.transfers[a.id] != a || a.transferCount != transferNumber {
		return
	}
	delete(s.transfers, a.id)
	s.link.Remove(a.id)
	a.request.entry.retryStalledTransfer(a)
	s.startTransfer()
}

// removeAttempt removes an attempt from the queue, the engine and the link.
func (s *prefillServer) removeAttempt(a *attempt) {
	s.queue.Remove(a.id)
	delete(s.queued, a.id)
	s.waitingForMemory = without(s.waitingForMemory, a)
	s.ready = without(s.ready, a)
	if s.running == a {
		s.running = nil
		s.simulation.recordPrefill(a, int(s.simulation.clock.now.Sub(s.startedAt)/prefillTokenCost))
	}
	s.cancelTransfer(a)
	s.schedule()
}

// cancelTransfer cancels the queued or running transfer of an attempt, if there is one.
func (s *prefillServer) cancelTransfer(a *attempt) {
	if s.transfers[a.id] == a {
		delete(s.transfers, a.id)
		a.transferCount++
		s.link.Remove(a.id)
		s.startTransfer()
	}
}

// without removes an attempt from a list in place.
func without(list []*attempt, a *attempt) []*attempt {
	return slices.DeleteFunc(list, func(b *attempt) bool { return a == b })
}
