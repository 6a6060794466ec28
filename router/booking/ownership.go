package booking

import (
	"time"

	"gooseberrypin.example/router/refusal"
)

// refuse returns the reason why a key without a record does not run here, or nil if it may run.
func (h *Home) refuse(c Call, now time.Time) *refusal.Refusal {
	if c.Created.After(now.Add(h.skew)) {
		return refusal.New(h.futureKeyRan(c, now), refusal.KeyInFuture, 0, "the key was created in the future")
	}
	if c.Created.Before(now.Add(-h.horizon)) {
		return refusal.New(refusal.RanUnknown, refusal.KeyTooOld, 0, "the key is older than the horizon")
	}
	if !h.isSettledHome(c) {
		return h.refuseUnsettled(c)
	}
	if !c.Created.After(h.coveredAfter(c)) {
		return h.refuseUncovered(c)
	}
	if h.draining || h.leaving {
		return refusal.New(refusal.RanNo, refusal.Leaving, leavingRetryAfter, "the upstream is stopping")
	}
	return nil
}

// owns reports whether only this sidecar can run a key and its records cover the key's creation time.
func (h *Home) owns(c Call, now time.Time) bool {
	if c.Created.After(now.Add(h.skew)) || c.Created.Before(now.Add(-h.horizon)) {
		return false
	}
	return h.isSettledHome(c) && c.Created.After(h.coveredAfter(c))
}

// isSettledHome reports whether only this sidecar can run a key from now on.
func (h *Home) isSettledHome(c Call) bool {
	p, found := h.pools[c.Pool]
	if !found || !h.selfListed() {
		return false
	}
	if c.Revision > h.revision || c.Revision < p.current().revision {
		return false
	}
	m, found := p.current().layout.Home(c.Key)
	return found && m.Is(h.self) && len(p.requiredRevisions) == 0 && !p.current().settled.IsZero()
}

// refuseUnsettled refuses a key that another sidecar may run or may have run.
func (h *Home) refuseUnsettled(c Call) *refusal.Refusal {
	return refusal.New(refusal.RanUnknown, refusal.HomeUnsettled, unsettledRetryAfter,
		"%s can't tell yet at revision %d whether the key ran elsewhere", h.self.Upstream, h.revision)
}

// refuseUncovered refuses a key for which this sidecar cannot determine whether it ran.
func (h *Home) refuseUncovered(c Call) *refusal.Refusal {
	if !h.isSettledHome(c) || h.draining {
		return h.refuseUnsettled(c)
	}
	return refusal.New(refusal.RanUnknown, refusal.KeyTooOld, 0, "the key is outside of the times that its home's records cover")
}

// coveredAfter returns the creation time up to which a key may have run without a record
// here. A key created later has a record if it ran.
func (h *Home) coveredAfter(c Call) time.Time {
	covered := h.pools[c.Pool].coveredSince(c.Key, h.self).Add(h.maxSkew + ClockBound)
	expired := time.Unix(0, h.expiredBeforeNanos.Load())
	if expired.After(covered) {
		return expired
	}
	return covered
}

// futureKeyRan returns whether a key created in the future may have run. It has not run if
// no sidecar whose clock is within ClockBound of this one's can have granted it yet, or if
// only this sidecar can run it and its records cover keys created now.
func (h *Home) futureKeyRan(c Call, now time.Time) refusal.Ran {
	if c.Created.After(now.Add(h.skew+ClockBound)) || h.owns(Call{Key: c.Key, Created: now, Pool: c.Pool, Revision: c.Revision}, now) {
		return refusal.RanNo
	}
	return refusal.RanUnknown
}

// selfListed reports whether the platform's list contains this sidecar's VM.
func (h *Home) selfListed() bool {
	return h.listed[h.self.VM]
}
