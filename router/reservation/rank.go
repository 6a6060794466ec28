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
)

type (
	// class is the first sort criterion of waiters. Lower classes come first.
	class int
)

// rank sorts waiters by class: resumed generations first, then those on time, then the late ones.
// Within a class it sorts by priority, then by tokens, the fewest first. Equal waiters keep their order.
func rank(waiting []*ticket, now time.Time) {
	slices.SortStableFunc(waiting, func(a, b *ticket) int {
		return cmp.Or(
			cmp.Compare(a.class(now), b.class(now)),
			cmp.Compare(a.Priority, b.Priority),
			cmp.Compare(a.Tokens, b.Tokens),
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
