package gateway

import (
	"context"
	"net/http"
	"time"

	"gooseberrypin.example/router/ingress"
	"gooseberrypin.example/router/quarantine"
	"gooseberrypin.example/router/refusal"
	"gooseberrypin.example/router/upstream"
)

const (
	// maxNotRun is the number of sends that upstreams may reject without running the request before the
	// request is refused.
	maxNotRun = 3
	// fullRetryAfter is the retry delay for callers of a pool whose upstreams are all full.
	fullRetryAfter = 300 * time.Millisecond
)

type (
	// callResult is the outcome of one send to a plain service.
	callResult struct {
		member  *upstream.Member
		result  Result
		body    []byte
		took    time.Duration
		reason  SendReason
		attempt quarantine.Attempt
	}
)

// call serves a request to a plain service. A request that may not be repeated is sent again only after an
// upstream reported that it did not run it. A request that may be repeated is also sent to a second upstream
// if the first one is slow (hedging), for instance because it hangs although it counts as healthy.
func (ar *activeRequest) call(ctx context.Context) *refusal.Refusal {
	if refused := ar.gateway.refuseDuringShutdown(ar.remaining(), false); refused != nil {
		return refused
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	repeatable := ingress.Repeatable(ar.route.Kind)
	results := make(chan callResult, ar.route.MaxAttempts+maxNotRun)
	tried := make(map[string]bool)
	var failure *callResult
	running, ran, notRun := 0, 0, 0
	if sent, limited := ar.send(ctx, FirstTry, tried, results); !sent {
		return ar.refuseUnsent(limited)
	}
	running++
	hedge := time.NewTimer(ar.hedgeAfter())
	defer hedge.Stop()
	for running > 0 {
		select {
		case <-ctx.Done():
			return ar.contextRefusal(ctx, refusal.RanUnknown)
		case <-hedge.C:
			if repeatable && ran+running < ar.route.MaxAttempts && ar.refuseQuarantined(refusal.RanNo) == nil && ar.poolState.retryBudget.Allow() && ar.resend(ctx, Hedge, tried, results) {
				running++
			}
		case c := <-results:
			running--
			resend, reason := false, Retry
			switch r := c.result.(type) {
			case Answer:
				if r.Status < http.StatusInternalServerError {
					return ar.deliver(c, r)
				}
				ran++
				failure = &c
				resend = repeatable && ran+running < ar.route.MaxAttempts && running == 0
			case NotRun:
				notRun++
				reason = AfterNotRun
				resend = running == 0 && notRun < maxNotRun
			case Unknown:
				ran++
				if failure == nil {
					failure = &c
				}
				resend = repeatable && ran+running < ar.route.MaxAttempts && running == 0
			}
			if resend && ar.refuseQuarantined(refusal.RanNo) == nil && ar.allowRetry(c.result) && ar.resend(ctx, reason, tried, results) {
				running++
			}
		}
	}
	return ar.refuseOrDeliverFailure(ctx, failure)
}

// refuseUnsent refuses a request that no upstream takes. limited is the time until one may, or 0 if there is none.
func (ar *activeRequest) refuseUnsent(limited time.Duration) *refusal.Refusal {
	if limited > 0 {
		return ar.refuseLimited(refusal.RanNo, limited)
	}
	return refusal.New(refusal.RanNo, refusal.NoUpstream, noUpstreamRetryAfter, "no upstream in %s", ar.pool.Name)
}

// allowRetry reports whether the request may be sent again after the given result. It spends one retry of the
// budget, except after a send that never left this process.
func (ar *activeRequest) allowRetry(r Result) bool {
	if n, ok := r.(NotRun); ok && n.Reason == Unreachable {
		return true
	}
	return ar.poolState.retryBudget.Allow()
}

// hedgeAfter returns how long after the first send a hedged send starts. Half of the latency target leaves
// the second upstream time to meet the target. A route without a target is not hedged.
func (ar *activeRequest) hedgeAfter() time.Duration {
	if ar.route.TargetLatency <= 0 {
		return ar.route.Timeout
	}
	return ar.route.TargetLatency / 2
}

// resend starts a further send. It returns false if no upstream is left that takes the request.
func (ar *activeRequest) resend(ctx context.Context, reason SendReason, tried map[string]bool, results chan<- callResult) bool {
	sent, _ := ar.send(ctx, reason, tried, results)
	return sent
}

// send starts a send to an upstream that was not tried yet, and later puts its result into the channel. It
// returns false if there is no such upstream. If all of them are limited, it also returns for how long.
func (ar *activeRequest) send(ctx context.Context, reason SendReason, tried map[string]bool, results chan<- callResult) (bool, time.Duration) {
	m, limited := ar.acquireService(ctx, tried)
	if m == nil {
		return false, limited
	}
	tried[m.ID] = true
	ar.record.Upstream = m.ID
	ar.countSend(reason)
	m.Begin(0)
	go func() {
		defer m.End(0)
		began := time.Now()
		c := callResult{member: m, reason: reason, attempt: ar.newAttempt(m), result: ar.gateway.upstreams.Call(ctx, m, ar.request, ar.sendOptions())}
		if a, ok := c.result.(Answer); ok {
			c.body, c.result = ar.readBody(ctx, a)
		}
		c.took = time.Since(began)
		ar.recordOutcome(ctx, c)
		results <- c
	}()
	return true, 0
}

// recordOutcome updates the suspicion against the content and the health of the upstream after a send. The
// result of a cancelled send says nothing about the health of the upstream.
func (ar *activeRequest) recordOutcome(ctx context.Context, c callResult) {
	cancelled := ctx.Err() != nil
	switch r := c.result.(type) {
	case Answer:
		if r.Status >= http.StatusInternalServerError {
			return
		}
		ar.recordAnswered(c.attempt)
		if !cancelled {
			c.member.Succeeded(c.took)
			ar.gateway.pace.Answered(c.member, 1, c.took, time.Now())
		}
	case NotRun:
		if !cancelled {
			ar.gateway.pace.Failed(c.member, time.Now())
			ar.gateway.recordFailure(c.member, r.Reason, r.Err)
		}
	case Unknown:
		ar.recordUnknown(ctx, c.attempt, c.member, r.ConnectionLost)
		if !cancelled {
			ar.gateway.pace.Failed(c.member, time.Now())
			ar.logLostAnswer(c.member, c.reason, r.Err)
			ar.gateway.recordLostAnswer(c.member, r.Err)
		}
	}
}

// deliver sends a buffered answer to the caller. It returns a refusal if the caller has disconnected.
func (ar *activeRequest) deliver(c callResult, a Answer) *refusal.Refusal {
	ar.record.Upstream = c.member.ID
	ar.record.Status = a.Status
	ar.record.TimeToFirstByte = time.Since(ar.request.Arrived)
	ar.reply.Begin(a.Status, a.Header, int64(len(c.body)))
	if err := ar.reply.Write(c.body); err != nil {
		return refusal.New(refusal.RanYes, refusal.Cancelled, 0, "the caller left: %v", err)
	}
	return nil
}

// refuseOrDeliverFailure finishes a request without a successful answer. It delivers the error answer of an
// upstream if there is one. Otherwise it returns a refusal that states whether the request may have run.
func (ar *activeRequest) refuseOrDeliverFailure(ctx context.Context, failure *callResult) *refusal.Refusal {
	if failure == nil {
		if ctx.Err() != nil {
			return ar.contextRefusal(ctx, refusal.RanNo)
		}
		return refusal.New(refusal.RanNo, refusal.Overloaded, fullRetryAfter, "no upstream of %s took the request", ar.pool.Name)
	}
	switch r := failure.result.(type) {
	case Answer:
		return ar.deliver(*failure, r)
	case Unknown:
		ar.record.Cause = r.Err.Error()
	case NotRun:
	}
	if ctx.Err() != nil {
		return ar.contextRefusal(ctx, refusal.RanUnknown)
	}
	return refusal.New(refusal.RanUnknown, refusal.UpstreamLost, 0, "upstream %s gave no whole answer", failure.member.ID)
}
