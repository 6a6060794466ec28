// Package reservation queues the generations of one entry that wait for decode memory. When a burst fills all
// decode engines, freed memory goes first to the generations that can still meet their latency target.
package reservation

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"gooseberrypin.example/router/contention"
	"gooseberrypin.example/router/speed"
	"gooseberrypin.example/router/upstream"
)

const (
	// defaultRecheckInterval is the pause before another reservation attempt at a full engine. In a burst,
	// an engine completes a stream every few tens of milliseconds.
	defaultRecheckInterval = 40 * time.Millisecond
	// lateAttemptInterval is the minimum interval between a queue's reservation attempts for waiters past
	// their latency target. Engines do not distinguish between entries, so slower attempts for late waiters
	// leave memory to the on-time waiters of other entries.
	lateAttemptInterval = 150 * time.Millisecond
	// unpacedAttempts is the number of a waiter's attempts that are not subject to attemptInterval.
	unpacedAttempts = 4
	// engineAttemptInterval is the mean interval between paced attempts at one engine, over all entries. A
	// generation holds its memory for several seconds, so freed memory stays unused for less than a hundredth
	// of that time.
	engineAttemptInterval = 13 * time.Millisecond
	// unreachableRecheckInterval is the pause before another attempt at an engine that did not answer.
	unreachableRecheckInterval = 500 * time.Millisecond
)

type (
	// Waiter is a generation that needs decode memory.
	Waiter struct {
		// Tokens is the memory to reserve, in tokens.
		Tokens  int
		Arrived time.Time
		// OnTimeUntil is the latest time of a grant with which the first token meets its latency target.
		OnTimeUntil time.Time
		// ExpiresIfContended is the time from which the waiter is refused while any waiter is on time.
		ExpiresIfContended time.Time
		// Expires is the time from which the waiter is refused unconditionally.
		Expires time.Time
		// Priority is the waiter's priority. 0 is the most urgent.
		Priority int
		// Standing is the waiter's place among the waiters of all entries, where it is in force.
		Standing contention.Standing
		// Resumed reports whether the caller has already received a part of the answer.
		Resumed bool
		// OutputTokens is the likely length of the output, and Startup the expected time from a grant to the first event.
		OutputTokens int
		Startup      time.Duration
		// Deadline is when the caller stops waiting for the end of the stream. MaxTokenTime is the longest time per token
		// with which the pauses between events meet their target. Both are zero if there is no bound.
		Deadline     time.Time
		MaxTokenTime time.Duration
		// Avoid is the ID of an upstream where this generation failed. It is not chosen unless it is the pool's only one.
		Avoid string
	}

	// Grant is memory reserved at an engine.
	Grant struct {
		Member *upstream.Member
		// Reservation is the ID under which the engine holds the memory.
		Reservation string
		// Attempts is the number of reservation attempts, including those that did not succeed.
		Attempts int
		// Denial is why there is no memory.
		Denial Denial
	}

	// Reserver requests memory for a number of tokens from an engine.
	Reserver func(ctx context.Context, m *upstream.Member, tokens int) Outcome

	// Releaser releases the reservation with an ID.
	Releaser func(m *upstream.Member, id string)

	// Queue is the queue of one pool's generations that wait for decode memory. It is safe for concurrent use.
	Queue struct {
		reserve         Reserver
		release         Releaser
		members         func() []*upstream.Member
		recheckInterval time.Duration
		random          *rand.Rand
		entries         func() int
		speeds          func() *speed.View
		memoryTokens    int
		started         time.Time

		mu      sync.Mutex
		waiting []*ticket
		engines map[string]*engineMemory
		timer   *time.Timer
		grants  grantIntervals
		// lastLateAttempt is the time of the last attempt for a waiter past its latency target.
		lastLateAttempt time.Time
		// attemptInterval is the pause between two paced attempts, those beyond a waiter's unpacedAttempts.
		attemptInterval time.Duration
		// nextAttempt is the earliest time of the next paced attempt.
		nextAttempt time.Time
		pacing      pacing
	}

	// Option configures a Queue.
	Option func(*Queue)

	// ticket is a waiter in the queue.
	ticket struct {
		Waiter
		ctx context.Context
		// reserving reports whether an attempt is in flight.
		reserving bool
		// attempts is the number of attempts so far, including the one in flight.
		attempts int
		result   chan result
	}

	result struct {
		grant   Grant
		granted bool
	}

	// attempt is a reservation attempt to start for a waiter.
	attempt struct {
		ticket *ticket
		member *upstream.Member
	}
)

// NewQueue returns an empty queue. members returns the decode engines that accept work.
func NewQueue(reserve Reserver, release Releaser, members func() []*upstream.Member, opts ...Option) *Queue {
	q := &Queue{
		reserve:         reserve,
		release:         release,
		members:         members,
		recheckInterval: defaultRecheckInterval,
		random:          rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		entries:         func() int { return 1 },
		speeds:          func() *speed.View { return nil },
		started:         time.Now(),
		engines:         make(map[string]*engineMemory),
	}
	for _, opt := range opts {
		opt(q)
	}
	return q
}

// WithRecheckInterval sets the pause before another reservation attempt at a full engine. The default is 40 ms.
func WithRecheckInterval(pause time.Duration) Option {
	return func(q *Queue) { q.recheckInterval = pause }
}

// WithRandom sets the source of randomness that breaks ties between engines.
func WithRandom(random *rand.Rand) Option {
	return func(q *Queue) { q.random = random }
}

// WithEntries sets the function that returns the number of entries that use the same engines. The default is one.
func WithEntries(entries func() int) Option {
	return func(q *Queue) { q.entries = entries }
}

// Wait blocks until an engine has reserved memory for the waiter. It returns false when the waiter cannot meet
// its latency target, reaches its deadline or ctx ends. The grant then has only the number of attempts.
func (q *Queue) Wait(ctx context.Context, w Waiter) (Grant, bool) {
	t := &ticket{Waiter: w, ctx: ctx, result: make(chan result, 1)}
	q.mu.Lock()
	now := time.Now()
	q.add(t)
	q.schedule(now)
	if q.cannotMeetTarget(t, now) {
		q.remove(t)
		q.mu.Unlock()
		return Grant{Attempts: t.attempts, Denial: PredictedLate}, false
	}
	q.mu.Unlock()
	select {
	case r := <-t.result:
		return r.grant, r.granted
	case <-ctx.Done():
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.remove(t)
	select {
	case r := <-t.result:
		if r.granted {
			q.release(r.grant.Member, r.grant.Reservation)
		}
	default:
	}
	return Grant{Attempts: t.attempts}, false
}

// add adds a new waiter. The caller holds the lock.
func (q *Queue) add(t *ticket) {
	q.waiting = append(q.waiting, t)
	q.pacing.addSize(t.Tokens)
}

// Freed records that the engine with an ID freed memory. It ends the pause after a refusal there, so that waiters
// may be granted that memory immediately.
func (q *Queue) Freed(id string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if engine, found := q.engines[id]; found {
		engine.refusedTokens, engine.fullTokens = 0, 0
		engine.freedUntil = time.Now().Add(freedTime)
	}
	q.schedule(time.Now())
}

// Length returns the number of waiters in the queue.
func (q *Queue) Length() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting)
}

// schedule refuses expired waiters and starts an attempt for each waiter for which an engine may have
// enough free memory. The caller holds the lock.
func (q *Queue) schedule(now time.Time) {
	for _, a := range q.plan(now) {
		q.startReservation(a)
	}
	q.scheduleWake(now)
}

// plan refuses expired waiters and returns the attempts to start now, which count as in flight from then on. The caller holds
// the lock.
func (q *Queue) plan(now time.Time) []attempt {
	q.refuseExpired(now)
	if len(q.waiting) == 0 {
		return nil
	}
	rank(q.waiting, now)
	q.refuseOutranked(now)
	members := q.members()
	q.pruneEngines(members)
	if standingInForce(q.waiting) {
		q.pacing.chooseLarge(members, now)
	}
	q.attemptInterval = engineAttemptInterval * time.Duration(q.entries()) / time.Duration(max(1, len(members)))
	var attempts []attempt
	for _, t := range q.waiting {
		if t.reserving || now.Before(q.mayAttemptAt(t, now)) {
			continue
		}
		if m := q.choose(t, members, now); m != nil {
			q.beginAttempt(t, m, now)
			attempts = append(attempts, attempt{t, m})
		}
	}
	return attempts
}

// refuseExpired refuses the waiters past their deadline, except those with an attempt in flight.
func (q *Queue) refuseExpired(now time.Time) {
	onTimeWaiters := 0
	for _, t := range q.waiting {
		if now.Before(t.OnTimeUntil) {
			onTimeWaiters++
		}
	}
	kept := q.waiting[:0]
	for _, t := range q.waiting {
		if !t.reserving && t.expired(now, onTimeWaiters) {
			t.result <- result{grant: Grant{Attempts: t.attempts, Denial: Expired}}
			continue
		}
		kept = append(kept, t)
	}
	clear(q.waiting[len(kept):])
	q.waiting = kept
}

// expired reports whether the waiter is past its deadline, beside a number of waiters that are still on time.
func (t *ticket) expired(now time.Time, onTimeWaiters int) bool {
	return !now.Before(t.Expires) || onTimeWaiters > 0 && !now.Before(t.ExpiresIfContended)
}

// choose returns the engine with the fewest tokens in use by this process among those that may have enough
// free memory, or nil. Ties are broken at random: with many entries, each one uses no memory at most engines,
// so a fixed order would send the attempts of all entries to the same engine. Where engines differ in speed, it chooses by
// speed.
func (q *Queue) choose(t *ticket, members []*upstream.Member, now time.Time) *upstream.Member {
	if speeds := q.speeds(); speeds.Uneven() {
		return q.chooseBySpeed(t, members, speeds, now)
	}
	var best *upstream.Member
	for n, m := range q.leastUsed(t, members, now) {
		if n == 0 || q.random.IntN(n+1) == 0 {
			best = m
		}
	}
	return best
}

// leastUsed returns the engines with the fewest tokens in use by this process among those that may have enough free memory.
func (q *Queue) leastUsed(t *ticket, members []*upstream.Member, now time.Time) []*upstream.Member {
	var best []*upstream.Member
	leastTokens := 0
	for _, m := range members {
		if !q.mayHaveMemory(t, m, len(members), now) {
			continue
		}
		usedTokens := m.Load().Tokens
		if len(best) == 0 || usedTokens < leastTokens {
			best, leastTokens = best[:0], usedTokens
		}
		if usedTokens == leastTokens {
			best = append(best, m)
		}
	}
	return best
}

func (q *Queue) remove(t *ticket) {
	if i := slices.Index(q.waiting, t); i >= 0 {
		q.waiting = slices.Delete(q.waiting, i, i+1)
	}
}

// scheduleWake sets the timer to the next time when an engine may be retried, a paced attempt may start or a
// waiter reaches its deadline.
func (q *Queue) scheduleWake(now time.Time) {
	if len(q.waiting) == 0 {
		return
	}
	wakeAt := now.Add(q.recheckInterval)
	if q.nextAttempt.After(now) && q.nextAttempt.Before(wakeAt) {
		wakeAt = q.nextAttempt
	}
	for _, engine := range q.engines {
		if engine.refusedTokens > 0 && !engine.reserving && engine.retryAt.After(now) && engine.retryAt.Before(wakeAt) {
			wakeAt = engine.retryAt
		}
	}
	for _, t := range q.waiting {
		if at := q.mayAttemptAt(t, now); t.Standing.InForce && !t.reserving && at.After(now) && at.Before(wakeAt) {
			wakeAt = at
		}
		for _, deadline := range []time.Time{t.ExpiresIfContended, t.Expires} {
			if deadline.After(now) && deadline.Before(wakeAt) {
				wakeAt = deadline
			}
		}
	}
	if q.timer == nil {
		q.timer = time.AfterFunc(wakeAt.Sub(now), q.wake)
		return
	}
	q.timer.Reset(wakeAt.Sub(now))
}

func (q *Queue) wake() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.schedule(time.Now())
}
