// Package bench drives the decisions against fake engines, links and partners, and
// measures goodput under both targets and wasted prefill.
package bench

import (
	"container/heap"
	"time"
)

type (
	// clock runs events at their times. It waits on the runtime's clock, which a
	// synctest bubble advances.
	clock struct {
		start  time.Time
		now    time.Time
		events events
		count  uint64
	}

	timedEvent struct {
		at    time.Time
		order uint64
		run   func()
	}

	events []timedEvent
)

func newClock() *clock {
	now := time.Now()
	return &clock{start: now, now: now}
}

// after runs an event once d has passed.
func (c *clock) after(d time.Duration, run func()) {
	c.count++
	heap.Push(&c.events, timedEvent{at: c.now.Add(max(0, d)), order: c.count, run: run})
}

// runUntil runs all events up to a time since the start.
func (c *clock) runUntil(end time.Duration) {
	last := c.start.Add(end)
	for len(c.events) > 0 {
		next := heap.Pop(&c.events).(timedEvent)
		if next.at.After(last) {
			return
		}
		if wait := next.at.Sub(c.now); wait > 0 {
			time.Sleep(wait)
			c.now = time.Now()
		}
		next.run()
	}
}

// elapsed is the time since the start.
func (c *clock) elapsed() time.Duration {
	return c.now.Sub(c.start)
}

// Len returns the number of events.
func (e events) Len() int { return len(e) }

// Less orders events by time, then by their creation.
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].order < e[j].order
	}
	return e[i].at.Before(e[j].at)
}

// Swap exchanges two events.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push adds an event.
func (e *events) Push(x any) { *e = append(*e, x.(timedEvent)) }

// Pop removes the last event.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = timedEvent{}
	*e = old[:len(old)-1]
	return last
}
