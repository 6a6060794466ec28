package quota

import (
	"math"
	"sync"
	"time"
)

const (
	// minPerSecond is the least rate at which requests are granted. An upstream that states a limit of zero still gets
	// a request now and then, whose answer shows whether the limit has ended.
	minPerSecond = 0.25
	// burstTime is the time for which unused requests of a quota accumulate, beside one request.
	burstTime = 500 * time.Millisecond
	// takeoverTime is how long a ledger without history of an existing limit grants takeoverFactor of the limit only:
	// the entry that owned the quota before may still grant.
	takeoverTime   = 4 * time.Second
	takeoverFactor = 0.5
	// minRetryAfter and maxRetryAfter bound the time until an entry may ask again. With a high limit, several requests
	// become available within minRetryAfter and are granted at once.
	minRetryAfter = 20 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// askFactor times the limit is how often the entries that wait for requests ask together.
	askFactor = 2
	// ledgerRetention is how long an account is kept without grants. It is shorter than the time after which another
	// entry takes over a quota.
	ledgerRetention = 8 * time.Second
)

type (
	// ledger grants the requests of the quotas that one entry owns. Its grants for one upstream never exceed the limit
	// by more than the requests that accumulate in burstTime. It is safe for concurrent use.
	ledger struct {
		mu        sync.Mutex
		accounts  map[string]*account
		lastSweep time.Time
	}

	// account is the quota of one upstream.
	account struct {
		bucket
		// takeoverEnd is the end of takeoverTime, or the zero time.
		takeoverEnd time.Time
		// retries are for the entries that got no request.
		retries retryTimes
	}

	// bucket is a token bucket of requests, or of another unit. The zero value is empty.
	bucket struct {
		level   float64
		updated time.Time
	}

	// retryTimes spreads the times at which those who got nothing ask again.
	retryTimes struct {
		// last is when the last of them may ask.
		last time.Time
	}
)

func newLedger() *ledger {
	return &ledger{accounts: make(map[string]*account)}
}

// refill adds the requests of the time since the last call, up to a capacity.
func (b *bucket) refill(perSecond, capacity float64, now time.Time) {
	if elapsed := now.Sub(b.updated); !b.updated.IsZero() && elapsed > 0 {
		b.level = min(capacity, b.level+perSecond*elapsed.Seconds())
	}
	b.updated = now
}

// take takes up to a number of whole requests and returns how many.
func (b *bucket) take(requests int) int {
	taken := min(float64(requests), math.Floor(b.level))
	b.level -= taken
	return int(taken)
}

// until returns the time until the bucket has an amount.
func (b *bucket) until(amount, perSecond float64) time.Duration {
	return seconds(max(0, amount-b.level) / perSecond)
}

// grant grants up to a number of requests to an upstream at a rate, which is the limit or a part of it. If it grants
// none, it returns when to ask again.
func (l *ledger) grant(limit Limit, perSecond float64, requests int, now time.Time) (int, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sweep(now)
	a, found := l.accounts[limit.Upstream]
	if !found {
		a = &account{}
		if now.Sub(limit.Since) > takeoverTime {
			a.takeoverEnd = now.Add(takeoverTime)
		}
		l.accounts[limit.Upstream] = a
	}
	if now.Before(a.takeoverEnd) {
		perSecond *= takeoverFactor
	}
	perSecond = max(perSecond, minPerSecond)
	a.refill(perSecond, 1+perSecond*burstTime.Seconds(), now)
	if granted := a.take(max(1, requests)); granted > 0 {
		return granted, 0
	}
	return 0, a.retries.next(a.until(1, perSecond), 1, perSecond, now)
}

// next returns when one that got nothing should ask again for an amount that is available after a time. Those who wait
// ask one after the other, together askFactor times as often as amounts become available, as some have nothing to send by
// then.
func (r *retryTimes) next(available time.Duration, amount, perSecond float64, now time.Time) time.Duration {
	retryAfter := max(minRetryAfter, available, r.last.Add(seconds(amount/(askFactor*perSecond))).Sub(now))
	retryAfter = min(retryAfter, maxRetryAfter)
	r.last = now.Add(retryAfter)
	return retryAfter
}

// sweep removes the accounts without grants for ledgerRetention. The caller holds the lock.
func (l *ledger) sweep(now time.Time) {
	if now.Sub(l.lastSweep) < sweepInterval {
		return
	}
	l.lastSweep = now
	for name, a := range l.accounts {
		if now.Sub(a.updated) > ledgerRetention {
			delete(l.accounts, name)
		}
	}
}

// seconds returns a duration of a number of seconds, a day at most.
func seconds(s float64) time.Duration {
	const day = 24 * 60 * 60
	return time.Duration(math.Ceil(min(s, day) * float64(time.Second)))
}
