package gateway_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gooseberrypin.example/router/contention"
	"gooseberrypin.example/router/gateway"
	"gooseberrypin.example/router/ingress"
	"gooseberrypin.example/router/quota"
	"gooseberrypin.example/router/reservation"
	"gooseberrypin.example/router/upstream"
)

// Standing must count only where customers are in force or the routes of one pool differ in priority. A refused caller must
// get a Retry-After within a third of the time that it has left.
func TestStandingOfRefusedGenerations(t *testing.T) {
	tests := map[string]struct {
		priorities []int
		otherPool  bool
		customers  []ingress.Customer
		loads      []quota.CustomerLoad
		want       contention.Standing
	}{
		"one priority":                     {priorities: []int{1, 1}},
		"other priorities at another pool": {priorities: []int{1, 0}, otherPool: true},
		"two priorities":                   {priorities: []int{3, 1}, want: contention.Standing{InForce: true, Rank: 1, Ranks: 2}},
		"a customer without figures":       {priorities: []int{1, 1}, customers: []ingress.Customer{keyed("line", "k1", 0)}, want: contention.Standing{InForce: true, Ranks: 1}},
		"a customer beyond its share": {
			priorities: []int{2, 1}, customers: []ingress.Customer{keyed("line", "k1", 5), keyed("mesh", "k2", 2)},
			loads: []quota.CustomerLoad{{Name: "line", Demand: 1e6}, {Name: "mesh", Demand: 10}},
			want:  contention.Standing{InForce: true, Rank: 3, Ranks: 4, BeyondShare: true},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var record gateway.Record
				c := &ingress.Configuration{Version: 1, Customers: tt.customers, Pools: map[string]ingress.Pool{"chat": {Name: "chat"}, "other": {Name: "other"}}}
				for n, priority := range tt.priorities {
					pool := "chat"
					if n > 0 && tt.otherPool {
						pool = "other"
					}
					c.Routes = append(c.Routes, ingress.Route{
						Name: fmt.Sprint(n), Host: "a", Prefix: fmt.Sprintf("/%d/", n), Kind: ingress.Streaming{}, Timeout: 14 * time.Second,
						TargetLatency: time.Second, MaxAttempts: 2, Priority: priority, Shares: []ingress.Share{{Pool: pool, Weight: 1}},
					})
				}
				is.NoErr(c.Check())
				rules, d := &ingress.Store{}, upstream.NewDirectory()
				rules.Put(c)
				d.Put(upstream.Upstream{ID: "g1", Pool: "chat", Phase: upstream.PhaseDecode})
				f := &fakeUpstreams{reserve: func(string, int) reservation.Outcome { return reservation.Full{} }}
				g := gateway.New(rules, d, f, gateway.WithContention(), gateway.WithObserver(func(r gateway.Record) { record = r }),
					gateway.WithCustomerLoads(func() ([]quota.CustomerLoad, time.Time) { return tt.loads, time.Now() }))
				r := withKey("/0/x", "k1")
				r.Generation = request().Generation
				refused := g.Serve(t.Context(), r, &recordedReply{})
				is.Equal(outcome(refused), "overloaded/no")
				is.Equal(record.Standing, tt.want)
				is.Equal(record.Denial, reservation.Expired)
				left := 14*time.Second - record.Took
				is.True(refused.RetryAfter >= time.Second && refused.RetryAfter <= left/3)
			})
		})
	}
}
