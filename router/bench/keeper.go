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
	waitingCheck   = 5 * time.Millisecond
	overhead       = 4 * hopDelay
	deadlineAtEdge = firstTokenTarget - 2*(clientDelay+hopDelay)
	// noDeadline is the first-token target of a policy without one.
	noDeadline = time.Hour
)

type (
	// keeper is an entry that keeps requests, with its decisions.
	keeper struct {
		world      *world
		prefills   *prefill.Chooser
		decodes    *decode.Chooser
		dispatcher *dispatch.Dispatcher
		budget     *retry.Budget
		// waiting are the attempts in line for decode memory, by ticket.
		waiting  map[*dispatch.Ticket]*attempt
		checking bool
		attempts int
		name     string
	}
)

func newKeeper(w *world, name string, random *rand.Rand) *keeper {
	k := &keeper{
		world:    w,
		name:     name,
		prefills: prefill.NewChooser(random, prefill.WithStrategy(w.policy.prefill)),
		decodes:  decode.NewChooser(random, decode.WithStrategy(w.policy.decode)),
		budget:   retry.NewBudget(retryFraction, retry.WithBurst(retryBurst)),
		waiting:  make(map[*dispatch.Ticket]*attempt),
	}
	firstToken := time.Duration(deadlineAtEdge)
	if w.policy.naive {
		firstToken = noDeadline
	}
	k.dispatcher = dispatch.New(random,
		dispatch.WithChoosers(k.prefills, k.decodes),
		dispatch.WithTargets(firstToken, betweenTokensTarget),
		dispatch.WithTransferCostPerToken(transferTime(1)),
		dispatch.WithOverhead(overhead),
		dispatch.WithPieceTokens(pieceTokens))
	return k
}

// arrive takes a try of a request.
func (k *keeper) arrive(r *request) {
	if r.over || (r.live() && !k.world.policy.naive) {
		return
	}
	k.begin(r)
}

// begin starts an attempt, with the tokens that the caller already has as part of the
// prompt, unless it is shed.
func (k *keeper) begin(r *request) {
	prompt := r.size.prompt
	if !k.world.policy.naive {
		prompt.Tokens += r.received
	}
	ticket, why := k.dispatcher.Admit(dispatch.Request{
		Key:       r.key,
		Partner:   r.partner,
		Weight:    1,
		Prompt:    prompt,
		Continued: r.received > 0 && !k.world.policy.naive,
	}, k.pools(), k.world.clock.now)
	if why != nil {
		k.world.tally.shed("admit")
		k.world.refused(r)
		return
	}
	if len(r.attempts) == 0 {
		k.budget.Try()
	}
	k.enter(&attempt{request: r, prompt: prompt}, ticket)
}

// enter makes an admitted attempt known and sends it to its prefill server.
func (k *keeper) enter(a *attempt, t *dispatch.Ticket) {
	k.attempts++
	a.id = fmt.Sprintf("%s/%d", k.name, k.attempts)
	a.ticket = t
	a.deadline = t.Deadline
	a.choice = t.Choice
	a.source = k.world.prefills[t.Choice.Upstream]
	r := a.request
	r.attempts = append(slices.DeleteFunc(r.attempts, func(b *attempt) bool { return b.ended }), a)
	if k.world.policy.reserve == reserveAtArrival {
		k.reserve(a)
		return
	}
	k.world.clock.after(hopDelay, func() { a.source.push(a) })
}

func (k *keeper) pools() dispatch.Pools {
	return dispatch.Pools{Prefills: k.world.prefillNames, Decodes: k.world.decodeNames, SharingEntries: entries}
}

// reserve puts an attempt into the line for decode memory.
func (k *keeper) reserve(a *attempt) {
	if a.ended {
		return
	}
	k.waiting[a.ticket] = a
	k.dispatcher.Enqueue(a.ticket, a.avoid)
	k.assign()
}

// assign asks for memory where there is room, and looks again soon while attempts wait.
func (k *keeper) assign() {
	for _, given := range k.dispatcher.Assign(k.pools(), k.world.clock.now) {
		a := k.waiting[given.Ticket]
		delete(k.waiting, given.Ticket)
		if given.TooLate {
			k.world.tally.shed("reserve")
			k.refuse(a, 0)
			continue
		}
		k.ask(a, k.world.decodes[given.Upstream])
	}
	if k.checking || k.dispatcher.Waiting() == 0 {
		return
	}
	k.checking = true
	k.world.clock.after(waitingCheck, func() {
		k.checking = false
		k.assign()
	})
}

// ask reserves memory at a decode server.
func (k *keeper) ask(a *attempt, s *decodeServer) {
	k.world.clock.after(hopDelay, func() {
		if a.ended {
			return
		}
		refused := s.reserve(a)
		hint := s.hint()
		k.world.clock.after(hopDelay, func() {
			k.decodes.Observe(hint)
			switch {
			case a.ended:
			case refused != nil:
				k.reserve(a)
			default:
				k.reservedAt(a, s.name)
			}
		})
	})
}

func (k *keeper) reservedAt(a *attempt, server string) {
	k.dispatcher.Reserved(a.ticket, server, k.world.clock.now)
	switch {
	case !a.kvExpires.IsZero():
		k.world.clock.after(hopDelay, func() { a.source.move(a) })
	case k.world.policy.reserve == reserveAtArrival:
		k.world.clock.after(hopDelay, func() { a.source.push(a) })
	default:
		k.world.clock.after(hopDelay, func() { a.source.start(a) })
	}
}

// prefilled goes on to the transfer.
func (k *keeper) prefilled(a *attempt) {
	k.dispatcher.Prefilled(a.ticket)
	a.ticket.KVExpires = a.kvExpires
	if a.ended {
		return
	}
	if a.dest == nil {
		k.reserve(a)
		return
	}
	k.world.clock.after(hopDelay, func() { a.source.move(a) })
}

// finished counts a stream that ended.
func (k *keeper) finished(a *attempt) {
	a.ended = true
	k.dispatcher.Finish(a.ticket, a.request.size.output, k.world.clock.now)
	k.assign()
}

// refuse ends an attempt and answers the caller at once.
func (k *keeper) refuse(a *attempt, delay time.Duration) {
	if a.ended {
		return
	}
	k.end(a)
	if delay == 0 {
		k.world.refused(a.request)
		return
	}
	k.world.clock.after(delay, a.request.refused)
}

// end gives up an attempt and all that it holds.
func (k *keeper) end(a *attempt) {
	if a.ended {
		return
	}
	a.ended = true
	if _, waits := k.waiting[a.ticket]; waits {
		delete(k.waiting, a.ticket)
		k.dispatcher.End(a.ticket, 0, k.world.clock.now)
	}
	k.world.clock.after(hopDelay, func() {
		a.source.drop(a)
		if a.dest != nil {
			a.dest.drop(a)
		}
		k.dispatcher.End(a.ticket, a.generated, k.world.clock.now)
		k.assign()
		k.world.settle(a)
	})
}

// observePrefill takes the load that rides on an answer.
func (k *keeper) observePrefill(h prefill.Hint) {
	k.world.clock.after(hopDelay, func() { k.prefills.Observe(h) })
}

// observeDecode takes a report, and what it tells about the whole pool.
func (k *keeper) observeDecode(h decode.Hint) {
	if k.world.policy.naive {
		k.decodes.Observe(h)
		return
	}
	k.dispatcher.ObserveDecode(h, k.world.decodeNames)
}
