package upstream

import (
	"time"
)

const (
	// Usable members may get new requests.
	Usable Condition = "usable"
	// Draining members have published that they finish their running requests only.
	Draining Condition = "draining"
	// Leaving members have announced in their answers that they leave.
	Leaving Condition = "leaving"
	// Replaced members have another incarnation at their address.
	Replaced Condition = "replaced"
	// Paused members rejected a request for lack of capacity, or asked for no requests for a time.
	Paused Condition = "paused"
	// Ejected members have failed.
	Ejected Condition = "ejected"
)

type (
	// Condition is whether a member may get new requests, and why not.
	Condition string
)

// Condition returns whether the member may get new requests. For those that may not for a limited time, it also returns the
// end of that time.
func (m *Member) Condition(now time.Time) (Condition, time.Time) {
	if m.Draining {
		return Draining, time.Time{}
	}
	return m.condition(now)
}

// condition returns the condition of a member that does not drain, and its end if it is known.
func (h *History) condition(now time.Time) (Condition, time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	pausedUntil := h.pausedUntil
	if h.backoffUntil.After(pausedUntil) {
		pausedUntil = h.backoffUntil
	}
	switch {
	case h.replaced:
		return Replaced, time.Time{}
	case now.Before(h.claimedUntil):
		return Replaced, h.claimedUntil
	case h.hasLeaver():
		return Leaving, time.Time{}
	case now.Before(h.ejectedUntil) && !pausedUntil.After(h.ejectedUntil):
		return Ejected, h.ejectedUntil
	case now.Before(pausedUntil):
		return Paused, pausedUntil
	}
	return Usable, time.Time{}
}

// usable reports whether the member may get new requests.
func (h *History) usable(now time.Time) bool {
	condition, _ := h.condition(now)
	return condition == Usable
}

// InRole returns all members of a pool and phase, ordered by ID, also those that get no new requests.
func (d *Directory) InRole(pool string, phase Phase) []*Member {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return filter(d.sorted(), func(m *Member) bool { return m.Pool == pool && m.Phase == phase })
}
