// Package bench drives the decisions against fake engines, links and partners, and
// measures goodput under both targets and wasted prefill.
package bench

import (
	"time"
)

const (
	compactTicks = 4096
)

type (
	// clock runs events at their times. It waits on the runtime's clock, which a
	// synctest bubble advances.
	clock struct {
		start  time.Time
		now    time.Time
		passed time.Duration
		events []timedEvent
		// ticks are events on whole ticks, all put off by the same time, so they stay in order.
		ticks []timedEvent
		next  int
		count uint64
	}

	timedEvent struct {
		at    time.Duration
		order uint64
		run   func()
	}
)

func newClock() *clock {
	now := time.Now()
	return &clock{start: now, now: now}
}

// after runs an event once d has passed.
func (c *clock) after(d time.Duration, run func()) {
	c.push(c.passed+max(0, d), run)
}

// afterTick runs an event at the first whole tick once delay has passed. All events
// of a clock's ticks have the same delay.
func (c *clock) afterTick(delay, tick time.Duration, run func()) {
	c.count++
	at := (c.passed + delay + tick - 1).Truncate(tick)
	c.ticks = append(c.ticks, timedEvent{at: at, order: c.count, run: run})
}

// runUntil runs all events up to a time since the start.
func (c *clock) runUntil(end time.Duration) {
	for {
		next, found := c.take(end)
		if !found {
			return
		}
		if wait := next.at - c.passed; wait > 0 {
			time.Sleep(wait)
			c.now = time.Now()
			c.passed = c.now.Sub(c.start)
		}
		next.run()
	}
}

// take removes the next event, unless it is after end.
func (c *clock) take(end time.Duration) (timedEvent, bool) {
	waiting, ticking := len(c.events) > 0, c.next < len(c.ticks)
	if ticking && (!waiting || c.ticks[c.next].before(c.events[0])) {
		next := c.ticks[c.next]
		if next.at > end {
			return next, false
		}
		c.next++
		c.compact()
		return next, true
	}
	if !waiting || c.events[0].at > end {
		return timedEvent{}, false
	}
	return c.pop(), true
}

// compact drops the ticks that have run, once they are the larger part.
func (c *clock) compact() {
	if c.next > len(c.ticks)/2 && c.next > compactTicks {
		left := copy(c.ticks, c.ticks[c.next:])
		c.ticks = c.ticks[:left]
		c.next = 0
	}
}

func (e timedEvent) before(f timedEvent) bool {
	if e.at == f.at {
		return e.order < f.order
	}
	return e.at < f.at
}

// push adds an event to the binary heap.
func (c *clock) push(at time.Duration, run func()) {
	c.count++
	c.events = append(c.events, timedEvent{at: at, order: c.count, run: run})
	for i := len(c.events) - 1; i > 0; {
		parent := (i - 1) / 2
		if !c.events[i].before(c.events[parent]) {
			return
		}
		c.events[i], c.events[parent] = c.events[parent], c.events[i]
		i = parent
	}
}

// pop removes the first event from the binary heap.
func (c *clock) pop() timedEvent {
	first := c.events[0]
	last := len(c.events) - 1
	c.events[0] = c.events[last]
	c.events[last] = timedEvent{}
	c.events = c.events[:last]
	for i := 0; ; {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < last; child++ {
			if c.events[child].before(c.events[least]) {
				least = child
			}
		}
		if least == i {
			return first
		}
		c.events[i], c.events[least] = c.events[least], c.events[i]
		i = least
	}
}
