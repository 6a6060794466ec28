package engine

import (
	"context"
	"time"

	"gooseberrypin.example/router/admission"
	"gooseberrypin.example/router/configuration"
	"gooseberrypin.example/router/dispatch"
	"gooseberrypin.example/router/event"
	"gooseberrypin.example/router/port"
	"gooseberrypin.example/router/prefill"
	"gooseberrypin.example/router/refusal"
)

const (
	// headLeadTime is how long before the engine is predicted to be idle a prompt moves to the
	// head. The engine then need not wait for the reservation's round trip.
	headLeadTime = 20 * time.Millisecond
	// maxAtHead is the maximum number of prompts at the head at the same time.
	maxAtHead = 4
	// startTimeout is how long a prompt at the head waits for StartPrefill.
	startTimeout     = 500 * time.Millisecond
	dispatchInterval = 5 * time.Millisecond
	queueRetry       = 50 * time.Millisecond
)

type (
	// queuedPrefill is the state of one prefill from its arrival in the queue to its end. Its
	// channels are closed when the prefill reaches the head, when it may start, and when it can no
	// longer meet its deadline.
	queuedPrefill struct {
		headReached  chan struct{}
		startAllowed chan struct{}
		expired      chan struct{}
		atHead       bool
		started      bool
	}
)

// Prefill queues a prompt, runs its prefill once StartPrefill allows it, and emits the progress.
// It returns nil after a complete prefill.
func (c *Controller) Prefill(ctx context.Context, p port.Prefill, emit func(port.PrefillEvent) error) *refusal.Refusal {
	if r := c.admit(configuration.RolePrefill, p.Model, p.Fingerprint); r != nil {
		return r
	}
	w, r := c.enterPhase(p.Attempt, p.Keeper, p.Fingerprint, queued)
	if r != nil {
		return r
	}
	defer c.leavePhase(w, queued)
	ctx, cancel := w.joinContext(ctx)
	defer cancel()
	q, r := c.enqueue(w, p)
	if r != nil {
		return r
	}
	defer c.dequeue(w.streamID)
	if emit(port.Queued{Delay: c.queue.Delay(time.Now())}) != nil {
		return w.cancelRefusal(refusal.RanNo)
	}
	c.dispatch()
	if r := c.awaitStart(ctx, w, q, emit); r != nil {
		return r
	}
	return c.runPrefill(ctx, w, p, emit)
}

// StartPrefill starts the prefill of an attempt at the head, after its decode memory was
// reserved. It refuses an attempt that is not at the head.
func (c *Controller) StartPrefill(a port.Attempt) *refusal.Refusal {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expireOverdue(time.Now())
	q := c.queuedPrefills[StreamID(a)]
	w := c.workByKey[a.KeyDigest]
	if q == nil || !q.atHead || w == nil || w.attempt != a {
		return refusal.New(refusal.RanNo, refusal.StaleAttempt, queueRetry, "the prefill is no longer at the head")
	}
	if !q.started {
		q.started = true
		close(q.startAllowed)
	}
	return nil
}

func (c *Controller) enqueue(w *work, p port.Prefill) (*queuedPrefill, *refusal.Refusal) {
	now := time.Now()
	budget := p.Budget
	if budget <= 0 {
		budget = c.targetFirstToken()
	}
	q := &queuedPrefill{headReached: make(chan struct{}), startAllowed: make(chan struct{}), expired: make(chan struct{})}
	c.mu.Lock()
	c.queuedPrefills[w.streamID] = q
	c.mu.Unlock()
	r := c.queue.Push(prefill.Item{
		Attempt:  w.streamID,
		Partner:  p.Partner,
		Tokens:   prefill.Tokens(p.Prompt),
		Arrived:  now,
		Deadline: now.Add(budget),
		Late:     p.Late,
	}, now)
	if r != nil {
		c.recordIdleRefusal(w.attempt, r)
		c.dequeue(w.streamID)
	}
	return q, r
}

// recordTrial records a prompt that the idle engine takes although its first token is predicted to be late.
func (c *Controller) recordTrial(it prefill.Item, f admission.Forecast) {
	c.count(func(n *Counters) { n.IdleTrials++ })
	c.log.Info(event.LatePromptTried, "attempt", it.Attempt, "tokens", it.Tokens, "prefill_ms", f.Prefill.Milliseconds(),
		"forecast_ms", f.Total().Milliseconds(), "budget_ms", it.Deadline.Sub(it.Arrived).Milliseconds())
}

// recordIdleRefusal records the refusal of a prompt if the engine is idle.
func (c *Controller) recordIdleRefusal(a port.Attempt, r *refusal.Refusal) {
	if !c.queue.Idle(time.Now()) {
		return
	}
	c.count(func(n *Counters) { n.RefusedIdle++ })
	c.log.Warn(event.RefusedWhileIdle, "attempt", StreamID(a), "reason", r.Reason.String(), "why", r.Message)
}

func (c *Controller) dequeue(streamID string) {
	c.queue.Remove(streamID)
	c.mu.Lock()
	delete(c.queuedPrefills, streamID)
	c.mu.Unlock()
	c.dispatch()
}

// dispatch moves prompts to the head while the engine is idle or predicted to be idle soon, and
// expires those that can no longer meet their deadline.
func (c *Controller) dispatch() {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, it := range c.queue.Expired(now) {
		if q := c.queuedPrefills[it.Attempt]; q != nil {
			close(q.expired)
		}
	}
	defer c.scheduleDispatch()
	for c.mayMoveToHead(now) {
		it, found := c.queue.Next(now)
		if !found {
			return
		}
		if q := c.queuedPrefills[it.Attempt]; q != nil {
			q.atHead = true
			close(q.headReached)
		}
	}
}

// scheduleDispatch calls dispatch again after dispatchInterval unless the queue is empty.
// c.mu must be held.
func (c *Controller) scheduleDispatch() {
	if c.dispatchScheduled || c.queue.Len() == 0 {
		return
	}
	c.dispatchScheduled = true
	time.AfterFunc(dispatchInterval, func() {
		c.mu.Lock()
		c.dispatchScheduled = false
		c.mu.Unlock()
		c.dispatch()
	})
}

// mayMoveToHead reports whether another prompt may move to the head: none is there, or fewer
// than maxAtHead are and the engine is predicted to be idle within headLeadTime.
func (c *Controller) mayMoveToHead(now time.Time) bool {
	atHead := 0
	for _, q := range c.queuedPrefills {
		if q.atHead {
			atHead++
		}
	}
	return atHead == 0 || (atHead < maxAtHead && c.queue.TimeUntilIdle(now) < headLeadTime)
}

// awaitStart waits until a prefill reaches the head, emits AtHead and waits for StartPrefill.
func (c *Controller) awaitStart(ctx context.Context, w *work, q *queuedPrefill, emit func(port.PrefillEvent) error) *refusal.Refusal {
	select {
	case <-q.headReached:
	case <-q.expired:
		r := refusal.New(refusal.RanNo, refusal.Deadline, c.queue.Delay(time.Now())+queueRetry, "the first token would be late")
		c.recordIdleRefusal(w.attempt, r)
		return r
	case <-ctx.Done():
		return w.cancelRefusal(refusal.RanNo)
	}
	if emit(port.AtHead{}) != nil {
		return w.cancelRefusal(refusal.RanNo)
	}
	timer := time.NewTimer(startTimeout)
	defer timer.Stop()
	select {
	case <-q.startAllowed:
		return nil
	case <-timer.C:
		return refusal.New(refusal.RanNo, refusal.Deadline, queueRetry, "no decode memory was reserved")
	case <-ctx.Done():
		return w.cancelRefusal(refusal.RanNo)
	}
}

// runPrefill runs the prefill at the engine. It is cancelled there when ctx is done.
func (c *Controller) runPrefill(ctx context.Context, w *work, p port.Prefill, emit func(port.PrefillEvent) error) *refusal.Refusal {
	select {
	case c.prefilling <- struct{}{}:
	case <-ctx.Done():
		return w.cancelRefusal(refusal.RanNo)
	}
	defer func() { <-c.prefilling }()
	epoch := c.beginExecution(w)
	defer c.endExecution(w)
	began := time.Now()
	result, err := c.engine.Prefill(ctx, port.PrefillWork{StreamID: w.streamID, Model: p.Model, Prompt: p.Prompt})
	if ctx.Err() != nil {
		return w.cancelRefusal(refusal.RanUnknown)
	}
	if err != nil {
		return c.handleEngineError(ctx, w, err, epoch)
	}
	c.queue.RecordPrefill(int(result.PromptTokens-result.CachedTokens), time.Since(began), time.Now())
	done := port.Prefilled{
		KV: port.KV{
			Handle:        result.KVHandle,
			SourceAddress: c.settings.UpstreamAddress,
			PromptTokens:  int(result.PromptTokens),
		},
		CachedTokens: int(result.CachedTokens),
	}
	if emit(done) != nil {
		return w.cancelRefusal(refusal.RanYes)
	}
	c.count(func(n *Counters) { n.Prefills++ })
	return nil
}

// timeAfterPrefill returns the predicted time from the end of a prefill to the first token.
func (c *Controller) timeAfterPrefill(tokens int) time.Duration {
	return time.Duration(tokens)*dispatch.TransferCostPerToken + dispatch.FirstStep(c.targetBetweenTokens())
}

func (c *Controller) count(add func(*Counters)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	add(&c.counters)
}

// targetFirstToken returns the configured target time to first token.
func (c *Controller) targetFirstToken() time.Duration {
	s := c.store.Current()
	if s == nil || s.Index.Configuration().Limits.FirstTokenMS <= 0 {
		return defaultFirstToken
	}
	return time.Duration(s.Index.Configuration().Limits.FirstTokenMS) * time.Millisecond
}
