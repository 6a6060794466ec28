package gateway

import (
	"context"
	"time"

	"gooseberrypin.example/router/ingress"
	"gooseberrypin.example/router/line"
	"gooseberrypin.example/router/refusal"
	"gooseberrypin.example/router/upstream"
)

const (
	// hintFactor and hintMargin size a reservation from the caller's estimate of the output:
	// most estimates are right within a third.
	hintFactor = 1.3
	hintMargin = 100
	// patienceFactor times the target is how long a request waits for memory while others
	// who can still be on time wait as well.
	patienceFactor = 0.8
	// expiryFactor times the target is how long a request waits in any case. Callers give a
	// stream up after some four times the target without an event.
	expiryFactor = 1.3
	// startupMargin times the mean startup is left of the target: four in five starts take
	// no longer.
	startupMargin = 1.4
	// maxRounds bounds the grants that one request may use up.
	maxRounds = 6
	// roundArrivals is what one more round sends: a prefill and a decode.
	roundArrivals = 2
	// streamRetryFactor times the target is when a caller comes back whose generation found no
	// memory.
	streamRetryFactor = 1.5
)

type (
	// generation is one request to a model engine on its way.
	generation struct {
		*work
		relay relay
		// avoid names the engine that failed last.
		avoid string
		// ran is the strongest claim on what ran.
		ran refusal.Ran
		// fingerprint and began tell the request's first try.
		fingerprint uint64
		began       time.Time
		// arrivals counts what reached engines, but for the first prefill that one took.
		arrivals  int
		prefilled bool
		// runs counts the decode engines that may have run the request.
		runs     int
		resuming bool
		// decoding is why the last decode was sent.
		decoding SendReason
		// held is memory that was found while an engine was silent; nil: none.
		held *line.Grant
		// reserved is the part of the retry budget that only this generation may use.
		reserved int
		// vigil watches the decode that runs; nil: none.
		vigil *vigil
	}

	// verdict is what a round came to.
	//
	//sumtype:decl
	verdict interface{ verdict() }

	// done ends the request.
	done struct{ refusal *refusal.Refusal }

	// again starts another round.
	again struct{}
)

func (done) verdict()  {}
func (again) verdict() {}

// generate serves a generation: memory at a decode engine first, then the prefill, then the decode,
// so that no prompt is read for which there is no room.
func (w *work) generate(ctx context.Context) *refusal.Refusal {
	n := &generation{work: w, ran: refusal.RanNo, relay: newRelay(w)}
	if refused := n.unservable(); refused != nil {
		return refused
	}
	n.fingerprint = n.request.fingerprint()
	n.began = n.shared.returns.began(n.fingerprint, n.request.Arrived)
	n.record.Spent = n.request.Arrived.Sub(n.began)
	refused := n.rounds(ctx)
	n.shared.budget.Return(n.reserved)
	if n.held != nil {
		n.gateway.upstreams.FreeReservation(n.held.Member, n.held.Reservation)
	}
	if refused != nil && refused.Ran == refusal.RanNo && refused.RetryAfter > 0 {
		n.shared.returns.refused(n.fingerprint, n.began, time.Now())
	}
	return refused
}

func (n *generation) rounds(ctx context.Context) *refusal.Refusal {
	for range maxRounds {
		switch v := n.round(ctx).(type) {
		case done:
			return v.refusal
		case again:
			if ctx.Err() != nil {
				return n.ended(ctx, n.ran)
			}
		}
	}
	return refusal.New(n.ran, refusal.UpstreamLost, n.retryAfter(), "given up after %d rounds", maxRounds)
}

// unservable refuses at once what can't be served here.
func (n *generation) unservable() *refusal.Refusal {
	if n.request.Generation == nil {
		n.request.Generation = &Generation{}
	}
	if refused := n.gateway.refuseLeaving(n.expected(), true); refused != nil {
		return refused
	}
	n.record.Tokens = n.request.Generation.memory()
	if engine := n.pool.Engine; engine != nil && engine.KVTokens > 0 {
		if n.request.Generation.PromptTokens > engine.KVTokens {
			return refusal.New(refusal.RanNo, refusal.Overloaded, 0, "the prompt is longer than an engine's memory")
		}
		n.record.Tokens = min(n.record.Tokens, engine.KVTokens)
	}
	return nil
}

// expected is how long the generation is likely to take at most.
func (n *generation) expected() time.Duration {
	g := n.request.Generation
	return n.shared.pace.Startup() + n.shared.pace.Length(g.memory()-g.PromptTokens)
}

// memory is the number of tokens to reserve: the prompt and the likely output.
func (g *Generation) memory() int {
	output := g.MaxOutputTokens
	if g.LengthHint > 0 {
		likely := int(hintFactor*float64(g.LengthHint)) + hintMargin
		if output <= 0 || likely < output {
			output = likely
		}
	}
	return max(1, g.PromptTokens+output)
}

// round takes the generation from the line to the end of one decode.
func (n *generation) round(ctx context.Context) verdict {
	granted := time.Now()
	if len(n.gateway.directory.Published(n.pool.Name, upstream.PhaseDecode)) == 0 {
		return n.direct(ctx)
	}
	grant, ok := n.place(ctx)
	n.record.MemoryWait += time.Since(granted)
	n.record.Reserves += grant.Attempts
	if !ok {
		return n.unplaced(ctx)
	}
	granted = time.Now()
	tokens := n.record.Tokens
	grant.Member.Begin(tokens)
	defer func() {
		grant.Member.End(tokens)
		n.shared.line.Freed(grant.Member.ID)
	}()
	n.record.Upstream = grant.Member.ID
	terms := DecodeOptions{Reservation: grant.Reservation, LastEventID: n.after()}
	prefilled, found := n.prefill(ctx, grant, &terms)
	if !found {
		n.gateway.upstreams.FreeReservation(grant.Member, grant.Reservation)
		return prefilled
	}
	if refused := n.kept(n.ran); refused != nil {
		n.giveBack(grant.Member, terms)
		return done{refused}
	}
	if n.arrivals > 0 && !n.covers(1) {
		n.giveBack(grant.Member, terms)
		return n.retryOr("no retry is left for a decode")
	}
	return n.decode(ctx, grant.Member, terms, granted)
}

// place returns the memory that was found already, or waits for some.
func (n *generation) place(ctx context.Context) (line.Grant, bool) {
	if n.held != nil {
		grant := *n.held
		n.held = nil
		return grant, true
	}
	if n.resuming {
		return n.shared.line.Wait(ctx, n.resumption(time.Now(), n.avoid))
	}
	return n.shared.line.Wait(ctx, n.waiter())
}

// giveBack frees what was held for a decode that does not run.
func (n *generation) giveBack(m *upstream.Member, terms DecodeOptions) {
	if terms.Source != nil {
		n.gateway.upstreams.FreeCache(terms.Source, terms.Cache)
	}
	n.gateway.upstreams.FreeReservation(m, terms.Reservation)
}

// after is the last event that the caller has.
func (n *generation) after() string {
	if n.relay.began {
		return n.relay.last()
	}
	return n.request.LastEventID
}

func (n *generation) waiter() line.Waiter {
	r, target := n.request, n.route.Target
	return n.until(line.Waiter{
		Arrived:            r.Arrived,
		OnTimeUntil:        n.began.Add(target - time.Duration(startupMargin*float64(n.shared.pace.Startup()))),
		ExpiresIfContended: r.Arrived.Add(time.Duration(patienceFactor * float64(target))),
		Expires:            r.Arrived.Add(time.Duration(expiryFactor * float64(target))),
		Avoid:              n.avoid,
	})
}

// resumption waits for memory for a stream that goes on elsewhere. A caller who reads already is
// worth waiting for longer than one who may come back.
func (n *generation) resumption(now time.Time, avoid string) line.Waiter {
	expires := now.Add(time.Duration(expiryFactor * float64(n.route.Target)))
	return n.until(line.Waiter{Arrived: n.request.Arrived, ExpiresIfContended: expires, Expires: expires, Resumed: true, Avoid: avoid})
}

// until completes a waiter, which waits no longer than its caller.
func (n *generation) until(w line.Waiter) line.Waiter {
	w.Tokens, w.Priority = n.record.Tokens, n.route.Priority
	if end := n.request.end(n.route); w.Expires.After(end) {
		w.Expires = end
	}
	return w
}

// unplaced ends a generation that found no memory.
func (n *generation) unplaced(ctx context.Context) verdict {
	if ctx.Err() != nil {
		return done{n.ended(ctx, n.ran)}
	}
	return done{refusal.New(n.ran, refusal.Overloaded, n.retryAfter(),
		"no decode memory for %d tokens, %d others wait", n.record.Tokens, n.shared.line.Length())}
}

func (n *generation) retryAfter() time.Duration {
	return time.Duration(streamRetryFactor * float64(n.route.Target))
}

// arrived counts a request that reached an engine; each but the first is a retry.
func (n *generation) arrived() {
	n.arrivals++
	switch {
	case n.arrivals <= 1:
	case n.reserved > 0:
		n.reserved--
	default:
		n.shared.budget.Spend()
	}
}

// covers reports whether a number of retries is reserved for this generation, and reserves what is
// missing. Requests that break off at the same moment must not count on the same retries.
func (n *generation) covers(retries int) bool {
	missing := retries - n.reserved
	if missing > 0 && !n.shared.budget.Reserve(missing) {
		return false
	}
	n.reserved = max(n.reserved, retries)
	return true
}

// retryOr starts another round if the retry budget allows.
func (n *generation) retryOr(why string) verdict {
	if n.covers(roundArrivals) {
		return again{}
	}
	return done{refusal.New(n.ran, refusal.UpstreamLost, n.retryAfter(), "%s: %s", why, n.record.Cause)}
}

// decode streams the answer of the engine to the caller, under a vigil.
func (n *generation) decode(ctx context.Context, m *upstream.Member, terms DecodeOptions, granted time.Time) verdict {
	decoding, cancel := context.WithCancel(ctx)
	defer cancel()
	n.vigil = n.watch(ctx, cancel)
	defer n.endVigil()
	terms.SendOptions = n.terms()
	n.decoding = n.path()
	n.sent(n.decoding)
	try := n.try(m)
	result := n.gateway.upstreams.Decode(decoding, m, n.request, terms)
	if r, ok := result.(NotRun); !ok || r.Reason != Unreachable {
		n.arrived()
	}
	switch r := result.(type) {
	case Answer:
		n.vigil.heard()
		n.ran = refusal.RanYes
		n.runs++
		defer r.Body.Release()
		return n.answer(ctx, m, try, r, granted)
	case NotRun:
		if ctx.Err() == nil {
			n.note(m, n.decoding, r.Reason, r.Err)
		}
		n.giveBack(m, terms)
		return n.retryOr("the decode engine did not take the request")
	case Unknown:
		n.ran = max(n.ran, refusal.RanUnknown)
		n.runs++
		n.unknown(ctx, try, m, r.ConnectionLost)
		return n.lost(ctx, m, r.Err)
	}
	return again{}
}

// path is why the next decode is sent.
func (n *generation) path() SendReason {
	switch {
	case n.resuming:
		return Resume
	case n.record.Sends[FirstTry] > 0:
		return AfterNotRun
	}
	return FirstTry
}

// endVigil ends the vigil over a decode and takes over what it found.
func (n *generation) endVigil() {
	held, reserved := n.vigil.end()
	n.vigil = nil
	n.reserved += reserved
	if held != nil {
		n.held = held
	}
}

// lost decides what follows when a decode engine broke off: a resumable stream goes on elsewhere.
func (n *generation) lost(ctx context.Context, m *upstream.Member, err error) verdict {
	if ctx.Err() != nil {
		return done{n.ended(ctx, n.ran)}
	}
	n.endVigil()
	n.record.Cause = err.Error()
	n.broke(m, n.decoding, err)
	n.gateway.failed(m, err)
	n.avoid = m.ID
	kind, _ := n.route.Kind.(ingress.Streaming)
	if refused := n.kept(n.ran); refused != nil {
		return done{refused}
	}
	if !kind.Resumable || n.runs >= n.route.MaxAttempts || !n.covers(roundArrivals) {
		return done{refusal.New(n.ran, refusal.UpstreamLost, 0, "decode engine %s broke off: %v", m.ID, err)}
	}
	n.resuming = true
	n.record.Resumed++
	return again{}
}

// direct serves a generation at a pool whose upstreams have no phases.
func (n *generation) direct(ctx context.Context) verdict {
	m := n.gateway.pick(chooseService, n.gateway.services(n.pool.Name), n.gateway.dataCentre, map[string]bool{n.avoid: true})
	if m == nil {
		return done{refusal.New(n.ran, refusal.NoUpstream, noUpstreamRetry, "no decode engine in %s", n.pool.Name)}
	}
	m.Begin(0)
	defer m.End(0)
	if refused := n.kept(n.ran); refused != nil {
		return done{refused}
	}
	n.record.Upstream = m.ID
	return n.decode(ctx, m, DecodeOptions{LastEventID: n.after()}, time.Now())
}
