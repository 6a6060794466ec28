package bench

import (
	"time"
)

// send sends a request for the first time. In cases with faults, a fraction of the callers cancels the request after a
// random delay.
func (sm *simulation) send(r *request) {
	r.firstSent = sm.clock.now
	r.waitingSince = r.firstSent
	r.resend = func() { r.entry.receive(r) }
	r.receiveRefusal = func() { sm.deliverRefusal(r) }
	sm.sendToEntry(r)
	sm.clock.after(resendAfter, func() { sm.resendWithoutToken(r) })
	if sm.benchCase.faults && sm.random.Float64() < callerCancelFraction {
		delay := time.Duration(sm.random.Int64N(int64(maxCallerCancelDelay)))
		sm.clock.after(delay, func() { sm.cancel(r) })
	}
}

// sendToEntry sends a request from the caller to its entry.
func (sm *simulation) sendToEntry(r *request) {
	r.lastSent = sm.clock.now
	sm.clock.after(clientDelay+hopDelay, func() { r.entry.receive(r) })
}

// resendWithoutToken resends a request that has no token resendAfter after it was last sent. The key stays the same.
// The caller cancels the request after callerTimeout.
func (sm *simulation) resendWithoutToken(r *request) {
	if r.done || r.received > 0 {
		return
	}
	if sm.clock.now.Sub(r.firstSent) >= callerTimeout {
		sm.cancel(r)
		return
	}
	if sm.clock.now.Sub(r.lastSent) >= resendAfter {
		sm.sendToEntry(r)
	}
	sm.clock.after(r.lastSent.Add(resendAfter).Sub(sm.clock.now), func() { sm.resendWithoutToken(r) })
}

// deliverRefusal sends a refusal to the caller. The caller resends at once and ignores the retry delay of the refusal.
// It cancels the request when it has received no token for callerTimeout.
func (sm *simulation) deliverRefusal(r *request) {
	if r.done {
		return
	}
	r.refusals++
	if sm.measuring() {
		sm.measurements.recordRefusal()
	}
	if r.received > 0 && r.lastToken.After(r.waitingSince) {
		r.waitingSince = sm.clock.now
	}
	r.lastSent = sm.clock.now.Add(clientDelay + hopDelay)
	if r.lastSent.Sub(r.waitingSince) >= callerTimeout {
		sm.cancel(r)
		return
	}
	sm.clock.afterTick(2*(clientDelay+hopDelay), resendGranularity, r.resend)
}

// cancel makes the caller cancel a request. The entry cancels all its attempts.
func (sm *simulation) cancel(r *request) {
	if r.done {
		return
	}
	r.done = true
	sm.clock.after(clientDelay+hopDelay, func() {
		for _, a := range r.attempts {
			r.entry.cancelAttempt(a)
		}
	})
}

// deliverToken sends one token of an attempt to the caller. Only the tokens of one attempt at a time are delivered.
func (sm *simulation) deliverToken(a *attempt) {
	a.generatedTokens++
	r := a.request
	if r.deliveringAttempt == nil || r.deliveringAttempt.ended {
		r.deliveringAttempt = a
	}
	if r.deliveringAttempt != a || r.done {
		return
	}
	a.delivered = true
	r.received++
	if r.received == 1 {
		r.timeToFirstToken = sm.clock.now.Add(clientDelay + hopDelay).Sub(r.firstSent)
		sm.measurements.recordFirstToken(r)
	} else {
		gap := sm.clock.now.Sub(r.lastToken)
		r.gaps++
		if gap > betweenTokensTarget {
			r.lateGaps++
		}
		sm.measurements.recordGap(r, gap)
	}
	r.lastToken = sm.clock.now
}

// completeRequest records a complete answer of an attempt. The request is done if the attempt delivered its tokens to
// the caller.
func (sm *simulation) completeRequest(a *attempt) {
	r := a.request
	r.answers++
	if r.deliveringAttempt == a && !r.done {
		r.complete = true
		r.done = true
	}
}
