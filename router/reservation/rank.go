package reservation

import (
	"cmp"
	"slices"
	"time"
)

const (
	resumed class = iota
	onTime
	late

	// sizeDelay is the time that one token counts as. A generation of twice the usual size yields to those that arrive up to
	// 0.2 s later.
	sizeDelay = 50 * time.Microsecond
)

type (
	// class is the first sort criterion of waiters. Lower classes come first.
	class int
)

// rank sorts waiters. Where standing is not in force, it sorts by class: resumed generations first, then those on time, then
// the late ones. Within a class it sorts by priority, then by tokens, the fewest first. Equal waiters keep their order.
func rank(waiting []*ticket, now time.Time) {
	if standingInForce(waiting) {
		rankByStanding(waiting, now)
		return
	}
	slices.SortStableFunc(waiting, func(a, b *ticket) int {
		return cmp.Or(
			cmp.Compare(a.class(now), b.class(now)),
			cmp.Compare(a.Priority, b.Priority),
			cmp.Compare(a.Tokens, b.Tokens),
		)
	})
}

func standingInForce(waiting []*ticket) bool {
	return slices.ContainsFunc(waiting, func(t *ticket) bool { return t.Standing.InForce })
}

// rankByStanding sorts waiters by standing, after the resumed generations. Lateness comes after standing: a less urgent
// generation stays on time for longer, and would come first for that reason. Then it sorts by arrival, where each token
// counts as a time.
func rankByStanding(waiting []*ticket, now time.Time) {
	slices.SortStableFunc(waiting, func(a, b *ticket) int {
		if c := cmp.Compare(min(a.class(now), onTime), min(b.class(now), onTime)); c != 0 {
			return c
		}
		return cmp.Or(
			a.Standing.Compare(b.Standing),
			cmp.Compare(a.class(now), b.class(now)),
			a.Arrived.Add(time.Duration(a.Tokens)*sizeDelay).Compare(b.Arrived.Add(time.Duration(b.Tokens)*sizeDelay)),
		)
	})
}

// class returns the waiter's class at a time.
func (t *ticket) class(now time.Time) class {
	switch {
	case t.Resumed:
		return resumed
	case now.Before(t.OnTimeUntil):
		return onTime
	}
	return late
}
