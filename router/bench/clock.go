// Package bench drives the decisions against fake engines, links and partners, and
// measures goodput under both targets and wasted prefill.
package bench

import (
	"time"
)

type (
	// clock runs events at their times. It waits on the runtime's clock, which a
	// synctest bubble advances.
	clock struct {
		start  time.Time
		now    time.Time
		passed time.Duration
		events []timedEvent
		count  uint64
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

// afterTick runs an event once d has passed, at the next whole tick.
func (c *clock) afterTick(d, tick time.Duration, run func()) {
	c.push((c.passed + d + tick - 1).Truncate(tick), run)
}

// runUntil runs all events up to a time since the start.
func (c *clock) runUntil(end time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= end {
		next := c.pop()
		if wait := next.at - c.passed; wait > 0 {
			time.Sleep(wait)
			c.now = time.Now()
			c.passed = c.now.Sub(c.start)
		}
		next.run()
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
