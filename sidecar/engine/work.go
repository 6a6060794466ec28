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

	// closedAttemptRetention is how long a closed attempt is recorded.
	closedAttemptRetention = time.Minute
	expiryInterval         = 200 * time.Millisecond
	// pauseThreshold is the gap between two expiry ticks above which the process counts as paused.
	pauseThreshold = time.Second
)

type (
	phase int

	// work is an attempt at this engine. It is in one or more phases.
	work struct {
		attempt     port.Attempt
		streamID    string
		keeper      string
		fingerprint string
		phases      phase
		context     context.Context
		cancel      context.CancelCauseFunc
	}

	// closedAttempt is the highest attempt number of a key that was closed here.
	closedAttempt struct {
		number  uint64
		expires time.Time
	}

	// cancelCause is the cancellation cause of a work's context.
	cancelCause struct {
		refusal *refusal.Refusal
	}
)

// Error implements error.
func (e *cancelCause) Error() string {
	return e.refusal.String()
}

// StreamID returns the name of an attempt's stream at the engine: key digest, dot, attempt number.
func StreamID(a port.Attempt) string {
	return a.KeyDigest + "." + strconv.FormatUint(a.Number, 10)
}

// toAttempt returns the attempt of a stream ID. Without a valid number, the number is zero.
func toAttempt(streamID string) port.Attempt {
	i := strings.LastIndexByte(streamID, '.')
	if i < 0 {
		return port.Attempt{KeyDigest: streamID}
	}
	number, _ := strconv.ParseUint(streamID[i+1:], 10, 64)
	return port.Attempt{KeyDigest: streamID[:i], Number: number}
}

// enterPhase adds a phase to the work of an attempt, and creates the work if there is none. It
// cancels the work of an older attempt. It refuses an attempt that a newer one replaced, that is
// decoding, or that is in the phase already. Only a reservation may be repeated.
func (c *Controller) enterPhase(a port.Attempt, keeper, fingerprint string, p phase) (*work, *refusal.Refusal) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expireOverdue(now)
	w := c.workByKey[a.KeyDigest]
	newer := w != nil && w.attempt.Number > a.Number
	if newer || c.closed[a.KeyDigest].number > a.Number {
		c.counters.Refused++
		return nil, refusal.New(refusal.RanNo, refusal.StaleAttempt, 0, "a newer attempt replaced this one")
	}
	if w != nil && w.attempt.Number < a.Number {
		c.counters.Superseded++
		c.cancelWork(w, refusal.New(refusal.RanUnknown, refusal.StaleAttempt, 0, "a newer attempt replaced this one"))
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
	w := &work{attempt: a, streamID: StreamID(a), keeper: keeper, fingerprint: fingerprint}
	w.context, w.cancel = context.WithCancelCause(context.Background())
	c.workByKey[a.KeyDigest] = w
	c.leases.Add(keeper, w.streamID, now)
	return w
}

// leavePhase removes phases from a work, and removes the work when it has none left.
func (c *Controller) leavePhase(w *work, p phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w.phases &^= p
	if w.phases == 0 {
		c.removeWork(w)
	}
}

// cancelWork cancels all phases of a work and closes its attempt. It releases the memory of a
// reservation. Decode itself releases that of a running stream. c.mu must be held.
func (c *Controller) cancelWork(w *work, r *refusal.Refusal) {
	w.cancel(&cancelCause{refusal: r})
	if w.phases&decoding == 0 {
		c.memory.Load().Release(w.streamID)
	}
	c.recordClosed(w.attempt)
	c.removeWork(w)
}

// removeWork removes a work and its lease. A work that was removed before has none: the lease under its stream ID may
// belong to a call that repeats the attempt.
func (c *Controller) removeWork(w *work) {
	if c.workByKey[w.attempt.KeyDigest] == w {
		c.leases.Remove(w.keeper, w.streamID)
		delete(c.workByKey, w.attempt.KeyDigest)
	}
}

// recordClosed records that an attempt was closed, so that calls of older attempts of its key
// are refused. c.mu must be held.
func (c *Controller) recordClosed(a port.Attempt) {
	number := max(a.Number, c.closed[a.KeyDigest].number)
	c.closed[a.KeyDigest] = closedAttempt{number: number, expires: time.Now().Add(closedAttemptRetention)}
}

// expireOverdue cancels the work whose lease or reservation has expired. Operations call it
// before they decide, because the periodic expiry is late after a pause of the process.
// c.mu must be held.
func (c *Controller) expireOverdue(now time.Time) {
	if c.naive.KeepsLeases {
		return
	}
	expired := c.leases.Expire(now)
	for _, streamID := range expired {
		c.counters.LeasesExpired++
		c.cancelStream(streamID, "the keeper went silent")
	}
	if len(expired) > 0 {
		c.log.Info(event.LeaseExpired, "attempts", len(expired))
	}
	for _, streamID := range c.memory.Load().ExpireHolds(now) {
		c.cancelStream(streamID, "the reservation ran out")
	}
}

// cancelStream cancels the work of a stream ID, unless there is none. c.mu must be held.
func (c *Controller) cancelStream(streamID, reason string) {
	a := toAttempt(streamID)
	w := c.workByKey[a.KeyDigest]
	if w == nil || w.attempt != a {
		return
	}
	c.cancelWork(w, refusal.New(refusal.RanUnknown, refusal.Cancelled, 0, "%s", reason))
}

// expiryTick cancels the work whose lease or reservation has expired, and removes old records
// of closed attempts. It logs a pause of the process.
func (c *Controller) expiryTick() {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.lastExpiryTick.IsZero() && now.Sub(c.lastExpiryTick) > pauseThreshold {
		c.log.Info(event.Resumed, "paused_ms", now.Sub(c.lastExpiryTick).Milliseconds())
	}
	c.lastExpiryTick = now
	c.expireOverdue(now)
	for key, closed := range c.closed {
		if now.After(closed.expires) {
			delete(c.closed, key)
		}
	}
}

// Release cancels the work of an attempt or an older one of its key, and closes the attempt. It
// reports whether there was such work.
func (c *Controller) Release(a port.Attempt) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expireOverdue(time.Now())
	w := c.workByKey[a.KeyDigest]
	if w == nil || w.attempt.Number > a.Number {
		c.recordClosed(a)
		return false
	}
	c.cancelWork(w, refusal.New(refusal.RanUnknown, refusal.Cancelled, 0, "released"))
	c.recordClosed(a)
	return true
}

// Heartbeat renews the leases of a keeper for the wanted attempts, and cancels its other ones.
// It returns the wanted attempts that are not held here.
func (c *Controller) Heartbeat(keeper string, wanted []port.Attempt) []port.Attempt {
	streamIDs := make([]string, 0, len(wanted))
	for _, a := range wanted {
		streamIDs = append(streamIDs, StreamID(a))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.expireOverdue(now)
	dropped, unknown := c.leases.Renew(keeper, streamIDs, heartbeatGrace, now)
	for _, streamID := range dropped {
		c.cancelStream(streamID, "the keeper no longer wants it")
	}
	lost := make([]port.Attempt, 0, len(unknown))
	for _, streamID := range unknown {
		lost = append(lost, toAttempt(streamID))
	}
	return lost
}

// joinContext returns a context that is done when ctx or the work's context is done.
func (w *work) joinContext(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(w.context, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// cancelRefusal returns the refusal for a work that was cancelled or whose call ended. The given
// ran replaces that of the cancellation cause.
func (w *work) cancelRefusal(ran refusal.Ran) *refusal.Refusal {
	if e, found := context.Cause(w.context).(*cancelCause); found {
		r := *e.refusal
		r.Ran = ran
		return &r
	}
	return refusal.New(ran, refusal.Cancelled, 0, "the keeper closed the stream")
}
