package upstream

import (
	"maps"
	"slices"
	"time"
)

const (
	// RestoreGrace is how long after a restore of the source an incarnation that had left before is not used again. By
	// then the source has removed what does not publish itself any more: three heartbeats of about 1.2 s.
	RestoreGrace = 8 * time.Second
	// departedRetention is how long an incarnation that has left is kept, in case it is published again: by an older copy of
	// the source, or because its registration had lapsed.
	departedRetention = 10 * time.Minute
)

type (
	// departure is an incarnation that has left, or whose registration has lapsed.
	departure struct {
		address     string
		started, at time.Time
		// history is the one that requests in progress still update.
		history *History
	}

	// Termination reports that an incarnation was found to have terminated.
	Termination struct {
		Upstream
		// Final is whether the incarnation can't return. Otherwise its registration may only have lapsed.
		Final bool
	}
)

// departure returns the member as one that leaves now.
func (m *Member) departure() departure {
	return departure{address: m.Address, started: m.Started, at: time.Now(), history: m.History}
}

// historyOf returns the history of the incarnation that is published now, under the same ID. A registration that lapses and
// returns names the incarnation that ran before, whose pause holds on. Another incarnation starts anew.
func (l departure) historyOf(u Upstream) *History {
	if l.history == nil {
		return &History{}
	}
	if !u.Started.IsZero() && u.Started.Equal(l.started) && u.Address == l.address {
		l.history.returned()
		return l.history
	}
	next := &History{leavingAt: l.announcementOf(u)}
	if u.Address == l.address && u.Started.After(l.started) && !l.started.IsZero() {
		l.history.succeed(next, u.Started)
	}
	return next
}

// announcementOf returns when the incarnation that is published now, under the same ID, announced that it leaves, or zero. A
// server that restarts under its ID may announce it before its registration is known here.
func (l departure) announcementOf(u Upstream) time.Time {
	leavingAt := l.history.lastLeavingAt()
	ranThen := u.Address == l.address && u.Started.Before(leavingAt)
	if u.Started.IsZero() || !u.Started.Equal(l.started) && !ranThen {
		return time.Time{}
	}
	return leavingAt
}

// returned records that a lapsed registration has returned: the server publishes itself, so it was not replaced.
func (h *History) returned() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.replaced = false
}

// unpublished returns the termination of a member that is not published any more, or nothing if it was reported before.
// Whether an incarnation without a start time returns can't be told.
func (m *Member) unpublished() []Termination {
	return m.newlyTerminated(m.Draining || m.isLeaving() || m.Started.IsZero())
}

// SourceRestored records that the source has returned from an older copy, which may lack upstreams and may hold some that
// have left. It begins the grace period after an outage and RestoreGrace. Call it before Replace.
func (d *Directory) SourceRestored(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.graceEnd = now.Add(removalGrace)
	d.restoreEnd = now.Add(RestoreGrace)
}

// forgetDeparted removes the incarnations that left longer than departedRetention ago. The caller holds the lock.
func (d *Directory) forgetDeparted(now time.Time) {
	before := len(d.departed)
	maps.DeleteFunc(d.departed, func(_ string, left departure) bool {
		return now.Sub(left.at) > departedRetention && now.After(d.restoreEnd)
	})
	if len(d.departed) == before {
		return
	}
	maps.DeleteFunc(d.occupants, func(address string, o occupant) bool {
		_, departed := d.departed[o.id]
		return !departed && !slices.Contains(d.idsByAddress[address], o.id)
	})
}
