package bench

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"gooseberrypin.example/router/decode"
	"gooseberrypin.example/router/dispatch"
	"gooseberrypin.example/router/prefill"
	"gooseberrypin.example/router/retry"
)

const (
	retryFraction  = 0.2
	retryBurst     = 40
	assignInterval = 5 * time.Millisecond
	// messageOverhead is the total latency of messages between the arrival and the first token.
	messageOverhead = 4 * hopDelay
	// entryFirstTokenTarget is the target of the callers without the latency between caller and entry.
	entryFirstTokenTarget = firstTokenTarget - 2*(clientDelay+hopDelay)
	// unlimitedFirstTokenTarget is the first-token target of the naive policy, which never refuses late requests.
	unlimitedFirstTokenTarget = time.Hour
)

type (
	// entry simulates an entry of the router. It owns the requests that were sent to it and decides with the router's
	// own packages.
	entry struct {
		simulation *simulation
		prefills   *prefill.Chooser
		decodes    *decode.Chooser
		dispatcher *dispatch.Dispatcher
		budget     *retry.Budget
		// waiting holds the attempts that are queued for decode memory, by ticket.
		waiting         map[*dispatch.Ticket]*attempt
		assignScheduled bool
		// attempts is the number of attempts that were started.
		attempts int
		name     string
	}
)

func newEntry(sm *simulation, name string, random *rand.Rand) *entry {
	e := &entry{
		simulation: sm,
		name:       name,
		prefills:   prefill.NewChooser(random, prefill.WithStrategy(sm.policy.prefill)),
		decodes:    decode.NewChooser(random, decode.WithStrategy(sm.policy.decode)),
		budget:     retry.NewBudget(retryFraction, retry.WithBurst(retryBurst)),
		waiting:    make(map[*dispatch.Ticket]*attempt),
	}
	firstToken := time.Duration(entryFirstTokenTarget)
	if sm.policy.naive {
		firstToken = unlimitedFirstTokenTarget
	}
	e.dispatcher = dispatch.New(random,
		dispatch.WithChoosers(e.prefills, e.decodes),
		dispatch.WithTargets(firstToken, betweenTokensTarget),
		dispatch.WithTransferCostPerToken(transferTime(1)),
		dispatch.WithOverhead(messageOverhead),
		dispatch.WithPieceTokens(pieceTokens))
	return e
}

// receive handles a request from its caller. It ignores a resend while the request has an active attempt. The naive
// policy starts another attempt instead.
func (e *entry) receive(r *request) {
	if r.done || (r.hasActiveAttempt() && !e.simulation.policy.naive) {
		return
	}
	e.startAttempt(r)
}

// startAttempt starts a new attempt for a request if admission control admits it, and refuses the request otherwise.
// The tokens that the caller has already received become part of the prompt, except under the naive policy.
func (e *entry) startAttempt(r *request) {
	prompt := r.size.prompt
	if !e.simulation.policy.naive {
		prompt.Tokens += r.received
	}
	ticket, refused := e.dispatcher.Admit(dispatch.Request{
		Key:       r.key,
		Partner:   r.partner,
		Weight:    1,
		Prompt:    prompt,
		Continued: r.received > 0 && !e.simulation.policy.naive,
	}, e.pools(), e.simulation.clock.now)
	if refused != nil {
		e.simulation.measurements.recordShed("admit")
		e.simulation.deliverRefusal(r)
		return
	}
	if len(r.attempts) == 0 {
		e.budget.RecordFirstTry()
	}
	e.dispatchAttempt(&attempt{request: r, prompt: prompt}, ticket)
}

// dispatchAttempt registers an admitted attempt and sends it to its prefill server. A policy that reserves decode
// memory on arrival reserves it first.
func (e *entry) dispatchAttempt(a *attempt, t *dispatch.Ticket) {
	e.attempts++
	a.id = fmt.Sprintf("%s/%d", e.name, e.attempts)
	a.ticket = t
	a.deadline = t.Deadline
	a.choice = t.Choice
	a.prefillServer = e.simulation.prefills[t.Choice.Upstream]
	r := a.request
	r.attempts = append(slices.DeleteFunc(r.attempts, func(b *attempt) bool { return b.ended }), a)
	if e.simulation.policy.reserve == reserveAtArrival {
		e.reserve(a)
		return
	}
	e.simulation.clock.after(hopDelay, func() { a.prefillServer.enqueue(a) })
}

func (e *entry) pools() dispatch.Pools {
	return dispatch.Pools{Prefills: e.simulation.prefillNames, Decodes: e.simulation.decodeNames, SharingEntries: entryCount}
}

// reserve queues an attempt for decode memory.
func (e *entry) reserve(a *attempt) {
	if a.ended {
		return
	}
	e.waiting[a.ticket] = a
	e.dispatcher.Enqueue(a.ticket, a.avoidedServers)
	e.assign()
}

// assign reserves decode memory for queued attempts at servers with free memory and refuses the attempts that are too
// late. It repeats every assignInterval while attempts are queued.
func (e *entry) assign() {
	for _, assigned := range e.dispatcher.Assign(e.pools(), e.simulation.clock.now) {
		a := e.waiting[assigned.Ticket]
		delete(e.waiting, assigned.Ticket)
		if assigned.TooLate {
			e.simulation.measurements.recordShed("reserve")
			e.refuseAttempt(a, 0)
			continue
		}
		e.reserveAt(a, e.simulation.decodes[assigned.Upstream])
	}
	if e.assignScheduled || e.dispatcher.Waiting() == 0 {
		return
	}
	e.assignScheduled = true
	e.simulation.clock.after(assignInterval, func() {
		e.assignScheduled = false
		e.assign()
	})
}

// reserveAt sends a reservation to a decode server. If the server refuses it, the attempt is queued again.
func (e *entry) reserveAt(a *attempt, s *decodeServer) {
	e.simulation.clock.after(hopDelay, func() {
		if a.ended {
			return
		}
		refused := s.reserve(a)
		hint := s.hint()
		e.simulation.clock.after(hopDelay, func() {
			e.decodes.Observe(hint)
			switch {
			case a.ended:
			case refused != nil:
				e.reserve(a)
			default:
				e.reservedAt(a, s.name)
			}
		})
	})
}

// reservedAt continues an attempt whose decode memory is reserved. The next step is the transfer if the prefill is
// complete, and the prefill otherwise.
func (e *entry) reservedAt(a *attempt, server string) {
	e.dispatcher.Reserved(a.ticket, server, e.simulation.clock.now)
	switch {
	case !a.kvExpires.IsZero():
		e.simulation.clock.after(hopDelay, func() { a.prefillServer.queueTransfer(a) })
	case e.simulation.policy.reserve == reserveAtArrival:
		e.simulation.clock.after(hopDelay, func() { a.prefillServer.enqueue(a) })
	default:
		e.simulation.clock.after(hopDelay, func() { a.prefillServer.allowStart(a) })
	}
}

// prefilled continues an attempt whose prefill is complete, with the transfer or the reservation of decode memory.
func (e *entry) prefilled(a *attempt) {
	e.dispatcher.Prefilled(a.ticket)
	a.ticket.KVExpires = a.kvExpires
	if a.ended {
		return
	}
	if a.decodeServer == nil {
		e.reserve(a)
		return
	}
	e.simulation.clock.after(hopDelay, func() { a.prefillServer.queueTransfer(a) })
}

// finishAttempt records that an attempt delivered a complete answer.
func (e *entry) finishAttempt(a *attempt) {
	a.ended = true
	e.dispatcher.Finish(a.ticket, a.request.size.outputTokens, e.simulation.clock.now)
	e.assign()
}

// refuseAttempt cancels an attempt and sends a refusal to the caller. The refusal takes delay to reach the entry.
func (e *entry) refuseAttempt(a *attempt, delay time.Duration) {
	if a.ended {
		return
	}
	e.cancelAttempt(a)
	if delay == 0 {
		e.simulation.deliverRefusal(a.request)
		return
	}
	e.simulation.clock.after(delay, a.request.receiveRefusal)
}

// cancelAttempt cancels an attempt and releases its resources at the servers.
func (e *entry) cancelAttempt(a *attempt) {
	if a.ended {
		return
	}
	a.ended = true
	if _, isWaiting := e.waiting[a.ticket]; isWaiting {
		delete(e.waiting, a.ticket)
		e.dispatcher.End(a.ticket, 0, e.simulation.clock.now)
	}
	e.simulation.clock.after(hopDelay, func() {
		a.prefillServer.removeAttempt(a)
		if a.decodeServer != nil {
			a.decodeServer.removeAttempt(a)
		}
		e.dispatcher.End(a.ticket, a.generatedTokens, e.simulation.clock.now)
		e.assign()
		e.simulation.recordAttemptEnd(a)
	})
}

// observePrefill records the load report in a prefill server's response, which arrives after hopDelay.
func (e *entry) observePrefill(h prefill.Hint) {
	e.simulation.clock.after(hopDelay, func() { e.prefills.Observe(h) })
}

// observeDecode records the load report of a decode server. Except under the naive policy, the dispatcher also derives
// the capacity of the pool from it.
func (e *entry) observeDecode(h decode.Hint) {
	if e.simulation.policy.naive {
		e.decodes.Observe(h)
		return
	}
	e.dispatcher.ObserveDecode(h, e.simulation.decodeNames)
}
