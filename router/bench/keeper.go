package bench

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"gooseberrypin.example/router/admission"
	"gooseberrypin.example/router/decode"
	"gooseberrypin.example/router/prefill"
	"gooseberrypin.example/router/retry"
	"gooseberrypin.example/router/share"
)

const (
	retryFraction = 0.2
	retryBurst    = 40
	waitingCheck  = 5 * time.Millisecond
	// sparePressure is up to where late work displaces nobody.
	sparePressure  = 0.85
	initialOutput  = 256
	outputWeight   = 0.02
	hopsToPrefill  = 4 * hopDelay
	hopsToToken    = 4 * hopDelay
	deadlineAtEdge = firstTokenTarget - 2*(clientDelay+hopDelay)
)

type (
	// keeper is an entry that keeps requests, with its decisions.
	keeper struct {
		world    *world
		prefills *prefill.Chooser
		decodes  *decode.Chooser
		gate     *admission.Gate
		arrivals *admission.Arrivals
		limiter  *share.Limiter
		budget   *retry.Budget
		output   float64
		waiting  []*attempt
		// pending are the admitted attempts that have no decode memory yet.
		pending  int
		checking bool
		attempts int
		name     string
	}
)

func newKeeper(w *world, name string, random *rand.Rand) *keeper {
	return &keeper{
		world:    w,
		name:     name,
		prefills: prefill.NewChooser(random, prefill.WithStrategy(w.policy.prefill)),
		decodes:  decode.NewChooser(random, decode.WithStrategy(w.policy.decode)),
		gate:     admission.NewGate(random, admission.WithMargin(10*time.Millisecond)),
		arrivals: admission.NewArrivals(),
		limiter:  share.NewLimiter(random),
		budget:   retry.NewBudget(retryFraction, retry.WithBurst(retryBurst)),
		output:   initialOutput,
	}
}

// arrive takes a try of a request.
func (k *keeper) arrive(r *request) {
	if r.over {
		return
	}
	if k.world.policy.naive {
		k.arriveNaive(r)
		return
	}
	if r.live() {
		return
	}
	now := k.world.clock.now
	first, again := k.arrivals.First(r.key, now)
	if !again {
		k.budget.Try()
	}
	deadline := first.Add(deadlineAtEdge)
	if r.received > 0 {
		deadline = now.Add(deadlineAtEdge)
	}
	pressure := k.pressure()
	if now.After(deadline) && pressure > sparePressure {
		k.world.tally.shed("late")
		k.world.refused(r)
		return
	}
	a := k.attempt(r)
	a.deadline = deadline
	if !k.shared(a, again, pressure) {
		k.refuse(a, 0)
		return
	}
	if !k.admit(a, pressure) {
		k.limiter.Refund(r.partner, int(k.output))
		k.refuse(a, 0)
		return
	}
	k.enter(a)
}

// enter starts an admitted attempt.
func (k *keeper) enter(a *attempt) {
	k.begin(a)
	if k.world.policy.reserve == reserveAtArrival {
		k.reserve(a)
		return
	}
	k.world.clock.after(hopDelay, func() { a.source.push(a) })
}

// pressure is the part of the streams that is known to be taken, with those that are
// admitted and have no memory yet.
func (k *keeper) pressure() float64 {
	running, limit := k.decodes.Load(k.world.decodeNames)
	return float64(running+k.pending*entries) / float64(max(1, limit))
}

// shared takes an attempt from its partner's share.
func (k *keeper) shared(a *attempt, again bool, pressure float64) bool {
	k.limiter.SetPressure(pressure)
	taken := k.limiter.Take
	if again {
		taken = k.limiter.Again
	}
	if taken(a.request.partner, 1, int(k.output), entries, k.world.clock.now) == nil {
		return true
	}
	k.world.tally.shed("share")
	return false
}

func (k *keeper) arriveNaive(r *request) {
	a := k.attempt(r)
	k.begin(a)
	a.choice, _ = k.prefills.Choose(a.prompt, k.world.prefillNames, k.world.clock.now)
	a.source = k.world.prefills[a.choice.Upstream]
	k.world.clock.after(hopDelay, func() { a.source.push(a) })
}

// attempt starts a try, with the tokens that the caller already has as part of the prompt.
func (k *keeper) attempt(r *request) *attempt {
	a := &attempt{request: r, prompt: r.size.prompt}
	if !k.world.policy.naive {
		a.prompt.Tokens += r.received
	}
	return a
}

// begin makes an admitted attempt known. It counts as pending until it has decode memory or ends.
func (k *keeper) begin(a *attempt) {
	k.attempts++
	a.id = fmt.Sprintf("%s/%d", k.name, k.attempts)
	r := a.request
	r.attempts = append(slices.DeleteFunc(r.attempts, func(b *attempt) bool { return b.ended }), a)
	a.pending = true
	k.pending++
}

// admit chooses the prefill upstream of an attempt that is predicted to be in time, or
// that is late but displaces nobody.
func (k *keeper) admit(a *attempt, pressure float64) bool {
	now := k.world.clock.now
	spare := pressure <= sparePressure
	wait := k.decodes.Wait(k.pending*entries, k.world.decodeNames, now)
	forecast := admission.Forecast{
		QueueDelay: wait,
		Transfer:   transferTime(a.prompt.Tokens) + hopsToToken,
		FirstStep:  firstStep,
		Deadline:   a.deadline,
	}
	if !spare && k.gate.Admit(forecast, now) != nil {
		k.world.tally.shed("decode")
		return false
	}
	choice, found := k.prefills.Choose(a.prompt, k.world.prefillNames, now)
	if !found {
		return false
	}
	forecast.QueueDelay = max(wait, choice.Delay) + hopsToPrefill
	forecast.Prefill = choice.Predicted - choice.Delay
	if k.gate.Admit(forecast, now) != nil {
		if !spare {
			k.prefills.Withdraw(a.prompt, choice)
			k.world.tally.shed("prefill")
			return false
		}
		a.late = true
		a.deadline = now.Add(forecast.Total() + deadlineAtEdge)
	}
	a.choice = choice
	a.source = k.world.prefills[choice.Upstream]
	return true
}

// reserve asks the roomiest decode server for memory.
func (k *keeper) reserve(a *attempt) {
	if a.ended {
		return
	}
	if k.tooLate(a) {
		k.world.tally.shed("reserve")
		k.refuse(a, 0)
		return
	}
	pieces := (a.prompt.Tokens + pieceTokens) / pieceTokens
	name, found := k.decodes.Choose(pieces, k.world.decodeNames, a.avoid, k.world.clock.now)
	if !found {
		k.waiting = append(k.waiting, a)
		k.check()
		return
	}
	s := k.world.decodes[name]
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
				k.reservedAt(a)
			}
		})
	})
}

// tooLate tells whether an attempt that waits for memory can't make it any more.
func (k *keeper) tooLate(a *attempt) bool {
	now := k.world.clock.now
	if !a.kvExpires.IsZero() {
		return now.Add(transferTime(a.prompt.Tokens)).After(a.kvExpires)
	}
	if k.world.policy.naive {
		return false
	}
	return now.After(a.latestStart())
}

func (k *keeper) settled(a *attempt) {
	if a.pending {
		a.pending = false
		k.pending--
	}
}

func (k *keeper) reservedAt(a *attempt) {
	k.settled(a)
	a.reserved = k.world.clock.now
	switch {
	case !a.kvExpires.IsZero():
		k.world.clock.after(hopDelay, func() { a.source.move(a) })
	case k.world.policy.reserve == reserveAtArrival:
		k.world.clock.after(hopDelay, func() { a.source.push(a) })
	default:
		k.world.clock.after(hopDelay, func() { a.source.start(a) })
	}
}

// check retries waiting attempts after a short time.
func (k *keeper) check() {
	if k.checking || len(k.waiting) == 0 {
		return
	}
	k.checking = true
	k.world.clock.after(waitingCheck, func() {
		k.checking = false
		k.retryWaiting()
	})
}

// retryWaiting asks again for the attempts that wait, the most urgent first.
func (k *keeper) retryWaiting() {
	waiting := k.waiting
	k.waiting = nil
	slices.SortStableFunc(waiting, func(a, b *attempt) int {
		if a.late != b.late {
			if b.late {
				return -1
			}
			return 1
		}
		return a.deadline.Compare(b.deadline)
	})
	for _, a := range waiting {
		k.reserve(a)
	}
	k.check()
}

// prefilled goes on to the transfer.
func (k *keeper) prefilled(a *attempt) {
	k.prefills.ObserveCache(a.source.name, a.prompt.Blocks)
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
	k.output += outputWeight * (float64(a.request.size.output) - k.output)
	k.decodes.Ended(k.world.clock.now.Sub(a.reserved))
	k.freed(a)
}

func (k *keeper) freed(a *attempt) {
	pieces := (a.prompt.Tokens + a.generated + pieceTokens) / pieceTokens
	k.decodes.Release(a.dest.name, pieces, k.world.clock.now)
	k.retryWaiting()
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
	if a.id == "" {
		return
	}
	k.settled(a)
	k.waiting = without(k.waiting, a)
	k.world.clock.after(hopDelay, func() {
		a.source.drop(a)
		if a.dest != nil {
			a.dest.drop(a)
			k.freed(a)
		}
		k.world.settle(a)
	})
}

// observePrefill takes the load that rides on an answer.
func (k *keeper) observePrefill(h prefill.Hint) {
	k.world.clock.after(hopDelay, func() { k.prefills.Observe(h) })
}

// observeDecode takes a report, and what it tells about the whole pool.
func (k *keeper) observeDecode(h decode.Hint) {
	k.decodes.Observe(h)
	if _, limit := k.decodes.Load(k.world.decodeNames); limit > 0 {
		k.limiter.SetRate(float64(limit) / betweenTokensTarget.Seconds())
	}
}
