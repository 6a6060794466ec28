// Package connection decides which connections of clients a process keeps. It addresses the load of clients that open more
// connections than the process has descriptors and memory for, and leave them without a request or with a part of one.
package connection

import (
	"container/list"
	"sync"
	"time"
)

const (
	// New is a connection that has sent nothing yet.
	New Phase = iota
	// Head is a connection on which a part of a request's head has arrived.
	Head
	// Idle is a connection that waits for its next request.
	Idle
	// Serving is a connection whose request is being read or served.
	Serving
	// Closing is a connection whose last answer was written.
	Closing

	phaseCount = iota

	// incompleteGrace is the time after which a connection without a complete head is closed in favour of a new one,
	// before any idle connection: an ordinary client sends its head at once.
	incompleteGrace = time.Second
)

type (
	// Phase is what a connection waits for.
	Phase int

	// Table holds the connections of a process, each identified by a K. It is safe for concurrent use.
	Table[K comparable] struct {
		limit int

		mu     sync.Mutex
		states map[K]*list.Element
		// phases holds the connections in each phase, the one that entered it first at the front.
		phases [phaseCount]list.List
	}

	// state is the phase of a connection.
	state[K comparable] struct {
		key   K
		phase Phase
		since time.Time
	}

	// Admission is the decision on a new connection: Admitted, Replaces or Full.
	//
	//sumtype:decl
	Admission interface{ admission() }

	// Admitted means that there is room.
	Admitted struct{}

	// Replaces means that the victim must be closed for the new connection.
	Replaces[K comparable] struct {
		Victim K
		Phase  Phase
		Age    time.Duration
	}

	// Full means that all connections serve requests. The new connection was not added.
	Full struct{}
)

func (Admitted) admission()    {}
func (Replaces[K]) admission() {}
func (Full) admission()        {}

// String returns the name of the phase in logs.
func (p Phase) String() string {
	return [phaseCount]string{"new", "head", "idle", "serving", "closing"}[p]
}

// NewTable returns an empty table for a number of connections.
func NewTable[K comparable](limit int) *Table[K] {
	return &Table[K]{limit: limit, states: make(map[K]*list.Element)}
}

// Admit adds a new connection, if need be in place of another one. It never replaces a connection whose request is being
// served.
func (t *Table[K]) Admit(key K, now time.Time) Admission {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.states) < t.limit {
		t.set(key, New, now)
		return Admitted{}
	}
	victim := t.victim(now)
	if victim == nil {
		return Full{}
	}
	t.remove(victim.key)
	t.set(key, New, now)
	return Replaces[K]{Victim: victim.key, Phase: victim.phase, Age: now.Sub(victim.since)}
}

// Force adds a new connection beyond the limit. The caller has made sure that another one is about to be closed.
func (t *Table[K]) Force(key K, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.set(key, New, now)
}

// victim returns the connection to close for a new one: one that is being closed, else the oldest without a complete head,
// if it had the time to send one, else the one that is idle for longest, else the oldest without a complete head. It
// returns nil if there is none.
func (t *Table[K]) victim(now time.Time) *state[K] {
	incomplete := t.older(New, Head)
	switch {
	case t.first(Closing) != nil:
		return t.first(Closing)
	case incomplete != nil && now.Sub(incomplete.since) >= incompleteGrace:
		return incomplete
	case t.first(Idle) != nil:
		return t.first(Idle)
	}
	return incomplete
}

// first returns the connection that entered a phase first, or nil.
func (t *Table[K]) first(p Phase) *state[K] {
	if e := t.phases[p].Front(); e != nil {
		return e.Value.(*state[K])
	}
	return nil
}

// older returns the one that entered its phase earlier of the first connections in two phases, or nil.
func (t *Table[K]) older(p, q Phase) *state[K] {
	a, b := t.first(p), t.first(q)
	if a == nil || b != nil && b.since.Before(a.since) {
		return b
	}
	return a
}

// Enter records that a connection has entered a phase. It has no effect on connections that were replaced or removed.
func (t *Table[K]) Enter(key K, p Phase, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, found := t.states[key]; found {
		t.set(key, p, now)
	}
}

// set adds a connection or moves it to a phase.
func (t *Table[K]) set(key K, p Phase, now time.Time) {
	t.remove(key)
	t.states[key] = t.phases[p].PushBack(&state[K]{key: key, phase: p, since: now})
}

// Remove removes a connection.
func (t *Table[K]) Remove(key K) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.remove(key)
}

func (t *Table[K]) remove(key K) {
	if e, found := t.states[key]; found {
		t.phases[e.Value.(*state[K]).phase].Remove(e)
		delete(t.states, key)
	}
}

// Overdue returns the connections that have been in a phase for longer than a limit.
func (t *Table[K]) Overdue(p Phase, limit time.Duration, now time.Time) []K {
	t.mu.Lock()
	defer t.mu.Unlock()
	var overdue []K
	for e := t.phases[p].Front(); e != nil; e = e.Next() {
		s := e.Value.(*state[K])
		if now.Sub(s.since) <= limit {
			break
		}
		overdue = append(overdue, s.key)
	}
	return overdue
}

// Len returns the number of connections.
func (t *Table[K]) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.states)
}

// Limit returns the largest number of connections.
func (t *Table[K]) Limit() int {
	return t.limit
}
