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

// both makes both plain upstreams do the same.
func both(steps ...step) map[string][]step {
	return map[string][]step{"d1": steps, "d2": steps}
}

func TestCall(t *testing.T) {
	lost := step{result: gateway.Unknown{Err: errBroken}}
	full := step{result: gateway.NotRun{Reason: gateway.Full}}
	unreachable := step{result: gateway.NotRun{Reason: gateway.Unreachable, Err: errBroken}}
	failing := step{status: 500, body: "sorry"}
	hanging := step{after: time.Hour}
	tests := map[string]struct {
		kind   ingress.Kind
		steps  map[string][]step
		want   string
		status int
		sends  int
		took   time.Duration
	}{
		"answered":                          {ingress.NonIdempotent{}, nil, "answered", 200, 1, 0},
		"lost, must not run twice":          {ingress.NonIdempotent{}, both(lost), "upstream_lost/unknown", 0, 1, 0},
		"lost, may run twice":               {ingress.Idempotent{}, both(lost), "upstream_lost/unknown", 0, 2, 0},
		"turned away, then answered":        {ingress.NonIdempotent{}, both(full, step{body: "ok"}), "overloaded/no", 0, 2, 0},
		"turned away everywhere":            {ingress.NonIdempotent{}, both(full), "overloaded/no", 0, 2, 0},
		"not reached":                       {ingress.NonIdempotent{}, both(unreachable), "overloaded/no", 0, 2, 0},
		"an upstream's own failure":         {ingress.NonIdempotent{}, both(failing), "answered", 500, 1, 0},
		"a failure that may be tried again": {ingress.Idempotent{}, both(failing), "answered", 500, 2, 0},
		"hangs, must not run twice":         {ingress.NonIdempotent{}, both(hanging), "deadline/unknown", 0, 1, 800 * time.Millisecond},
		"hangs, may run twice":              {ingress.Idempotent{}, both(hanging), "deadline/unknown", 0, 2, 800 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := &fake{}
				g := world(t, f, tt.kind, gateway.WithRetryRatio(0.2))
				earn(t, g, 30)
				f.reset(tt.steps)
				began := time.Now()
				a := &reply{}
				is.Equal(outcome(g.Serve(t.Context(), request(), a)), tt.want)
				is.Equal(a.status, tt.status)
				is.Equal(len(f.sends()), tt.sends)
				is.Equal(time.Since(began), tt.took)
				synctest.Wait()
			})
		})
	}
}

// An upstream that hangs while its health is good costs half of the target, not the request.
func TestSlowUpstreamIsHedged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &fake{}
		g := world(t, f, ingress.Idempotent{}, gateway.WithRetryRatio(0.2))
		earn(t, g, 30)
		f.reset(map[string][]step{"d1": {{after: time.Hour}}, "d2": {{after: 10 * time.Millisecond, body: "ok"}}})
		worst := time.Duration(0)
		for range 10 {
			began := time.Now()
			a := &reply{}
			is.Equal(outcome(g.Serve(t.Context(), request(), a)), "answered")
			worst = max(worst, time.Since(began))
		}
		is.Equal(worst, 110*time.Millisecond)
	})
}

// A fresh process has no retries, so that restarts don't add up to a storm.
func TestRetriesAreEarned(t *testing.T) {
	is := is.New(t)
	f := &fake{steps: both(step{result: gateway.Unknown{Err: errBroken}})}
	g := world(t, f, ingress.Idempotent{}, gateway.WithRetryRatio(0.1))
	for range 100 {
		g.Serve(t.Context(), request(), &reply{})
	}
	is.True(len(f.sends()) <= 110)
}

func TestDeadlineShrinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &fake{steps: both(step{after: 100 * time.Millisecond, result: gateway.NotRun{Reason: gateway.Unreachable, Err: errBroken}})}
		g := world(t, f, ingress.NonIdempotent{})
		g.Serve(t.Context(), request(), &reply{})
		// The route's time-out is shorter than what the caller says.
		is.Equal(f.left, []time.Duration{800 * time.Millisecond, 700 * time.Millisecond})
	})
}

func TestCallerWhoLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := world(t, &fake{steps: both(step{after: time.Hour})}, ingress.NonIdempotent{})
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		ctx, leave := context.WithCancel(ctx)
		time.AfterFunc(20*time.Millisecond, leave)
		began := time.Now()
		is.Equal(outcome(g.Serve(ctx, request(), &reply{})), "cancelled/unknown")
		is.Equal(time.Since(began), 20*time.Millisecond)
	})
}

func TestWithoutRules(t *testing.T) {
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
			g := world(t, &fake{}, ingress.Idempotent{})
			if tt.rules != nil {
				g = gateway.New(tt.rules, nil, &fake{})
			}
			refused := g.Serve(t.Context(), tt.request, &reply{})
			is.Equal(outcome(refused), tt.want)
		})
	}
}

func TestPlannedStop(t *testing.T) {
	tests := map[string]struct {
		kind ingress.Kind
		last time.Duration
		end  time.Duration
		want string
	}{
		"a call that fits":          {ingress.NonIdempotent{}, 0, time.Second, "answered"},
		"a call that may not":       {ingress.NonIdempotent{}, 0, 700 * time.Millisecond, "leaving/no"},
		"a generation in time":      {ingress.Streaming{}, time.Second, 5 * time.Second, "answered"},
		"a generation that is late": {ingress.Streaming{}, 0, 5 * time.Second, "leaving/no"},
		"a generation too long":     {ingress.Streaming{}, time.Second, 100 * time.Millisecond, "leaving/no"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := world(t, &fake{}, tt.kind)
				g.BeginShutdown(time.Now().Add(tt.last), time.Now().Add(tt.end))
				time.Sleep(time.Millisecond)
				refused := g.Serve(t.Context(), request(), &reply{})
				is.Equal(outcome(refused), tt.want)
				if refused != nil {
					is.True(refused.RetryAfter > 0)
				}
				synctest.Wait()
			})
		})
	}
}

// Every refusal that names no run comes from no send, or from upstreams that all said so.
func TestRefusalsThatNameNoRunAreTrue(t *testing.T) {
	results := map[string]step{
		"lost": {result: gateway.Unknown{Err: errBroken}}, "full": {result: gateway.NotRun{Reason: gateway.Full}},
		"failed": {status: 500}, "hangs": {after: time.Hour}, "ok": {body: "ok"},
	}
	for first, one := range results {
		for second, two := range results {
			for _, kind := range []ingress.Kind{ingress.Idempotent{}, ingress.NonIdempotent{}} {
				synctest.Test(t, func(t *testing.T) {
					f := &fake{}
					g := world(t, f, kind, gateway.WithRetryRatio(1))
					earn(t, g, 3)
					steps := map[string][]step{"d1": {one}, "d2": {two}}
					f.reset(steps)
					refused := g.Serve(t.Context(), request(), &reply{})
					ran := false
					for _, id := range f.sends() {
						_, turnedAway := steps[id][0].result.(gateway.NotRun)
						ran = ran || !turnedAway
					}
					if refused != nil && refused.Ran == refusal.RanNo && ran {
						t.Errorf("%T %s, %s: refused as not run after %v", kind, first, second, f.sends())
					}
					if _, once := kind.(ingress.NonIdempotent); once && len(f.sends()) == 2 && ran && first != "full" && second != "full" {
						t.Errorf("%s, %s: sent twice", first, second)
					}
					synctest.Wait()
				})
			}
		}
	}
}
