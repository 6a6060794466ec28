package line

import (
	"slices"
	"time"
)

const (
	// drainShare is the share of a new interval in the smoothed one: it follows a change of
	// load within some ten grants.
	drainShare = 0.1
	// caution is how much longer than forecast a newcomer's wait is taken to be: other entries
	// take memory as well.
	caution = 1.5
)

type (
	// drain follows how fast a line with waiters gets memory.
	drain struct {
		// interval is the smoothed time between grants while somebody waits; zero: unknown.
		interval time.Duration
		last     time.Time
		// busy tells that somebody waited after the last grant.
		busy bool
	}
)

// granted records a grant, after which others wait or not.
func (d *drain) granted(now time.Time, waiting bool) {
	if d.busy {
		took := now.Sub(d.last)
		if d.interval == 0 {
			d.interval = took
		}
		d.interval += time.Duration(drainShare * float64(took-d.interval))
	}
	d.last, d.busy = now, waiting
}

// hopeless reports whether a newcomer is not going to get memory in time: by its target or, when
// that has passed, before it would be refused anyway. It answers bursts, in which an early refusal
// lets the caller come back when there is room. The caller holds the lock.
func (l *Queue) hopeless(t *ticket, now time.Time) bool {
	if t.trying || t.Resumed {
		return false
	}
	limit := t.OnTimeUntil
	if t.class(now) == late {
		limit = t.ExpiresIfContended
	}
	ahead := slices.Index(l.waiting, t)
	if ahead < 0 {
		// The line has refused it already.
		return false
	}
	forecast := caution * float64(ahead+1) * float64(l.drain.interval)
	return now.Add(time.Duration(forecast)).After(limit)
}
