package bench

import (
	"time"
)

// send makes the first try of a request.
func (w *world) send(r *request) {
	r.first = w.clock.now
	r.asking = r.first
	r.again = func() { r.keeper.arrive(r) }
	r.refused = func() { w.refused(r) }
	w.try(r)
	w.clock.after(resendAfter, func() { w.overdue(r) })
	if w.scene.faults && w.random.Float64() < cancelFraction {
		within := time.Duration(w.random.Int64N(int64(cancelWithin)))
		w.clock.after(within, func() { w.giveUp(r) })
	}
}

func (w *world) try(r *request) {
	r.lastSent = w.clock.now
	w.clock.after(clientDelay+hopDelay, func() { r.keeper.arrive(r) })
}

// overdue resends a request without a first token, under the same key, at once.
func (w *world) overdue(r *request) {
	if r.over || r.received > 0 {
		return
	}
	if w.clock.now.Sub(r.first) >= patience {
		w.giveUp(r)
		return
	}
	if w.clock.now.Sub(r.lastSent) >= resendAfter {
		w.try(r)
	}
	w.clock.after(r.lastSent.Add(resendAfter).Sub(w.clock.now), func() { w.overdue(r) })
}

// refused sends a refusal to the caller, which resends at once, whatever time to
// come back it was told.
func (w *world) refused(r *request) {
	if r.over {
		return
	}
	r.refusals++
	if w.measuring() {
		w.tally.refused()
	}
	if r.received > 0 && r.lastToken.After(r.asking) {
		r.asking = w.clock.now
	}
	r.lastSent = w.clock.now.Add(clientDelay + hopDelay)
	if r.lastSent.Sub(r.asking) >= patience {
		w.giveUp(r)
		return
	}
	w.clock.afterTick(2*(clientDelay+hopDelay), resendTick, r.again)
}

// giveUp cancels a request.
func (w *world) giveUp(r *request) {
	if r.over {
		return
	}
	r.over = true
	w.clock.after(clientDelay+hopDelay, func() {
		for _, a := range r.attempts {
			r.keeper.end(a)
		}
	})
}

// token gives one token of an attempt to the caller.
func (w *world) token(a *attempt) {
	a.generated++
	r := a.request
	if r.streamer == nil || r.streamer.ended {
		r.streamer = a
	}
	if r.streamer != a || r.over {
		return
	}
	a.delivered = true
	r.received++
	if r.received == 1 {
		r.firstToken = w.clock.now.Add(clientDelay + hopDelay).Sub(r.first)
		w.tally.firstToken(r)
	} else {
		gap := w.clock.now.Sub(r.lastToken)
		r.gaps++
		if gap > betweenTokensTarget {
			r.lateGaps++
		}
		w.tally.gap(r, gap)
	}
	r.lastToken = w.clock.now
}

// answered ends a request with a whole answer.
func (w *world) answered(a *attempt) {
	r := a.request
	r.answers++
	if r.streamer == a && !r.over {
		r.whole = true
		r.over = true
	}
}
