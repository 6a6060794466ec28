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
	// maxNotRun bounds the upstreams that may turn one request away.
	maxNotRun = 3
	// fullRetry is when a caller comes back to a pool whose upstreams are all full.
	fullRetry = 300 * time.Millisecond
)

type (
	// callResult is what one send to a plain service came to.
	callResult struct {
		member *upstream.Member
		result Result
		body   []byte
		took   time.Duration
		path   SendReason
		try    quarantine.Attempt
	}
)

// call serves a request to a plain service. What may not be repeated is sent again only when an
// upstream said that it did not run it. What may be repeated is sent to a second upstream beside
// the first when that one is slow: it answers upstreams that hang while their health is good.
func (w *work) call(ctx context.Context) *refusal.Refusal {
	if refused := w.gateway.refuseLeaving(w.left(), false); refused != nil {
		return refused
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	repeatable := ingress.Repeatable(w.route.Kind)
	results := make(chan callResult, w.route.MaxAttempts+maxNotRun)
	tried := make(map[string]bool)
	var failure *callResult
	running, ran, notRun := 0, 0, 0
	if !w.send(ctx, FirstTry, tried, results) {
		return refusal.New(refusal.RanNo, refusal.NoUpstream, noUpstreamRetry, "no upstream in %s", w.pool.Name)
	}
	running++
	hedge := time.NewTimer(w.hedgeAfter())
	defer hedge.Stop()
	for running > 0 {
		select {
		case <-ctx.Done():
			return w.ended(ctx, refusal.RanUnknown)
		case <-hedge.C:
			if repeatable && ran+running < w.route.MaxAttempts && w.kept(refusal.RanNo) == nil && w.shared.budget.Allow() && w.send(ctx, Hedge, tried, results) {
				running++
			}
		case c := <-results:
			running--
			again, path := false, Retry
			switch r := c.result.(type) {
			case Answer:
				if r.Status < http.StatusInternalServerError {
					return w.deliver(c, r)
				}
				ran++
				failure = &c
				again = repeatable && ran+running < w.route.MaxAttempts && running == 0
			case NotRun:
				notRun++
				path = AfterNotRun
				again = running == 0 && notRun < maxNotRun
			case Unknown:
				ran++
				if failure == nil {
					failure = &c
				}
				again = repeatable && ran+running < w.route.MaxAttempts && running == 0
			}
			if again && w.kept(refusal.RanNo) == nil && w.affordable(c.result) && w.send(ctx, path, tried, results) {
				running++
			}
		}
	}
	return w.conclude(ctx, failure)
}

// affordable spends the retry budget, except for a request that never left this process.
func (w *work) affordable(r Result) bool {
	if n, ok := r.(NotRun); ok && n.Reason == Unreachable {
		return true
	}
	return w.shared.budget.Allow()
}

// hedgeAfter is when a second upstream is tried beside a silent first one: half of the target
// leaves the second one time to meet it.
func (w *work) hedgeAfter() time.Duration {
	if w.route.Target <= 0 {
		return w.route.Timeout
	}
	return w.route.Target / 2
}

// send starts a send to another upstream and reports whether there is one.
func (w *work) send(ctx context.Context, p SendReason, tried map[string]bool, results chan<- callResult) bool {
	m := w.gateway.pick(chooseService, w.gateway.services(w.pool.Name), w.gateway.dataCentre, tried)
	if m == nil {
		return false
	}
	tried[m.ID] = true
	w.record.Upstream = m.ID
	w.sent(p)
	m.Begin(0)
	go func() {
		defer m.End(0)
		began := time.Now()
		c := callResult{member: m, path: p, try: w.try(m), result: w.gateway.upstreams.Call(ctx, m, w.request, w.terms())}
		if a, ok := c.result.(Answer); ok {
			c.body, c.result = w.gateway.readWhole(a)
		}
		c.took = time.Since(began)
		w.learn(ctx, c)
		results <- c
	}()
	return true
}

// learn keeps what a send told of its content and its upstream. A send that the caller ended tells
// nothing of its upstream.
func (w *work) learn(ctx context.Context, c callResult) {
	over := ctx.Err() != nil
	switch r := c.result.(type) {
	case Answer:
		if r.Status >= http.StatusInternalServerError {
			return
		}
		w.answered(c.try)
		if !over {
			c.member.Succeeded(c.took)
		}
	case NotRun:
		if !over {
			w.gateway.note(c.member, r.Reason, r.Err)
		}
	case Unknown:
		w.unknown(ctx, c.try, c.member, r.ConnectionLost)
		if !over {
			w.broke(c.member, c.path, r.Err)
			w.gateway.failed(c.member, r.Err)
		}
	}
}

func (w *work) deliver(c callResult, a Answer) *refusal.Refusal {
	w.record.Upstream = c.member.ID
	w.record.Status = a.Status
	w.record.TimeToFirstByte = time.Since(w.request.Arrived)
	w.reply.Begin(a.Status, a.Header, int64(len(c.body)))
	if err := w.reply.Write(c.body); err != nil {
		return refusal.New(refusal.RanYes, refusal.Cancelled, 0, "the caller left: %v", err)
	}
	return nil
}

// conclude ends a request that no upstream answered well: with the upstream's own failure if there
// is one, else with what is known of the run.
func (w *work) conclude(ctx context.Context, failure *callResult) *refusal.Refusal {
	if failure == nil {
		if ctx.Err() != nil {
			return w.ended(ctx, refusal.RanNo)
		}
		return refusal.New(refusal.RanNo, refusal.Overloaded, fullRetry, "no upstream of %s took the request", w.pool.Name)
	}
	switch r := failure.result.(type) {
	case Answer:
		return w.deliver(*failure, r)
	case Unknown:
		w.record.Cause = r.Err.Error()
	case NotRun:
	}
	if ctx.Err() != nil {
		return w.ended(ctx, refusal.RanUnknown)
	}
	return refusal.New(refusal.RanUnknown, refusal.UpstreamLost, 0, "upstream %s gave no whole answer", failure.member.ID)
}
