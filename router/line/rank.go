package line

import (
	"cmp"
	"slices"
	"time"
)

// rank orders waiters: resumed generations, then those that can still be on time, then the rest;
// among equals by priority and arrival.
func rank(waiting []*ticket, now time.Time) {
	slices.SortStableFunc(waiting, func(a, b *ticket) int {
		return cmp.Or(
			cmp.Compare(a.class(now), b.class(now)),
			cmp.Compare(a.Priority, b.Priority),
			a.Arrived.Compare(b.Arrived),
		)
	})
}

// class is 0 for resumed generations, 1 for those on time and 2 for late ones.
func (t *ticket) class(now time.Time) int {
	switch {
	case t.Resumed:
		return 0
	case now.Before(t.Due):
		return 1
	}
	return 2
}
