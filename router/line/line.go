// Package line orders the generations of one entry that wait for decode memory. It answers bursts:
// when all decode engines are full, memory goes first to those who can still meet their target.
package line

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"gooseberrypin.example/router/upstream"
)

const (
	// defaultRecheck is the pause before a full engine is asked again. Engines end streams
	// every few tens of milliseconds in a burst.
	defaultRecheck = 40 * time.Millisecond
	// lateInterval is the least pause between two tries for waiters who are late already. Engines
	// serve all entries alike: those who can be on time at other entries shall find room first.
	lateInterval = 150 * time.Millisecond
	// freeTries is the number of engines that a waiter asks one right after the other.
	freeTries = 4
	// engineInterval is how far apart all entries together ask an engine that may be full. A generation
	// holds its memory for some seconds, so memory that came free stays empty for less than a hundredth
	// of that time.
	engineInterval = 13 * time.Millisecond
	// unreachableRecheck is the pause after an engine that gave no answer.
	unreachableRecheck = 500 * time.Millisecond
)

type (
	// Waiter is a generation that needs decode memory.
	Waiter struct {
		// Tokens is the memory to reserve.
		Tokens  int
		Arrived time.Time
		// OnTimeUntil is the latest grant with which the first token is on time.
		OnTimeUntil time.Time
		// ExpiresIfContended is when the waiter is refused while others who are on time wait.
		ExpiresIfContended time.Time
		// Expires is when the waiter is refused in any case.
		Expires time.Time
		// Priority ranks waiters; 0 is the most urgent.
		Priority int
		// Resumed generations have a caller who reads already.
		Resumed bool
		// Avoid names an upstream that this generation failed at.
		Avoid string
	}

	// Grant is reserved memory.
	Grant struct {
		Member      *upstream.Member
		Reservation string
		// Attempts is the number of engines that were asked.
		Attempts int
	}

	// Outcome is an engine's answer to a reservation.
	//
	//sumtype:decl
	Outcome interface{ outcome() }

	// Reserved tells that the memory is held under an ID.
	Reserved struct{ ID string }

	// Full tells that the engine has no such memory now.
	Full struct{}

	// Failed tells that the engine gave no answer, or another incarnation did.
	Failed struct{ Err error }

	// Reserver asks an engine for memory.
	Reserver func(ctx context.Context, m *upstream.Member, tokens int) Outcome

	// Releaser gives up memory that nobody needs any more.
	Releaser func(m *upstream.Member, id string)

	// Queue is the line of one pool. It is safe for concurrent use.
	Queue struct {
		reserve Reserver
		release Releaser
		members func() []*upstream.Member
		recheck time.Duration
		random  *rand.Rand
		entries func() int

		mu      sync.Mutex
		waiting []*ticket
		beliefs map[string]*belief
		timer   *time.Timer
		drain   drain
		// lateTry is when a waiter who was late tried last.
		lateTry time.Time
		// pace is the pause between two tries beyond the free ones, next when the next one may begin.
		pace time.Duration
		next time.Time
	}

	// Option changes a line.
	Option func(*Queue)

	ticket struct {
		Waiter
		ctx    context.Context
		trying bool
		tried  int
		result chan result
	}

	result struct {
		grant   Grant
		granted bool
	}

	// belief is what the line knows of one engine's memory.
	belief struct {
		trying bool
		// refused is the smallest request that the engine refused, until retry.
		refused int
		retry   time.Time
	}
)

func (Reserved) outcome() {}
func (Full) outcome()     {}
func (Failed) outcome()   {}

// NewQueue returns an empty line. members returns the decode engines that may get work.
func NewQueue(reserve Reserver, release Releaser, members func() []*upstream.Member, opts ...Option) *Queue {
	l := &Queue{
		reserve: reserve,
		release: release,
		members: members,
		recheck: defaultRecheck,
		random:  rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		entries: func() int { return 1 },
		beliefs: make(map[string]*belief),
	}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// WithRecheckInterval sets the pause before a full engine is asked again.
func WithRecheckInterval(pause time.Duration) Option {
	return func(l *Queue) { l.recheck = pause }
}

// WithRandom sets what draws among engines that seem alike.
func WithRandom(random *rand.Rand) Option {
	return func(l *Queue) { l.random = random }
}

// WithEntries sets what tells how many entries ask the same engines.
func WithEntries(entries func() int) Option {
	return func(l *Queue) { l.entries = entries }
}

// Wait waits for memory. It returns false when the waiter's time in the line is over or ctx ended; the
// grant then has only the number of engines that were asked.
func (l *Queue) Wait(ctx context.Context, w Waiter) (Grant, bool) {
	t := &ticket{Waiter: w, ctx: ctx, result: make(chan result, 1)}
	l.mu.Lock()
	now := time.Now()
	l.waiting = append(l.waiting, t)
	l.schedule(now)
	if l.hopeless(t, now) {
		l.leave(t)
		l.mu.Unlock()
		return Grant{Attempts: t.tried}, false
	}
	l.mu.Unlock()
	select {
	case r := <-t.result:
		return r.grant, r.granted
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leave(t)
	select {
	case r := <-t.result:
		if r.granted {
			l.release(r.grant.Member, r.grant.Reservation)
		}
	default:
	}
	return Grant{Attempts: t.tried}, false
}

// Freed tells that memory came free at an engine, so that it is asked again at once.
func (l *Queue) Freed(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b, found := l.beliefs[id]; found {
		b.refused = 0
	}
	l.schedule(time.Now())
}

// Length returns the number of waiters.
func (l *Queue) Length() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.waiting)
}

// schedule refuses whose time is over, and starts a try for each waiter that an engine may have
// room for. The caller holds the lock.
func (l *Queue) schedule(now time.Time) {
	l.expire(now)
	if len(l.waiting) == 0 {
		return
	}
	rank(l.waiting, now)
	members := l.members()
	l.forget(members)
	l.pace = engineInterval * time.Duration(l.entries()) / time.Duration(max(1, len(members)))
	for _, t := range l.waiting {
		if t.trying || t.class(now) == late && now.Sub(l.lateTry) < lateInterval || t.tried >= freeTries && now.Before(l.next) {
			continue
		}
		if m := l.choose(t, members, now); m != nil {
			l.try(t, m, now)
		}
	}
	l.arm(now)
}

func (l *Queue) expire(now time.Time) {
	fresh := 0
	for _, t := range l.waiting {
		if now.Before(t.OnTimeUntil) {
			fresh++
		}
	}
	kept := l.waiting[:0]
	for _, t := range l.waiting {
		if !t.trying && t.over(now, fresh) {
			t.result <- result{grant: Grant{Attempts: t.tried}}
			continue
		}
		kept = append(kept, t)
	}
	clear(l.waiting[len(kept):])
	l.waiting = kept
}

// over reports whether the waiter is refused now, beside a number of waiters who are on time.
func (t *ticket) over(now time.Time, fresh int) bool {
	return !now.Before(t.Expires) || fresh > 0 && !now.Before(t.ExpiresIfContended)
}

// choose returns the engine with the least memory in use by this process among those that may
// have room. Equals are drawn: where entries are many, each one has nothing at most engines, and all
// of them would ask the same one.
func (l *Queue) choose(t *ticket, members []*upstream.Member, now time.Time) *upstream.Member {
	var best *upstream.Member
	least, equals := 0, 0
	for _, m := range members {
		b := l.belief(m.ID)
		if b.trying || m.ID == t.Avoid && len(members) > 1 {
			continue
		}
		if b.refused > 0 && t.Tokens >= b.refused && now.Before(b.retry) {
			continue
		}
		switch used := m.Load().Tokens; {
		case best == nil || used < least:
			best, least, equals = m, used, 1
		case used == least:
			equals++
			if l.random.IntN(equals) == 0 {
				best = m
			}
		}
	}
	return best
}

func (l *Queue) belief(id string) *belief {
	b, found := l.beliefs[id]
	if !found {
		b = &belief{}
		l.beliefs[id] = b
	}
	return b
}

// forget drops what is known of engines that left.
func (l *Queue) forget(members []*upstream.Member) {
	if len(l.beliefs) <= len(members) {
		return
	}
	present := make(map[string]bool, len(members))
	for _, m := range members {
		present[m.ID] = true
	}
	for id, b := range l.beliefs {
		if !present[id] && !b.trying {
			delete(l.beliefs, id)
		}
	}
}

func (l *Queue) try(t *ticket, m *upstream.Member, now time.Time) {
	if t.class(now) == late {
		l.lateTry = now
	}
	if t.tried >= freeTries {
		l.next = now.Add(l.pace)
	}
	t.trying = true
	t.tried++
	l.belief(m.ID).trying = true
	go func() {
		outcome := l.reserve(t.ctx, m, t.Tokens)
		l.mu.Lock()
		defer l.mu.Unlock()
		l.settle(t, m, outcome, time.Now())
		l.schedule(time.Now())
	}()
}

func (l *Queue) settle(t *ticket, m *upstream.Member, outcome Outcome, now time.Time) {
	t.trying = false
	b := l.belief(m.ID)
	b.trying = false
	switch o := outcome.(type) {
	case Reserved:
		b.refused = 0
		if t.ctx.Err() != nil {
			l.release(m, o.ID)
			return
		}
		l.leave(t)
		l.drain.granted(now, len(l.waiting) > 0)
		t.result <- result{grant: Grant{Member: m, Reservation: o.ID, Attempts: t.tried}, granted: true}
	case Full:
		if b.refused == 0 || t.Tokens < b.refused || !now.Before(b.retry) {
			b.refused = t.Tokens
		}
		b.retry = now.Add(l.recheck)
	case Failed:
		if t.ctx.Err() == nil {
			b.refused, b.retry = 1, now.Add(unreachableRecheck)
		}
	}
}

func (l *Queue) leave(t *ticket) {
	if i := slices.Index(l.waiting, t); i >= 0 {
		l.waiting = slices.Delete(l.waiting, i, i+1)
	}
}

// arm wakes the line when the next engine may be asked again or the next waiter's time is over.
func (l *Queue) arm(now time.Time) {
	if len(l.waiting) == 0 {
		return
	}
	next := now.Add(l.recheck)
	if l.next.After(now) && l.next.Before(next) {
		next = l.next
	}
	for _, b := range l.beliefs {
		if b.refused > 0 && !b.trying && b.retry.After(now) && b.retry.Before(next) {
			next = b.retry
		}
	}
	for _, t := range l.waiting {
		for _, end := range []time.Time{t.ExpiresIfContended, t.Expires} {
			if end.After(now) && end.Before(next) {
				next = end
			}
		}
	}
	if l.timer == nil {
		l.timer = time.AfterFunc(next.Sub(now), l.wake)
		return
	}
	l.timer.Reset(next.Sub(now))
}

func (l *Queue) wake() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.schedule(time.Now())
}
