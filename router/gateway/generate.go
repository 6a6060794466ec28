package gateway

import (
	"context"
	"time"

	"gooseberrypin.example/router/ingress"
	"gooseberrypin.example/router/refusal"
	"gooseberrypin.example/router/reservation"
	"gooseberrypin.example/router/upstream"
)

const (
	// lengthHintFactor and lengthHintMarginTokens turn the caller's estimate of the output length into the
	// output length to reserve. Most estimates are right within a third.
	lengthHintFactor       = 1.3
	lengthHintMarginTokens = 100
	// contendedWaitFactor times the latency target is the longest wait for memory while other requests in
	// the queue can still meet their target.
	contendedWaitFactor = 0.8
	// maxWaitFactor times the latency target is the longest wait for memory. Callers cancel a stream
	// after some four times the target without an event.
	maxWaitFactor = 1.3
	// startupSafetyFactor times the mean startup time is reserved from the latency target when the latest
	// grant that meets the target is computed. Four in five startups take no longer.
	startupSafetyFactor = 1.4
	// maxRounds bounds the memory grants that one request may use.
	maxRounds = 6
)

type (
	// generation is a request to a model engine that is being served. It takes one or several rounds, each
	// of which acquires decode memory, prefills the prompt and decodes.
	generation struct {
		*activeRequest
		relay relay
		// avoid is the ID of the decode engine that failed last.
		avoid string
		// ran states whether any engine ran the request: the strongest statement of all rounds.
		ran refusal.Ran
		// fingerprint identifies the request across attempts of its caller.
		fingerprint uint64
		// firstArrival is when the first attempt of the request arrived.
		firstArrival time.Time
		// engineRequests counts the sends that reached engines, except the first accepted prefill.
		engineRequests int
		// prefillAccepted reports whether an engine has accepted a prefill.
		prefillAccepted bool
		// decodeRuns counts the decode engines that may have run the request.
		decodeRuns int
		// resuming reports whether the generation continues a truncated stream.
		resuming bool
		// decodeReason is why the last decode was sent.
		decodeReason SendReason
		// heldGrant is memory at another engine that was acquired while a stream stalled; nil if there is none.
		heldGrant *heldGrant
		// reservedRetries is the number of retries that this generation has reserved from the budget and not
		// used yet.
		reservedRetries int
		// stallMonitor watches the current decode; nil if the decode may not move to another engine.
		stallMonitor *stallMonitor
		// move may move the stream of the current decode to a faster engine; nil if it does not.
		move *streamMove
		// handover is where a stream continues whose run was stopped; nil if there is none.
		handover *handover
		// moved reports whether the run of the stream was stopped to move it.
		moved bool
	}

	// roundOutcome is the outcome of a round: done or nextRound.
	//
	//sumtype:decl
	roundOutcome interface{ roundOutcome() }

	// done finishes the request. The refusal is nil after a complete answer.
	done struct{ refusal *refusal.Refusal }

	// nextRound starts another round.
	nextRound struct{}
)

func (done) roundOutcome()      {}
func (nextRound) roundOutcome() {}

// generate serves a generation. It reserves memory at a decode engine before the prefill, so that no prompt
// is prefilled without decode memory.
func (ar *activeRequest) generate(ctx context.Context) *refusal.Refusal {
	n := &generation{activeRequest: ar, ran: refusal.RanNo, relay: newRelay(ar)}
	if refused := n.admit(); refused != nil {
		return refused
	}
	n.identify()
	refused := n.rounds(ctx)
	n.poolState.retryBudget.Return(n.reservedRetries)
	if n.heldGrant != nil {
		n.gateway.upstreams.FreeReservation(n.heldGrant.Member, n.heldGrant.Reservation)
	}
	if refused != nil && refused.Ran == refusal.RanNo && refused.RetryAfter > 0 {
		n.poolState.refused.add(n.fingerprint, n.firstArrival, time.Now())
	}
	return refused
}

// identify determines whether the caller has sent the generation before, and its place among the others.
func (n *generation) identify() {
	n.fingerprint = n.request.fingerprint()
	n.firstArrival = n.poolState.refused.firstArrival(n.fingerprint, n.request.Arrived)
	n.record.Standing = n.newStanding()
	n.record.SinceFirstTry = n.request.Arrived.Sub(n.firstArrival)
}

// rounds runs rounds until one finishes the request, at most maxRounds.
func (n *generation) rounds(ctx context.Context) *refusal.Refusal {
	for range maxRounds {
		outcome := n.round(ctx)
		if n.handover != nil {
			outcome = n.continueMoved(ctx)
		}
		switch o := outcome.(type) {
		case done:
			return o.refusal
		case nextRound:
			if ctx.Err() != nil {
				return n.contextRefusal(ctx, n.ran)
			}
		}
	}
	return refusal.New(n.ran, refusal.UpstreamLost, n.retryAfter(), "given up after %d rounds", maxRounds)
}

// admit refuses a generation that can't be served: one that outlasts a planned stop, or a prompt that exceeds
// the memory of an engine. Otherwise it sets the number of tokens to reserve.
func (n *generation) admit() *refusal.Refusal {
	if n.request.Generation == nil {
		n.request.Generation = &Generation{}
	}
	if refused := n.gateway.refuseDuringShutdown(n.expectedDuration(), true); refused != nil {
		return refused
	}
	n.record.Tokens = n.reservationTokens()
	if engine := n.pool.Engine; engine != nil && engine.KVTokens > 0 {
		if n.request.Generation.PromptTokens > engine.KVTokens {
			return refusal.New(refusal.RanNo, refusal.Overloaded, 0, "the prompt is longer than an engine's memory")
		}
		n.record.Tokens = min(n.record.Tokens, engine.KVTokens)
	}
	return nil
}

// expectedDuration returns the estimated time that the generation takes when it produces all the output that
// memory is reserved for.
func (n *generation) expectedDuration() time.Duration {
	g := n.request.Generation
	return n.poolState.estimates.startupTime() + n.poolState.estimates.decodeTime(g.reservationTokens()-g.PromptTokens)
}

// reservationTokens returns the number of tokens to reserve: the prompt and the likely output.
func (g *Generation) reservationTokens() int {
	return max(1, g.PromptTokens+g.likelyOutput(lengthHintMarginTokens))
}

// round acquires decode memory, prefills the prompt and decodes once.
func (n *generation) round(ctx context.Context) roundOutcome {
	began := time.Now()
	if len(n.gateway.directory.Published(n.pool.Name, upstream.PhaseDecode)) == 0 {
		return n.serveWithoutPhases(ctx)
	}
	if limited := n.limitedBeyondWait(began); limited > 0 {
		return done{n.refuseLimited(n.ran, limited)}
	}
	grant, ok := n.acquireMemory(ctx)
	n.record.MemoryWait += time.Since(began)
	n.record.Reserves += grant.Attempts
	n.record.Denial = grant.Denial
	if !ok {
		return n.refuseWithoutMemory(ctx)
	}
	began = time.Now()
	tokens := n.record.Tokens
	grant.Member.Begin(tokens)
	defer func() {
		grant.Member.End(tokens)
		n.poolState.memoryQueue.Freed(grant.Member.ID)
	}()
	n.record.Upstream = grant.Member.ID
	options := DecodeOptions{Reservation: grant.Reservation, LastEventID: n.lastEventID()}
	outcome, proceed := n.prefill(ctx, grant, &options)
	if !proceed {
		n.gateway.upstreams.FreeReservation(grant.Member, grant.Reservation)
		return outcome
	}
	if refused := n.refuseQuarantined(n.ran); refused != nil {
		n.freeCacheAndReservation(grant.Member, options)
		return done{refused}
	}
	if wait := grant.Member.Backoff(time.Now()); wait > 0 {
		n.record.Cause = "the decode engine asks for no requests"
		n.freeCacheAndReservation(grant.Member, options)
		return n.retryOrRefuse("the decode engine took no requests")
	}
	if n.engineRequests > 0 && !n.reserveRetries(1) {
		n.freeCacheAndReservation(grant.Member, options)
		return n.retryOrRefuse("no retry is left for a decode")
	}
	return n.decode(ctx, grant.Member, options, began)
}

// limitedBeyondWait returns the time until a decode engine may take a request, if the limits of all of them are used up,
// or all have asked for a pause, for longer than the generation may wait. Otherwise it returns 0.
func (n *generation) limitedBeyondWait(now time.Time) time.Duration {
	if n.heldGrant != nil {
		return 0
	}
	w := n.waiter()
	if n.resuming {
		w = n.resumeWaiter(now, n.avoid)
	}
	engines := n.gateway.directory.Published(n.pool.Name, upstream.PhaseDecode)
	limited := n.allLimited(engines, now)
	if limited == 0 || now.Add(limited).Before(w.Expires) {
		return 0
	}
	for _, m := range engines {
		n.recordLimited(m)
	}
	return limited
}

// isUsable reports whether memory that the stall monitor has acquired is still reserved, at an engine that takes requests. The relay
// may have waited for its caller since.
func (n *generation) isUsable(held *heldGrant, now time.Time) bool {
	return n.isReady(held.Member, now) && now.Sub(held.acquiredAt) < reservationLife(n.pool)-reservationMargin
}

// acquireMemory returns the memory that the stall monitor acquired, or waits in the queue for memory. It
// returns false if the wait ended without memory.
func (n *generation) acquireMemory(ctx context.Context) (reservation.Grant, bool) {
	if held := n.heldGrant; held != nil {
		n.heldGrant = nil
		if n.isUsable(held, time.Now()) {
			return held.Grant, true
		}
		n.gateway.upstreams.FreeReservation(held.Member, held.Reservation)
	}
	if n.resuming {
		return n.poolState.memoryQueue.Wait(ctx, n.resumeWaiter(time.Now(), n.avoid))
	}
	return n.poolState.memoryQueue.Wait(ctx, n.waiter())
}

// freeCacheAndReservation frees the KV cache and the memory of a decode that does not run.
func (n *generation) freeCacheAndReservation(m *upstream.Member, options DecodeOptions) {
	if options.Source != nil {
		n.gateway.upstreams.FreeCache(options.Source, options.Cache)
	}
	n.gateway.upstreams.FreeReservation(m, options.Reservation)
}

// waiter returns the entry in the queue for decode memory of a generation that has not started to stream.
func (n *generation) waiter() reservation.Waiter {
	r, target := n.request, n.route.TargetLatency
	return n.completeWaiter(reservation.Waiter{
		Arrived:            r.Arrived,
		OnTimeUntil:        n.firstArrival.Add(target - time.Duration(startupSafetyFactor*float64(n.poolState.estimates.startupTime()))),
		ExpiresIfContended: r.Arrived.Add(time.Duration(contendedWaitFactor * float64(target))),
		Expires:            r.Arrived.Add(time.Duration(maxWaitFactor * float64(target))),
		Avoid:              n.avoid,
	})
}

// resumeWaiter returns the entry in the queue for decode memory of a stream that continues at another engine.
// It may wait longer than others: its caller already receives the stream and would lose it, while the caller
// of a refused request may send it again.
func (n *generation) resumeWaiter(now time.Time, avoid string) reservation.Waiter {
	expires := now.Add(time.Duration(maxWaitFactor * float64(n.route.TargetLatency)))
	return n.completeWaiter(reservation.Waiter{Arrived: n.request.Arrived, ExpiresIfContended: expires, Expires: expires, Resumed: true, Avoid: avoid})
}

// completeWaiter sets the tokens, the priority and the expected run of a waiter, and limits its wait to the deadline of the
// caller.
func (n *generation) completeWaiter(w reservation.Waiter) reservation.Waiter {
	w.Tokens, w.Priority, w.Standing = n.record.Tokens, n.rank(), n.record.Standing
	w.Deadline = n.request.deadline(n.route)
	if w.Expires.After(w.Deadline) {
		w.Expires = w.Deadline
	}
	w.OutputTokens, w.Startup = n.request.Generation.likelyOutput(0), n.poolState.estimates.startupTime()
	if kind, ok := n.route.Kind.(ingress.Streaming); ok && n.pool.Engine != nil {
		w.MaxTokenTime = kind.MaxGap / time.Duration(max(1, n.pool.Engine.TokensPerEvent))
	}
	return w
}

// refuseWithoutMemory finishes a generation that got no decode memory.
func (n *generation) refuseWithoutMemory(ctx context.Context) roundOutcome {
	if ctx.Err() != nil {
		return done{n.contextRefusal(ctx, n.ran)}
	}
	return done{n.refuseFull()}
}

// refuseFull refuses a generation for lack of decode memory.
func (n *generation) refuseFull() *refusal.Refusal {
	return refusal.New(n.ran, refusal.Overloaded, n.retryAfter(),
		"no decode memory for %d tokens, %d others wait", n.record.Tokens, n.poolState.memoryQueue.Length())
}

// refuseUnplaced refuses a generation that no upstream takes. limited is the time until one may, or 0 if there is none.
func (n *generation) refuseUnplaced(limited time.Duration) *refusal.Refusal {
	if limited > 0 {
		return n.refuseLimited(n.ran, limited)
	}
	return refusal.New(n.ran, refusal.NoUpstream, noUpstreamRetryAfter, "no decode engine in %s", n.pool.Name)
}

// serveWithoutPhases serves a generation in a pool whose upstreams do not separate prefill and decode. It
// reserves no memory and sends no prefill.
func (n *generation) serveWithoutPhases(ctx context.Context) roundOutcome {
	m, limited := n.acquireService(ctx, map[string]bool{n.avoid: true})
	if m == nil {
		return done{n.refuseUnplaced(limited)}
	}
	m.Begin(0)
	defer m.End(0)
	if refused := n.refuseQuarantined(n.ran); refused != nil {
		return done{refused}
	}
	n.record.Upstream = m.ID
	return n.decode(ctx, m, DecodeOptions{LastEventID: n.lastEventID()}, time.Now())
}
