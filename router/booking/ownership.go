package booking

import (
	"time"

	"gooseberrypin.example/router/refusal"
)

// refuse tells why a key without a record does not run here, or nil.
func (h *Home) refuse(c Call, now time.Time) *refusal.Refusal {
	if c.Created.After(now.Add(h.skew)) {
		return refusal.New(h.ranFuture(c, now), refusal.KeyInFuture, 0, "the key was created in the future")
	}
	if c.Created.Before(now.Add(-h.horizon)) {
		return refusal.New(refusal.RanUnknown, refusal.KeyTooOld, 0, "the key is older than the horizon")
	}
	if !h.homed(c) {
		return h.unowned(c)
	}
	if !c.Created.After(h.floor(c)) {
		return h.undecided(c)
	}
	if h.draining || h.leaving {
		return refusal.New(refusal.RanNo, refusal.Leaving, leavingRetry, "the upstream is stopping")
	}
	return nil
}

// owns tells whether only this sidecar can run a key, and whether its records cover it.
func (h *Home) owns(c Call, now time.Time) bool {
	if c.Created.After(now.Add(h.skew)) || c.Created.Before(now.Add(-h.horizon)) {
		return false
	}
	return h.homed(c) && c.Created.After(h.floor(c))
}

// homed tells whether only this sidecar can run a key from now on.
func (h *Home) homed(c Call) bool {
	p, found := h.pools[c.Pool]
	if !found || !h.selfListed() {
		return false
	}
	if c.Revision > h.revision || c.Revision < p.current().revision {
		return false
	}
	m, found := p.current().layout.Home(c.Key)
	return found && m.Is(h.self) && len(p.needs) == 0 && !p.current().settled.IsZero()
}

// unowned refuses a key that another sidecar may run or may have run.
func (h *Home) unowned(c Call) *refusal.Refusal {
	return refusal.New(refusal.RanUnknown, refusal.HomeUnsettled, unsettledRetry,
		"%s can't tell yet at revision %d whether the key ran elsewhere", h.self.Upstream, h.revision)
}

// undecided refuses a key of which this sidecar can't say whether it ran.
func (h *Home) undecided(c Call) *refusal.Refusal {
	if !h.homed(c) || h.draining {
		return h.unowned(c)
	}
	return refusal.New(refusal.RanUnknown, refusal.KeyTooOld, 0, "the key is outside of the times that its home's records cover")
}

// floor returns the creation time up to which a key may have run without a record here.
func (h *Home) floor(c Call) time.Time {
	floor := h.pools[c.Pool].since(c.Key, h.self).Add(h.widest + ClockBound)
	forgotten := time.Unix(0, h.forgotten.Load())
	if forgotten.After(floor) {
		return forgotten
	}
	return floor
}

// ranFuture tells whether a key from the future may have run: no clock of the fleet
// within the bound has let it run yet.
func (h *Home) ranFuture(c Call, now time.Time) refusal.Ran {
	if c.Created.After(now.Add(h.skew+ClockBound)) || h.owns(Call{Key: c.Key, Created: now, Pool: c.Pool, Revision: c.Revision}, now) {
		return refusal.RanNo
	}
	return refusal.RanUnknown
}

// selfListed tells whether the platform's list has the own VM.
func (h *Home) selfListed() bool {
	return h.listed[h.self.VM]
}
