package bench

// stalledTransfer tries another path while the KV cache lives.
func (k *keeper) stalledTransfer(a *attempt) {
	if a.ended {
		return
	}
	if !k.world.policy.naive && !k.dispatcher.TooLate(a.ticket, k.world.clock.now) && k.budget.Allow() {
		a.source.move(a)
		return
	}
	k.lostKV(a)
}

// lostKV gives up an attempt whose KV cache is gone.
func (k *keeper) lostKV(a *attempt) {
	k.world.tally.shed("kv")
	k.refuse(a, hopDelay)
}

// move takes an attempt without a token to another decode server.
func (k *keeper) move(a *attempt, from string) {
	if a.ended {
		return
	}
	a.avoid = append(a.avoid, from)
	a.dest = nil
	a.source.stop(a)
	if k.dispatcher.TooLate(a.ticket, k.world.clock.now) || !k.budget.Allow() {
		k.world.tally.shed("move")
		k.refuse(a, 0)
		return
	}
	k.reserve(a)
}

// lostStream goes on with a request whose decode server was lost, from the tokens that
// the caller has, while the retry budget allows.
func (k *keeper) lostStream(a *attempt) {
	if a.ended {
		return
	}
	r := a.request
	k.end(a)
	if k.world.policy.naive || !k.budget.Allow() {
		k.world.tally.shed("lost")
		k.world.refused(r)
		return
	}
	k.begin(r)
}
