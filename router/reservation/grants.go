package reservation

import (
	"slices"
	"time"
)

const (
	// intervalSmoothing is the weight of a new interval in the smoothed one. The smoothed interval follows a
	// change of load within about ten grants.
	intervalSmoothing = 0.1
	// waitSafetyFactor scales the predicted wait, because other entries reserve the same memory.
	waitSafetyFactor = 1.5
)

type (
	// grantIntervals measures the time between the grants of a queue with waiters.
	grantIntervals struct {
		// interval is the smoothed time between two grants while others wait. Zero means unknown.
		interval time.Duration
		// last is the time of the last grant.
		last time.Time
		// contended reports whether other waiters remained after the last grant.
		contended bool
	}
)

// record adds a grant. waiting reports whether other waiters remain.
func (d *grantIntervals) record(now time.Time, waiting bool) {
	if d.contended {
		sincePrevious := now.Sub(d.last)
		if d.interval == 0 {
			d.interval = sincePrevious
		}
		d.interval += time.Duration(intervalSmoothing * float64(sincePrevious-d.interval))
	}
	d.last, d.contended = now, waiting
}

// cannotMeetTarget reports whether a new waiter is predicted to get memory only after OnTimeUntil or, when that has
// passed, after ExpiresIfContended. In a burst, the early refusal lets the caller retry when memory is free. It
// returns false for resumed waiters and for those with an attempt in flight. The caller holds the lock.
func (q *Queue) cannotMeetTarget(t *ticket, now time.Time) bool {
	if t.reserving || t.Resumed {
		return false
	}
	limit := t.OnTimeUntil
	if t.class(now) == late {
		limit = t.ExpiresIfContended
	}
	ahead := slices.Index(q.waiting, t)
	if ahead < 0 {
		// schedule has refused the waiter already.
		return false
	}
	return now.Add(q.predictedWait(ahead)).After(limit)
}

// predictedWait returns the time after which a waiter behind a number of others is predicted to get memory; 0 if no interval
// between grants is known. The caller holds the lock.
func (q *Queue) predictedWait(ahead int) time.Duration {
	return time.Duration(waitSafetyFactor * float64(ahead+1) * float64(q.grants.interval))
}
