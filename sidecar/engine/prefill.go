package engine

import (
	"context"
	"time"

	"gooseberrypin.example/router/configuration"
	"gooseberrypin.example/router/dispatch"
	"gooseberrypin.example/router/port"
	"gooseberrypin.example/router/prefill"
	"gooseberrypin.example/router/refusal"
)

const (
	// lead is how long before the engine is free a prompt comes to the head, so that the
	// reservation's round trip costs no time.
	lead = 20 * time.Millisecond
	// maxAhead is the number of prompts that may be at the head at once.
	maxAhead = 4
	// startWait bounds the wait for StartPrefill.
	startWait     = 500 * time.Millisecond
	queueInterval = 5 * time.Millisecond
	queueRetry    = 50 * time.Millisecond
)

type (
	// turn is the place of one prefill in the queue.
	turn struct {
		head    chan struct{}
		start   chan struct{}
		expired chan struct{}
		ahead   bool
		started bool
	}
)

// Prefill queues a prompt and emits its progress until it is done or refused.
func (c *Controller) Prefill(ctx context.Context, p port.Prefill, emit func(port.PrefillEvent) error) *refusal.Refusal {
	if r := c.admit(configuration.RolePrefill, p.Model, p.Fingerprint); r != nil {
		return r
	}
	w, r := c.begin(p.Attempt, p.Keeper, p.Fingerprint, queued)
	if r != nil {
		return r
	}
	defer c.leave(w, queued)
	ctx, cancel := w.join(ctx)
	defer cancel()
	t, r := c.enqueue(w, p)
	if r != nil {
		return r
	}
	defer c.dequeue(w.item)
	if emit(port.Queued{Delay: c.queue.Delay(time.Now())}) != nil {
		return w.ended(refusal.RanNo)
	}
	c.dispatch()
	if r := c.awaitStart(ctx, w, t, emit); r != nil {
		return r
	}
	return c.compute(ctx, w, p, emit)
}

// StartPrefill tells that decode memory is reserved for an attempt at the head.
func (c *Controller) StartPrefill(a port.Attempt) *refusal.Refusal {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.settle(time.Now())
	t := c.turns[StreamID(a)]
	w := c.works[a.KeyDigest]
	if t == nil || !t.ahead || w == nil || w.attempt != a {
		return refusal.New(refusal.RanNo, refusal.StaleAttempt, queueRetry, "the prefill is no longer at the head")
	}
	if !t.started {
		t.started = true
		close(t.start)
	}
	return nil
}

func (c *Controller) enqueue(w *work, p port.Prefill) (*turn, *refusal.Refusal) {
	now := time.Now()
	budget := p.Budget
	if budget <= 0 {
		budget = c.firstToken()
	}
	t := &turn{head: make(chan struct{}), start: make(chan struct{}), expired: make(chan struct{})}
	c.mu.Lock()
	c.turns[w.item] = t
	c.mu.Unlock()
	r := c.queue.Push(prefill.Item{
		Attempt:  w.item,
		Partner:  p.Partner,
		Tokens:   prefill.Tokens(p.Prompt),
		Arrived:  now,
		Deadline: now.Add(budget),
		Late:     p.Late,
	}, now)
	if r != nil {
		c.dequeue(w.item)
	}
	return t, r
}

func (c *Controller) dequeue(item string) {
	c.queue.Remove(item)
	c.mu.Lock()
	delete(c.turns, item)
	c.mu.Unlock()
	c.dispatch()
}

// dispatch brings prompts to the head while the engine will soon be free, and drops
// those that can't be in time any more.
func (c *Controller) dispatch() {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, it := range c.queue.Expired(now) {
		if t := c.turns[it.Attempt]; t != nil {
			close(t.expired)
		}
	}
	defer c.tick()
	for c.wantsAhead(now) {
		it, found := c.queue.Next(now)
		if !found {
			return
		}
		if t := c.turns[it.Attempt]; t != nil {
			t.ahead = true
			close(t.head)
		}
	}
}

// tick looks at the queue again soon while anything waits in it.
func (c *Controller) tick() {
	if c.ticking || c.queue.Len() == 0 {
		return
	}
	c.ticking = true
	time.AfterFunc(queueInterval, func() {
		c.mu.Lock()
		c.ticking = false
		c.mu.Unlock()
		c.dispatch()
	})
}

func (c *Controller) wantsAhead(now time.Time) bool {
	ahead := 0
	for _, t := range c.turns {
		if t.ahead {
			ahead++
		}
	}
	return ahead == 0 || (ahead < maxAhead && c.queue.TimeUntilIdle(now) < lead)
}

func (c *Controller) awaitStart(ctx context.Context, w *work, t *turn, emit func(port.PrefillEvent) error) *refusal.Refusal {
	select {
	case <-t.head:
	case <-t.expired:
		return refusal.New(refusal.RanNo, refusal.Deadline, c.queue.Delay(time.Now())+queueRetry, "the first token would be late")
	case <-ctx.Done():
		return w.ended(refusal.RanNo)
	}
	if emit(port.AtHead{}) != nil {
		return w.ended(refusal.RanNo)
	}
	timer := time.NewTimer(startWait)
	defer timer.Stop()
	select {
	case <-t.start:
		return nil
	case <-timer.C:
		return refusal.New(refusal.RanNo, refusal.Deadline, queueRetry, "no decode memory was reserved")
	case <-ctx.Done():
		return w.ended(refusal.RanNo)
	}
}

// compute runs the prefill at the engine. Ending the context cancels it there.
func (c *Controller) compute(ctx context.Context, w *work, p port.Prefill, emit func(port.PrefillEvent) error) *refusal.Refusal {
	select {
	case c.prefilling <- struct{}{}:
	case <-ctx.Done():
		return w.ended(refusal.RanNo)
	}
	defer func() { <-c.prefilling }()
	epoch := c.execute(w)
	defer c.executed(w)
	began := time.Now()
	result, err := c.engine.Prefill(ctx, port.PrefillWork{StreamID: w.item, Model: p.Model, Prompt: p.Prompt})
	if ctx.Err() != nil {
		return w.ended(refusal.RanUnknown)
	}
	if err != nil {
		return c.failed(ctx, w, err, epoch)
	}
	c.queue.RecordPrefill(int(result.PromptTokens-result.CachedTokens), time.Since(began))
	done := port.Prefilled{
		KV: port.KV{
			Handle:        result.KVHandle,
			SourceAddress: c.settings.UpstreamAddress,
			PromptTokens:  int(result.PromptTokens),
		},
		CachedTokens: int(result.CachedTokens),
	}
	if emit(done) != nil {
		return w.ended(refusal.RanYes)
	}
	c.count(func(n *Counters) { n.Prefills++ })
	return nil
}

// afterPrefill is the predicted time from the end of a prefill to the first token.
func (c *Controller) afterPrefill(tokens int) time.Duration {
	return time.Duration(tokens)*dispatch.TransferCostPerToken + dispatch.FirstStep(c.betweenTokens())
}

func (c *Controller) count(add func(*Counters)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	add(&c.counters)
}

func (c *Controller) firstToken() time.Duration {
	s := c.store.Current()
	if s == nil || s.Index.Configuration().Limits.FirstTokenMS <= 0 {
		return defaultFirstToken
	}
	return time.Duration(s.Index.Configuration().Limits.FirstTokenMS) * time.Millisecond
}
