package reservation

import (
	"time"

	"gooseberrypin.example/router/upstream"
)

// beginAttempt counts an attempt at an engine as in flight.
func (q *Queue) beginAttempt(t *ticket, m *upstream.Member, now time.Time) {
	if t.class(now) == late {
		q.lastLateAttempt = now
	}
	if t.attempts >= q.unpaced(t, now) {
		q.nextAttempt = now.Add(q.attemptInterval)
		q.pacing.spend(now, q.attemptInterval)
	}
	t.reserving = true
	t.attempts++
	q.engineMemory(m.ID).reserving = true
}

// startReservation starts an attempt in the background.
func (q *Queue) startReservation(a attempt) {
	go func() {
		outcome := q.reserve(a.ticket.ctx, a.member, a.ticket.Tokens)
		q.mu.Lock()
		defer q.mu.Unlock()
		q.recordOutcome(a.ticket, a.member, outcome, time.Now())
		q.schedule(time.Now())
	}()
}

// recordOutcome grants a reservation to its waiter, releases it if the waiter's context ended, or caches the refusal.
func (q *Queue) recordOutcome(t *ticket, m *upstream.Member, outcome Outcome, now time.Time) {
	t.reserving = false
	engine := q.engineMemory(m.ID)
	engine.reserving = false
	engine.freedUntil = time.Time{}
	switch o := outcome.(type) {
	case Reserved:
		engine.refusedTokens, engine.fullTokens = 0, 0
		if t.ctx.Err() != nil {
			q.release(m, o.ID)
			return
		}
		q.remove(t)
		q.grants.record(now, len(q.waiting) > 0)
		t.result <- result{grant: Grant{Member: m, Reservation: o.ID, Attempts: t.attempts}, granted: true}
	case Full:
		q.recordRefusal(t, m, now)
	case Limited:
		engine.refusedTokens, engine.retryAt = 1, now.Add(o.RetryAfter)
	case Failed:
		if t.ctx.Err() == nil {
			engine.refusedTokens, engine.retryAt = 1, now.Add(unreachableRecheckInterval)
		}
	}
}

// recordRefusal records that an engine has no memory for a waiter. The caller holds the lock.
func (q *Queue) recordRefusal(t *ticket, m *upstream.Member, now time.Time) {
	engine := q.engineMemory(m.ID)
	if engine.refusedTokens == 0 || t.Tokens < engine.refusedTokens || !now.Before(engine.retryAt) {
		engine.refusedTokens = t.Tokens
	}
	engine.retryAt = now.Add(q.recheckInterval)
	q.pacing.refused = now
	q.recordFull(engine, t, m, now)
}
