package upstream

import (
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
	// departure is an incarnation that has left. leavingAt is when it announced that; zero if it did not.
	departure struct {
		address     string
		started, at time.Time
		leavingAt   time.Time
	}
)

// departure returns the member as one that leaves now.
func (m *Member) departure() departure {
	return departure{address: m.Address, started: m.Started, at: time.Now(), leavingAt: m.lastLeavingAt()}
}

// announcementOf returns when the incarnation that is published now, under the same ID, announced that it leaves, or zero. A
// server that restarts under its ID may announce it before its registration is known here.
func (l departure) announcementOf(u Upstream) time.Time {
	ranThen := u.Address == l.address && u.Started.Before(l.leavingAt)
	if u.Started.IsZero() || !u.Started.Equal(l.started) && !ranThen {
		return time.Time{}
	}
	return l.leavingAt
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
	for id, left := range d.departed {
		if now.Sub(left.at) > departedRetention && now.After(d.restoreEnd) {
			delete(d.departed, id)
		}
	}
}
