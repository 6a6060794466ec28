// Package bench runs the router's admission control and scheduling against simulated engines, links and partners. It
// measures the goodput within both latency targets and the fraction of wasted prefill.
package bench

import (
	"time"
)

const (
	// minCompactedTicks is the number of completed ticks above which their memory is reused.
	minCompactedTicks = 4096
)

type (
	// clock runs scheduled events in the order of their times. It sleeps on the runtime's clock, which a synctest
	// bubble advances. Events at the same time run in the order in which they were scheduled.
	clock struct {
		start   time.Time
		now     time.Time
		elapsed time.Duration
		events  []timedEvent
		// ticks are the events that afterTick scheduled. All have the same delay, so they are in order without a heap.
		ticks []timedEvent
		// nextTick is the index of the next event in ticks.
		nextTick     int
		lastSequence uint64
	}

	timedEvent struct {
		at       time.Duration
		sequence uint64
		run      func()
	}
)

func newClock() *clock {
	now := time.Now()
	return &clock{start: now, now: now}
}

// after schedules an event after d. A negative d counts as zero.
func (c *clock) after(d time.Duration, run func()) {
	c.push(c.elapsed+max(0, d), run)
}

// afterTick schedules an event at the first multiple of tick after delay. All calls for a clock must have the same
// delay and tick.
func (c *clock) afterTick(delay, tick time.Duration, run func()) {
	c.lastSequence++
	at := (c.elapsed + delay + tick - 1).Truncate(tick)
	c.ticks = append(c.ticks, timedEvent{at: at, sequence: c.lastSequence, run: run})
}

// runUntil runs the events up to end, which is a time since the start. The events may schedule others.
func (c *clock) runUntil(end time.Duration) {
	for {
		next, found := c.takeNext(end)
		if !found {
			return
		}
		if wait := next.at - c.elapsed; wait > 0 {
			time.Sleep(wait)
			c.now = time.Now()
			c.elapsed = c.now.Sub(c.start)
		}
		next.run()
	}
}

// takeNext removes and returns the next event. It returns false if there is none up to end.
func (c *clock) takeNext(end time.Duration) (timedEvent, bool) {
	waiting, ticking := len(c.events) > 0, c.nextTick < len(c.ticks)
	if ticking && (!waiting || c.ticks[c.nextTick].before(c.events[0])) {
		next := c.ticks[c.nextTick]
		if next.at > end {
			return next, false
		}
		c.nextTick++
		c.compact()
		return next, true
	}
	if !waiting || c.events[0].at > end {
		return timedEvent{}, false
	}
	return c.pop(), true
}

// compact removes the completed ticks when they are more than half of the ticks.
func (c *clock) compact() {
	if c.nextTick > len(c.ticks)/2 && c.nextTick > minCompactedTicks {
		left := copy(c.ticks, c.ticks[c.nextTick:])
		c.ticks = c.ticks[:left]
		c.nextTick = 0
	}
}

func (e timedEvent) before(f timedEvent) bool {
	if e.at == f.at {
		return e.sequence < f.sequence
	}
	return e.at < f.at
}

// push adds an event to the binary heap of events.
func (c *clock) push(at time.Duration, run func()) {
	c.lastSequence++
	c.events = append(c.events, timedEvent{at: at, sequence: c.lastSequence, run: run})
	for i := len(c.events) - 1; i > 0; {
		parent := (i - 1) / 2
		if !c.events[i].before(c.events[parent]) {
			return
		}
		c.events[i], c.events[parent] = c.events[parent], c.events[i]
		i = parent
	}
}

// pop removes and returns the first event of the binary heap.
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
