package bench

// retryStalledTransfer retries a stalled transfer over another path if the first token can still meet its target and
// the retry budget allows it. Otherwise, and under the naive policy, it refuses the attempt.
func (e *entry) retryStalledTransfer(a *attempt) {
	if a.ended {
		return
	}
	if !e.simulation.policy.naive && !e.dispatcher.TooLate(a.ticket, e.simulation.clock.now) && e.budget.Allow() {
		a.prefillServer.queueTransfer(a)
		return
	}
	e.refuseLostKV(a)
}

// refuseLostKV refuses an attempt whose KV cache expired or was not transferred.
func (e *entry) refuseLostKV(a *attempt) {
	e.simulation.measurements.recordShed("kv")
	e.refuseAttempt(a, hopDelay)
}

// retryOnOtherServer reserves decode memory for an attempt without a token at a decode server other than from. It
// refuses the attempt if the first token would miss its target or the retry budget is exhausted.
func (e *entry) retryOnOtherServer(a *attempt, from string) {
	if a.ended {
		return
	}
	a.avoidedServers = append(a.avoidedServers, from)
	a.decodeServer = nil
	a.prefillServer.cancelTransfer(a)
	if e.dispatcher.TooLate(a.ticket, e.simulation.clock.now) || !e.budget.Allow() {
		e.simulation.measurements.recordShed("move")
		e.refuseAttempt(a, 0)
		return
	}
	e.reserve(a)
}

// resumeLostStream starts a new attempt for a request whose decode server crashed or whose reservation expired. The new
// attempt continues after the tokens that the caller has received. The request is refused under the naive policy or if
// the retry budget is exhausted.
func (e *entry) resumeLostStream(a *attempt) {
	if a.ended {
		return
	}
	r := a.request
	e.cancelAttempt(a)
	if e.simulation.policy.naive || !e.budget.Allow() {
		e.simulation.measurements.recordShed("lost")
		e.simulation.deliverRefusal(r)
		return
	}
	e.startAttempt(r)
}
