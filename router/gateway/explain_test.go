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
