package upstream

import (
	"time"
)

const (
	// claimTime is how long a member gets no requests after a later start was published at its address. By then the
	// registration of a process that has terminated has lapsed (three heartbeats of about 1.2 s). What is still published
	// publishes itself, and the later start may be the mistake of another writer.
	claimTime = 8 * time.Second
)

type (
	// occupant is the latest incarnation at an address, by its start time.
	occupant struct {
		id      string
		started time.Time
		history *History
	}
)

// claim records that a later start is published at the address, and reports whether this is new. It counts once for an
// incarnation: one that has stayed published beyond claimTime is alive, and only an answer of another incarnation shows that
// it was replaced.
func (h *History) claim(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.claimedUntil.IsZero() {
		return false
	}
	h.claimedUntil = now.Add(claimTime)
	return true
}

// replacePredecessors takes the earlier incarnations at a new member's address as replaced, and returns those that were not
// before. If a later incarnation is already published at the address, the new member itself is taken as replaced. The caller
// holds the lock.
func (d *Directory) replacePredecessors(next *Member) []Termination {
	var terminated []Termination
	for _, id := range d.idsByAddress[next.Address] {
		m := d.members[id]
		switch {
		case m.ID == next.ID, m.Started.IsZero(), next.Started.IsZero():
		case m.Started.After(next.Started):
			next.claim(time.Now())
		case m.Started.Before(next.Started):
			newly := m.newlyTerminated(false)
			if m.claim(time.Now()) {
				terminated = append(terminated, newly...)
			}
		}
	}
	return terminated
}

// occupy records which incarnation at a new member's address is the latest. An older copy of the source may publish an earlier
// one without it, and a claim ends before an outage does. Incarnations without a start time are left out. The caller holds the lock.
func (d *Directory) occupy(next *Member) {
	if next.Started.IsZero() {
		return
	}
	latest, found := d.occupants[next.Address]
	if !found || !next.Started.Before(latest.started) {
		latest = occupant{id: next.ID, started: next.Started, history: next.History}
		d.occupants[next.Address] = latest
	}
	for _, id := range d.idsByAddress[next.Address] {
		if m := d.members[id]; !m.Started.IsZero() && m.Started.Before(latest.started) {
			m.setOccupant(latest.history)
		}
	}
}

// setOccupant sets the history of the latest incarnation at the address.
func (h *History) setOccupant(latest *History) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.occupant = latest
}

// newlyTerminated returns the termination of the incarnation, or nothing if it counts as replaced already.
func (m *Member) newlyTerminated(final bool) []Termination {
	if m.isReplaced(time.Now()) {
		return nil
	}
	return []Termination{{Upstream: m.Upstream, Final: final}}
}
