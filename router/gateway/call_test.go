package gateway_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gooseberrypin.example/router/gateway"
	"gooseberrypin.example/router/ingress"
	"gooseberrypin.example/router/refusal"
)

// bothServices returns the same steps for both plain services.
func bothServices(steps ...step) map[string][]step {
	return map[string][]step{"d1": steps, "d2": steps}
}

func TestCall(t *testing.T) {
	lost := step{result: gateway.Unknown{Err: errBroken}}
	full := step{result: gateway.NotRun{Reason: gateway.Full}}
	unreachable := step{result: gateway.NotRun{Reason: gateway.Unreachable, Err: errBroken}}
	failing := step{status: 500, body: "internal error"}
	hanging := step{after: time.Hour}
	tests := map[string]struct {
		kind   ingress.Kind
		steps  map[string][]step
		want   string
		status int
		sends  int
		took   time.Duration
	}{
		"answered":                     {ingress.NonIdempotent{}, nil, "answered", 200, 1, 0},
		"lost, not repeatable":         {ingress.NonIdempotent{}, bothServices(lost), "upstream_lost/unknown", 0, 1, 0},
		"lost, repeatable":             {ingress.Idempotent{}, bothServices(lost), "upstream_lost/unknown", 0, 2, 0},
		"full once at each upstream":   {ingress.NonIdempotent{}, bothServices(full, step{body: "ok"}), "overloaded/no", 0, 2, 0},
		"all upstreams full":           {ingress.NonIdempotent{}, bothServices(full), "overloaded/no", 0, 2, 0},
		"all upstreams unreachable":    {ingress.NonIdempotent{}, bothServices(unreachable), "overloaded/no", 0, 2, 0},
		"error answer, not repeatable": {ingress.NonIdempotent{}, bothServices(failing), "answered", 500, 1, 0},
		"error answer, repeatable":     {ingress.Idempotent{}, bothServices(failing), "answered", 500, 2, 0},
		"hangs, not repeatable":        {ingress.NonIdempotent{}, bothServices(hanging), "deadline/unknown", 0, 1, 800 * time.Millisecond},
		"hangs, repeatable":            {ingress.Idempotent{}, bothServices(hanging), "deadline/unknown", 0, 2, 800 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := &fakeUpstreams{}
				g := newGateway(t, f, tt.kind, gateway.WithRetryRatio(0.2))
				earnRetries(t, g, 30)
				f.reset(tt.steps)
				began := time.Now()
				a := &recordedReply{}
				is.Equal(outcome(g.Serve(t.Context(), request(), a)), tt.want)
				is.Equal(a.status, tt.status)
				is.Equal(len(f.sends()), tt.sends)
				is.Equal(time.Since(began), tt.took)
				synctest.Wait()
			})
		})
	}
}

// An upstream hangs although it counts as healthy. The request is hedged after half of the target and meets the
// target at another upstream.
func TestSlowUpstreamIsHedged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &fakeUpstreams{}
		g := newGateway(t, f, ingress.Idempotent{}, gateway.WithRetryRatio(0.2))
		for range 30 {
			earnRetries(t, g, 1)
			// With no request in flight, the seeded choice between the two upstreams is the same in each run.
			synctest.Wait()
		}
		f.reset(map[string][]step{"d1": {{after: time.Hour}}, "d2": {{after: 10 * time.Millisecond, body: "ok"}}})
		worst := time.Duration(0)
		for range 10 {
			synctest.Wait()
			began := time.Now()
			a := &recordedReply{}
			is.Equal(outcome(g.Serve(t.Context(), request(), a)), "answered")
			worst = max(worst, time.Since(began))
		}
		is.Equal(worst, 110*time.Millisecond)
	})
}

// A new process starts with an empty retry budget, so that restarts of many entries do not cause a retry storm.
func TestRetryBudgetStartsEmpty(t *testing.T) {
	is := is.New(t)
	f := &fakeUpstreams{steps: bothServices(step{result: gateway.Unknown{Err: errBroken}})}
	g := newGateway(t, f, ingress.Idempotent{}, gateway.WithRetryRatio(0.1))
	for range 100 {
		g.Serve(t.Context(), request(), &recordedReply{})
	}
	is.True(len(f.sends()) <= 110)
}

// Each send passes on the time that is left until the deadline of the caller.
func TestLaterSendsGetTheRemainingTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &fakeUpstreams{steps: bothServices(step{after: 100 * time.Millisecond, result: gateway.NotRun{Reason: gateway.Unreachable, Err: errBroken}})}
		g := newGateway(t, f, ingress.NonIdempotent{})
		g.Serve(t.Context(), request(), &recordedReply{})
		// The timeout of the route is shorter than the wait of the caller.
		is.Equal(f.remaining, []time.Duration{800 * time.Millisecond, 700 * time.Millisecond})
	})
}

func TestCallerDisconnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newGateway(t, &fakeUpstreams{steps: bothServices(step{after: time.Hour})}, ingress.NonIdempotent{})
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		ctx, disconnect := context.WithCancel(ctx)
		time.AfterFunc(20*time.Millisecond, disconnect)
		began := time.Now()
		is.Equal(outcome(g.Serve(ctx, request(), &recordedReply{})), "cancelled/unknown")
		is.Equal(time.Since(began), 20*time.Millisecond)
	})
}

func TestNoConfigurationOrRoute(t *testing.T) {
	tests := map[string]struct {
		request *gateway.Request
		rules   *ingress.Store
		want    string
	}{
		"no configuration": {request(), &ingress.Store{}, "no_configuration/no"},
		"no route":         {&gateway.Request{Host: "b", Path: "/x", Arrived: time.Now()}, nil, "unknown_rule/no"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := newGateway(t, &fakeUpstreams{}, ingress.Idempotent{})
			if tt.rules != nil {
				g = gateway.New(tt.rules, nil, &fakeUpstreams{})
			}
			refused := g.Serve(t.Context(), tt.request, &recordedReply{})
			is.Equal(outcome(refused), tt.want)
		})
	}
}

func TestPlannedStop(t *testing.T) {
	tests := map[string]struct {
		kind           ingress.Kind
		lastGeneration time.Duration
		end            time.Duration
		want           string
	}{
		"call that times out before the stop":       {ingress.NonIdempotent{}, 0, time.Second, "answered"},
		"call that times out after the stop":        {ingress.NonIdempotent{}, 0, 700 * time.Millisecond, "leaving/no"},
		"generation before the last admission":      {ingress.Streaming{}, time.Second, 5 * time.Second, "answered"},
		"generation after the last admission":       {ingress.Streaming{}, 0, 5 * time.Second, "leaving/no"},
		"generation expected to end after the stop": {ingress.Streaming{}, time.Second, 100 * time.Millisecond, "leaving/no"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := newGateway(t, &fakeUpstreams{}, tt.kind)
				g.BeginShutdown(time.Now().Add(tt.lastGeneration), time.Now().Add(tt.end))
				time.Sleep(time.Millisecond)
				refused := g.Serve(t.Context(), request(), &recordedReply{})
				is.Equal(outcome(refused), tt.want)
				if refused != nil {
					is.True(refused.RetryAfter > 0)
				}
				synctest.Wait()
			})
		})
	}
}

// A refusal states that the request did not run (RanNo) only if it was not sent, or if all upstreams rejected it
// without running it.
func TestRanNoRefusalsAreTrue(t *testing.T) {
	results := map[string]step{
		"lost": {result: gateway.Unknown{Err: errBroken}}, "full": {result: gateway.NotRun{Reason: gateway.Full}},
		"failed": {status: 500}, "hangs": {after: time.Hour}, "ok": {body: "ok"},
	}
	for first, one := range results {
		for second, two := range results {
			for _, kind := range []ingress.Kind{ingress.Idempotent{}, ingress.NonIdempotent{}} {
				synctest.Test(t, func(t *testing.T) {
					f := &fakeUpstreams{}
					g := newGateway(t, f, kind, gateway.WithRetryRatio(1))
					earnRetries(t, g, 3)
					steps := map[string][]step{"d1": {one}, "d2": {two}}
					f.reset(steps)
					refused := g.Serve(t.Context(), request(), &recordedReply{})
					ran := false
					for _, id := range f.sends() {
						_, rejected := steps[id][0].result.(gateway.NotRun)
						ran = ran || !rejected
					}
					if refused != nil && refused.Ran == refusal.RanNo && ran {
						t.Errorf("%T, results %q and %q: refused as not run, although upstreams %v may have run it", kind, first, second, f.sends())
					}
					if _, once := kind.(ingress.NonIdempotent); once && len(f.sends()) == 2 && ran && first != "full" && second != "full" {
						t.Errorf("results %q and %q: non-idempotent request sent twice", first, second)
					}
					synctest.Wait()
				})
			}
		}
	}
}
