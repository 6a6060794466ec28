package engine

import (
	"context"
	"strconv"
	"strings"
	"time"

	"gooseberrypin.example/router/event"
	"gooseberrypin.example/router/port"
	"gooseberrypin.example/router/refusal"
)

const (
	queued phase = 1 << iota
	reserved
	decoding

	// closureTerm is how long the end of an attempt is remembered.
	closureTerm    = time.Minute
	expiryInterval = 200 * time.Millisecond
	// pauseGap is the delay of a tick that tells of a paused process.
	pauseGap = time.Second
)

type (
	phase int

	// work is one attempt at this engine, in one or more phases.
	work struct {
		attempt     port.Attempt
		item        string
		keeper      string
		fingerprint string
		phases      phase
		context     context.Context
		cancel      context.CancelCauseFunc
	}

	// closure remembers the newest attempt of a key that ended here.
	closure struct {
		number uint64
		until  time.Time
	}

	// ending is the cause of a cancelled work.
	ending struct {
		refusal *refusal.Refusal
	}
)

// Error implements error.
func (e *ending) Error() string {
	return e.refusal.String()
}

// StreamID names an attempt at the engine.
func StreamID(a port.Attempt) string {
	return a.KeyDigest + "." + strconv.FormatUint(a.Number, 10)
}

func toAttempt(streamID string) port.Attempt {
	i := strings.LastIndexByte(streamID, '.')
	if i < 0 {
		return port.Attempt{KeyDigest: streamID}
	}
	number, _ := strconv.ParseUint(streamID[i+1:], 10, 64)
	return port.Attempt{KeyDigest: streamID[:i], Number: number}
}

// begin enters a phase of an attempt, or refuses one that a newer attempt replaced.
func (c *Controller) begin(a port.Attempt, keeper, fingerprint string, p phase) (*work, *refusal.Refusal) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.settle(now)
	w := c.works[a.KeyDigest]
	newer := w != nil && w.attempt.Number > a.Number
	if newer || c.closed[a.KeyDigest].number > a.Number {
		c.counters.Refused++
		return nil, refusal.New(refusal.RanNo, refusal.StaleAttempt, 0, "a newer attempt replaced this one")
	}
	if w != nil && w.attempt.Number < a.Number {
		c.counters.Superseded++
		c.end(w, refusal.New(refusal.RanUnknown, refusal.StaleAttempt, 0, "a newer attempt replaced this one"))
		w = nil
	}
	if w == nil {
		w = c.newWork(a, keeper, fingerprint, now)
	}
	if w.phases&decoding != 0 || (w.phases&p != 0 && p != reserved) {
		return nil, refusal.New(refusal.RanNo, refusal.InProgress, queueRetry, "the attempt already runs")
	}
	w.phases |= p
	return w, nil
}

func (c *Controller) newWork(a port.Attempt, keeper, fingerprint string, now time.Time) *work {
	w := &work{attempt: a, item: StreamID(a), keeper: keeper, fingerprint: fingerprint}
	w.context, w.cancel = context.WithCancelCause(context.Background())
	c.works[a.KeyDigest] = w
	c.leases.Add(keeper, w.item, now)
	return w
}

// leave ends a phase of a work, and the work with its last phase.
func (c *Controller) leave(w *work, p phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w.phases &^= p
	if w.phases == 0 {
		c.forget(w)
	}
}

// end cancels a work in all its phases. What it has running frees itself.
func (c *Controller) end(w *work, r *refusal.Refusal) {
	w.cancel(&ending{refusal: r})
	if w.phases&decoding == 0 {
		c.memory.Load().Release(w.item)
	}
	c.close(w.attempt)
	c.forget(w)
}

func (c *Controller) forget(w *work) {
	c.leases.Remove(w.keeper, w.item)
	if c.works[w.attempt.KeyDigest] == w {
		delete(c.works, w.attempt.KeyDigest)
	}
}

// close refuses later calls of older attempts.
func (c *Controller) close(a port.Attempt) {
	number := max(a.Number, c.closed[a.KeyDigest].number)
	c.closed[a.KeyDigest] = closure{number: number, until: time.Now().Add(closureTerm)}
}

// settle ends all works whose keepers are overdue. It comes before any other decision,
// as the process may have been paused.
func (c *Controller) settle(now time.Time) {
	if c.naive.KeepsLeases {
		return
	}
	expired := c.leases.Expire(now)
	for _, item := range expired {
		c.counters.LeasesExpired++
		c.endItem(item, "the keeper went silent")
	}
	if len(expired) > 0 {
		c.log.Info(event.LeaseExpired, "attempts", len(expired))
	}
	for _, item := range c.memory.Load().ExpireHolds(now) {
		c.endItem(item, "the reservation ran out")
	}
}

func (c *Controller) endItem(item, why string) {
	a := toAttempt(item)
	w := c.works[a.KeyDigest]
	if w == nil || w.attempt != a {
		return
	}
	c.end(w, refusal.New(refusal.RanUnknown, refusal.Cancelled, 0, "%s", why))
}

// expire ends overdue works and forgets old closures.
func (c *Controller) expire() {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ticked.IsZero() && now.Sub(c.ticked) > pauseGap {
		c.log.Info(event.Resumed, "paused_ms", now.Sub(c.ticked).Milliseconds())
	}
	c.ticked = now
	c.settle(now)
	for key, closure := range c.closed {
		if now.After(closure.until) {
			delete(c.closed, key)
		}
	}
}

// Release gives up what an attempt holds, and tells whether it held anything.
func (c *Controller) Release(a port.Attempt) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.settle(time.Now())
	w := c.works[a.KeyDigest]
	if w == nil || w.attempt.Number > a.Number {
		c.close(a)
		return false
	}
	c.end(w, refusal.New(refusal.RanUnknown, refusal.Cancelled, 0, "released"))
	c.close(a)
	return true
}

// Heartbeat renews the leases of a keeper that still wants the given attempts, ends its
// others, and returns those that are not held here.
func (c *Controller) Heartbeat(keeper string, wanted []port.Attempt) []port.Attempt {
	items := make([]string, 0, len(wanted))
	for _, a := range wanted {
		items = append(items, StreamID(a))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.settle(now)
	dropped, unknown := c.leases.Renew(keeper, items, heartbeatGrace, now)
	for _, item := range dropped {
		c.endItem(item, "the keeper no longer wants it")
	}
	lost := make([]port.Attempt, 0, len(unknown))
	for _, item := range unknown {
		lost = append(lost, toAttempt(item))
	}
	return lost
}

// join returns a context that ends with the call or the work.
func (w *work) join(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(w.context, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// ended returns why a work or its call ended.
func (w *work) ended(ran refusal.Ran) *refusal.Refusal {
	if e, found := context.Cause(w.context).(*ending); found {
		r := *e.refusal
		r.Ran = ran
		return &r
	}
	return refusal.New(ran, refusal.Cancelled, 0, "the keeper closed the stream")
}
