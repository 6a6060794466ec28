package gateway_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gooseberrypin.example/router/gateway"
	"gooseberrypin.example/router/ingress"
	"gooseberrypin.example/router/pace"
	"gooseberrypin.example/router/quota"
	"gooseberrypin.example/router/reservation"
	"gooseberrypin.example/router/speed"
	"gooseberrypin.example/router/upstream"
)

// explainKinds are the kinds of routes in the tests of explanations.
var explainKinds = map[string]ingress.Kind{"calls": ingress.NonIdempotent{}, "repeatable calls": ingress.Idempotent{}, "streams": ingress.Streaming{}}

// Guards against explanations that shift the random choices, the budgets, the estimates or the queue of requests: with the same
// seed, the same requests go to the same upstreams whether or not others are explained in between.
func TestExplanationsDoNotChangeTheChoicesForRequests(t *testing.T) {
	for name, kind := range explainKinds {
		t.Run(name, func(t *testing.T) {
			play := func(explanations int) (sent string) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					f := &fakeUpstreams{steps: map[string][]step{"d1": {{status: 500}, {status: 200}}, "g1": {{result: gateway.NotRun{Reason: gateway.Full}}, {}}}}
					limiter := pace.NewLimiter("e", func() int { return 2 })
					g := newGateway(t, f, kind, gateway.WithSeed(9), gateway.WithPace(limiter), gateway.WithSpeeds(speed.NewTable(1.5)))
					for n := range 60 {
						for range explanations {
							e := g.Explain(request())
							is.Equal(e.Route, "r")
							is.Equal(len(e.Pools), 1)
						}
						r := request()
						r.Body = fmt.Appendf(nil, "%d", n)
						g.Serve(t.Context(), r, &recordedReply{})
						time.Sleep(7 * time.Millisecond)
					}
					sent = fmt.Sprint(f.sends(), f.freed)
					synctest.Wait()
				})
				return sent
			}
			is.New(t).Equal(play(3), play(0))
		})
	}
}

// Guards against an explanation that sends anything, and against one that names another upstream than the request gets.
func TestExplanationNamesTheUpstreamsOfTheRequest(t *testing.T) {
	for name, kind := range explainKinds {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := &fakeUpstreams{reserve: func(id string, _ int) reservation.Outcome {
					if id == "g2" {
						return reservation.Full{}
					}
					return reservation.Reserved{ID: "hold"}
				}}
				denied := map[string]bool{"d2": true, "p2": true}
				peek := func(incarnation string) quota.Decision {
					if denied[incarnation] {
						return quota.Denied{RetryAfter: time.Second}
					}
					return quota.Allowed{}
				}
				g := newGateway(t, f, kind, gateway.WithPeeks(peek, func(string, float64) quota.CustomerPeek { return quota.CustomerPeek{Decision: quota.Allowed{}} }))
				e := g.Explain(request())
				is.Equal(len(f.sends()), 0)
				is.Equal(e.Refusal, nil)
				phases := e.Pools[0].Phases
				last := phases[len(phases)-1]
				is.Equal(last.Candidates[0].State, "usable")
				is.Equal(last.Candidates[0].Weight, 1.0)
				is.Equal(last.Candidates[1].State, gateway.Limited)
				is.Equal(last.Candidates[1].Weight, 0.0)
				is.Equal(last.Chosen, last.Candidates[0].Upstream)
				if _, streaming := kind.(ingress.Streaming); streaming {
					is.Equal(phases[0].Phase, "decode")
					is.Equal(phases[0].Chosen, "") // either engine, at random
					is.Equal(phases[0].Candidates[1].Weight, 0.5)
					is.Equal(e.Pools[0].Memory.Tokens, 1230)
				}
				denied["d1"] = true
				if e := g.Explain(request()); len(phases) == 1 {
					is.Equal(e.Refusal.Reason, "overloaded")
					is.Equal(e.Refusal.RetryAfterMS, int64(1000))
					is.Equal(e.Refusal.MaxRetryAfterMS, int64(2000))
				}
				is.Equal(len(f.sends()), 0)
				_, err := json.Marshal(e)
				is.NoErr(err)
			})
		})
	}
}

// Guards against an explanation that fails without a configuration.
func TestExplanationWithoutAConfiguration(t *testing.T) {
	is := is.New(t)
	g := gateway.New(&ingress.Store{}, nil, &fakeUpstreams{})
	e := g.Explain(request())
	is.Equal(e.Version, int64(0))
	is.Equal(e.Refusal.Reason, "no_configuration")
}

// Guards against an explanation that overlooks a planned stop.
func TestExplanationDuringAPlannedStop(t *testing.T) {
	for name, kind := range explainKinds {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := newGateway(t, &fakeUpstreams{}, kind)
				g.BeginShutdown(time.Now(), time.Now().Add(100*time.Millisecond))
				time.Sleep(time.Millisecond)
				e := g.Explain(request())
				refused := g.Serve(t.Context(), request(), &recordedReply{})
				is.Equal(e.Refusal.Reason, "leaving")
				is.Equal(e.Refusal.Reason, refused.Reason.String())
				is.Equal(e.Refusal.RetryAfterMS, refused.RetryAfter.Milliseconds())
			})
		})
	}
}

// Guards against a refusal that is stated although another pool of the route would serve the request, and against one that is
// left out although none would.
func TestExplanationOfARouteWithSeveralPools(t *testing.T) {
	is := is.New(t)
	rules, d := &ingress.Store{}, upstream.NewDirectory()
	rules.Put(&ingress.Configuration{
		Version: 1, Pools: map[string]ingress.Pool{"a": {Name: "a"}, "b": {Name: "b"}, "c": {Name: "c"}},
		Routes: []ingress.Route{{
			Name: "r", Host: "a", Prefix: "/", Kind: ingress.Idempotent{}, Timeout: time.Second, MaxAttempts: 1,
			Shares: []ingress.Share{{Pool: "a", Weight: 3}, {Pool: "b", Weight: 1}, {Pool: "c"}},
		}},
	})
	g := gateway.New(rules, d, &fakeUpstreams{})
	e := g.Explain(request())
	is.Equal(e.Refusal.Reason, "no_upstream")
	is.Equal(len(e.Pools), 2)
	d.Put(upstream.Upstream{ID: "s", Pool: "b", Slots: 4})
	e = g.Explain(request())
	is.Equal(e.Refusal, nil)
	is.Equal(e.Pools[0].Chance, 0.75)
	is.Equal(e.Pools[0].Refusal.Reason, "no_upstream")
	is.Equal(e.Pools[1].Chance, 0.25)
	is.Equal(e.Pools[1].Refusal, nil)
	is.Equal(e.Pools[1].Phases[0].Chosen, "s")
}

// Guards against weights that differ from how often engines are chosen where they are placed by speed.
func TestExplanationWithUnevenEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, speeds := &fakeUpstreams{}, speed.NewTable(1.5)
		g := newGateway(t, f, ingress.Streaming{}, gateway.WithSpeeds(speeds))
		perToken := map[string]time.Duration{"p1": 30 * time.Microsecond, "p2": 120 * time.Microsecond, "g1": 4 * time.Millisecond, "g2": 12 * time.Millisecond}
		record := func() {
			for id, took := range perToken {
				u := upstream.Upstream{ID: id, Pool: "chat", Phase: upstream.PhasePrefill, Slots: 4}
				if id[0] == 'g' {
					u.Phase = upstream.PhaseDecode
				}
				speeds.Record(u, 1000, 1000*took, time.Now())
			}
		}
		for range 40 {
			record()
			time.Sleep(100 * time.Millisecond)
			// Requests compute the verdicts; explanations do not.
			g.Serve(t.Context(), request(), &recordedReply{})
		}
		e := g.Explain(request())
		is.Equal(e.Refusal, nil)
		decode, prefill := e.Pools[0].Phases[0], e.Pools[0].Phases[1]
		for _, phase := range []gateway.PhaseExplanation{decode, prefill} {
			is.Equal(phase.By, gateway.BySpeed)
			is.Equal(phase.Chosen, "")
			is.True(phase.Candidates[0].Weight > 2*phase.Candidates[1].Weight && phase.Candidates[1].Weight > 0)
			sum := phase.Candidates[0].Weight + phase.Candidates[1].Weight
			is.True(sum > 0.999 && sum < 1.001)
			is.True(phase.Candidates[0].PerTokenUS > 0 && phase.Candidates[0].PerTokenUS < phase.Candidates[1].PerTokenUS)
			is.True(phase.Candidates[0].SpeedAgeMS <= 100)
		}
		// With two prefill engines both are drawn, so the weights are the chances.
		f.reset(nil)
		const requests = 2000
		for range requests {
			record()
			g.Serve(t.Context(), request(), &recordedReply{})
		}
		chosen := 0
		for _, id := range f.sends() {
			if id == "p1" {
				chosen++
			}
		}
		share := float64(chosen) / requests
		t.Logf("%.3f of the prompts, weight %.3f", share, prefill.Candidates[0].Weight)
		is.True(share > prefill.Candidates[0].Weight-0.05 && share < prefill.Candidates[0].Weight+0.05)
	})
}
