package line

import (
	"cmp"
	"slices"
	"time"
)

const (
	resumed class = iota
	onTime
	late
)

type (
	// class is the first criterion of the order.
	class int
)

// rank orders waiters: resumed generations, then those that can still be on time, then the rest;
// among equals by priority and arrival.
func rank(waiting []*ticket, now time.Time) {
	slices.SortStableFunc(waiting, func(a, b *ticket) int {
		return cmp.Or(
			cmp.Compare(a.class(now), b.class(now)),
			cmp.Compare(a.Priority, b.Priority),
			cmp.Compare(a.Tokens, b.Tokens),
		)
	})
}

// class returns the waiter's class now.
func (t *ticket) class(now time.Time) class {
	switch {
	case t.Resumed:
		return resumed
	case now.Before(t.OnTimeUntil):
		return onTime
	}
	return late
}
