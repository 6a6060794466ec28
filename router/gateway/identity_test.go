package gateway_test

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gooseberrypin.example/router/access"
	"gooseberrypin.example/router/event"
	"gooseberrypin.example/router/gateway"
	"gooseberrypin.example/router/ingress"
	"gooseberrypin.example/router/refusal"
	"gooseberrypin.example/router/reservation"
	"gooseberrypin.example/router/revocation"
	"gooseberrypin.example/router/upstream"
)

// customerRules returns a configuration with the routes /open/, which is public, and /, for the customers.
func customerRules(version int64, kind ingress.Kind, customers ...ingress.Customer) *ingress.Configuration {
	route := func(name, prefix string, public bool) ingress.Route {
		return ingress.Route{
			Name: name, Host: "a", Prefix: prefix, Kind: kind, Timeout: time.Second, TargetLatency: 200 * time.Millisecond,
			MaxAttempts: 1, Priority: 1, Public: public, Shares: []ingress.Share{{Pool: "desk", Weight: 1}},
		}
	}
	return &ingress.Configuration{
		Version: version, Customers: customers,
		Pools:  map[string]ingress.Pool{"desk": {Name: "desk"}},
		Routes: []ingress.Route{route("all", "/", false), route("open", "/open/", true)},
	}
}

// keyed returns a customer with a key.
func keyed(name, key string, priority int) ingress.Customer {
	return ingress.Customer{Name: name, Priority: priority, Keys: []access.Digest{access.NewDigest(key)}}
}

// withKey returns a request of a path with a key; empty for none.
func withKey(path, key string) *gateway.Request {
	r := request()
	r.Path, r.Target, r.Generation = path, path, nil
	if key != "" {
		r.KeyDigest, r.HasKey = access.NewDigest(key), true
	}
	return r
}

func newCustomerGateway(rules *ingress.Store, f *fakeUpstreams, opts ...gateway.Option) *gateway.Gateway {
	d := upstream.NewDirectory()
	d.Put(upstream.Upstream{ID: "d1", Pool: "desk", Slots: 4})
	return gateway.New(rules, d, f, opts...)
}

// Only a request whose key is in force runs, except on public routes. While keys are not trusted, no request with a key
// runs; requests without one on public routes, and deployments without customers, are unaffected.
func TestOnlyRequestsWithAKeyInForceRun(t *testing.T) {
	line := keyed("line", "k1", 0)
	customers := []ingress.Customer{line, keyed("mesh", "k2", 0)}
	trusted := revocation.Trusted{Age: 2 * time.Second}
	outdated := revocation.Outdated{Age: 4 * time.Second}
	const answered, denied, wait = "answered", "unauthenticated/no", "keys_outdated/no"
	tests := map[string]struct {
		customers []ingress.Customer
		verdict   revocation.Verdict
		path, key string
		want      string
		identity  gateway.Identity
	}{
		"known key":                    {customers, trusted, "/x", "k1", answered, gateway.Identity{InForce: true, Customer: "line"}},
		"key of another customer":      {customers, trusted, "/x", "k2", answered, gateway.Identity{InForce: true, Customer: "mesh"}},
		"unknown key":                  {customers, trusted, "/x", "k3", denied, gateway.Identity{}},
		"no key":                       {customers, trusted, "/x", "", denied, gateway.Identity{}},
		"public, no key":               {customers, trusted, "/open/x", "", answered, gateway.Identity{InForce: true}},
		"public, unknown key":          {customers, trusted, "/open/x", "k3", answered, gateway.Identity{InForce: true}},
		"public, known key":            {customers, trusted, "/open/x", "k1", answered, gateway.Identity{InForce: true, Customer: "line"}},
		"no customers":                 {nil, trusted, "/x", "k3", answered, gateway.Identity{}},
		"outdated, known key":          {customers, outdated, "/x", "k1", wait, gateway.Identity{}},
		"outdated, unknown key":        {customers, outdated, "/x", "k3", wait, gateway.Identity{}},
		"outdated, no key":             {customers, outdated, "/x", "", wait, gateway.Identity{}},
		"outdated, public, key":        {customers, outdated, "/open/x", "k1", wait, gateway.Identity{}},
		"outdated, public, no key":     {customers, outdated, "/open/x", "", answered, gateway.Identity{InForce: true}},
		"outdated, no customers":       {nil, outdated, "/x", "k3", answered, gateway.Identity{}},
		"cut off long, perhaps newer":  {customers, revocation.Trusted{Age: time.Minute}, "/x", "k3", wait, gateway.Identity{}},
		"cut off long, known key":      {customers, revocation.Trusted{Age: time.Minute}, "/x", "k1", answered, gateway.Identity{InForce: true, Customer: "line"}},
		"cut off long, without a key":  {customers, revocation.Trusted{Age: time.Minute}, "/x", "", denied, gateway.Identity{}},
		"customers without a key each": {[]ingress.Customer{{Name: "bare"}}, trusted, "/x", "", denied, gateway.Identity{}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f, rules := &fakeUpstreams{}, &ingress.Store{}
				rules.Put(customerRules(1, ingress.NonIdempotent{}, tt.customers...))
				var record gateway.Record
				g := newCustomerGateway(rules, f, gateway.WithKeyCheck(func() revocation.Verdict { return tt.verdict }),
					gateway.WithObserver(func(r gateway.Record) { record = r }))
				refused := g.Serve(t.Context(), withKey(tt.path, tt.key), &recordedReply{})
				is.Equal(outcome(refused), tt.want)
				is.Equal(len(f.sends()) == 1, tt.want == answered)
				is.Equal(record.Customer, tt.identity.Customer)
				if tt.want == answered {
					is.Equal(f.identities, []gateway.Identity{tt.identity})
				}
				if tt.want == wait {
					is.True(refused.RetryAfter >= 500*time.Millisecond && refused.RetryAfter <= time.Second)
				}
				if tt.want == denied {
					is.Equal(refused.RetryAfter, time.Duration(0)) // final
				}
				synctest.Wait()
			})
		})
	}
}

// A configuration that revokes a key comes into force while a request is being judged, as after a suspension of the
// process: the request must not be judged by the old keys and the new verdict.
func TestRequestIsJudgedByOneSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, rules := &fakeUpstreams{}, &ingress.Store{}
		rules.Put(customerRules(1, ingress.NonIdempotent{}, keyed("line", "k1", 0)))
		g := newCustomerGateway(rules, f, gateway.WithKeyCheck(func() revocation.Verdict {
			rules.Put(customerRules(2, ingress.NonIdempotent{}, keyed("line", "k2", 0)))
			return revocation.Trusted{}
		}))
		is.Equal(outcome(g.Serve(t.Context(), withKey("/x", "k1"), &recordedReply{})), "unauthenticated/no")
		is.Equal(outcome(g.Serve(t.Context(), withKey("/x", "k2"), &recordedReply{})), "answered")
		synctest.Wait()
	})
}

// Keys change together with routes: a key that is valid only with another version's routes never runs.
func TestKeysChangeTogetherWithRoutes(t *testing.T) {
	is := is.New(t)
	rules := &ingress.Store{}
	put := func(version int64) {
		c := customerRules(version, ingress.NonIdempotent{}, keyed("line", fmt.Sprint("k", version%2), 0))
		c.Routes[0].Prefix = fmt.Sprintf("/%d/", version%2)
		rules.Put(c)
	}
	put(1)
	g := newCustomerGateway(rules, &fakeUpstreams{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		for version := int64(2); version < 2000; version++ {
			put(version)
		}
	}()
	for running := true; running; {
		select {
		case <-done:
			running = false
		default:
		}
		for n := range 2 {
			if r := g.Serve(t.Context(), withKey(fmt.Sprintf("/%d/x", n), fmt.Sprint("k", 1-n)), &recordedReply{}); r == nil || r.Reason != refusal.Unauthenticated && r.Reason != refusal.UnknownRule {
				t.Fatalf("key of another version: %v", r)
			}
			if r := g.Serve(t.Context(), withKey(fmt.Sprintf("/%d/x", n), fmt.Sprint("k", n)), &recordedReply{}); r != nil && r.Reason == refusal.Unauthenticated {
				t.Fatalf("key of the same version: %v", r)
			}
		}
	}
	is.Equal(rules.Current().Configuration.Version, int64(1999))
}

// The customer's priority takes precedence over that of the route in what engines receive.
func TestEnginesReceiveTheOrderOfCustomers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, rules := &fakeUpstreams{}, &ingress.Store{}
		c := customerRules(1, ingress.Streaming{}, keyed("first", "k1", 0), keyed("second", "k2", 3))
		c.Routes[1].Prefix, c.Routes[1].Priority = "/low/", 2
		rules.Put(c)
		g := newCustomerGateway(rules, f)
		for _, r := range []*gateway.Request{withKey("/x", "k1"), withKey("/low/x", "k1"), withKey("/x", "k2"), withKey("/low/x", "k2"), withKey("/low/x", "")} {
			is.Equal(outcome(g.Serve(t.Context(), r, &recordedReply{})), "answered")
		}
		is.Equal(f.priorities, []int{0, 1, 2, 3, 3})
		synctest.Wait()
	})
}

// A generation of a more urgent customer receives decode memory before one that has waited longer on a more urgent route.
func TestMemoryIsGrantedInTheOrderOfCustomers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		free := time.Now().Add(100 * time.Millisecond)
		reserved := false
		var mu sync.Mutex
		f := &fakeUpstreams{reserve: func(id string, _ int) reservation.Outcome {
			mu.Lock()
			defer mu.Unlock()
			if reserved || time.Now().Before(free) {
				return reservation.Full{}
			}
			reserved = true
			return reservation.Reserved{ID: id}
		}}
		rules, d := &ingress.Store{}, upstream.NewDirectory()
		c := customerRules(1, ingress.Streaming{}, keyed("first", "k1", 0), keyed("second", "k2", 1))
		c.Routes[1].Prefix, c.Routes[1].Priority = "/low/", 9
		rules.Put(c)
		d.Put(upstream.Upstream{ID: "g1", Pool: "desk", Phase: upstream.PhaseDecode, Slots: 4})
		g := gateway.New(rules, d, f)
		var callers sync.WaitGroup
		for _, r := range []*gateway.Request{withKey("/x", "k2"), withKey("/low/x", "k1")} {
			r.Generation = &gateway.Generation{PromptTokens: 1000, MaxOutputTokens: 100}
			callers.Go(func() { g.Serve(t.Context(), r, &recordedReply{}) })
			time.Sleep(20 * time.Millisecond)
		}
		callers.Wait()
		is.Equal(f.identities, []gateway.Identity{{InForce: true, Customer: "first"}})
		synctest.Wait()
	})
}

// From the ID of a refused request, an operator finds the cause, the version of the keys and a digest that distinguishes
// keys. The key itself is in no line.
func TestRefusalIsLoggedWithTheDigestOfTheKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var log bytes.Buffer
		rules := &ingress.Store{}
		rules.Put(customerRules(17, ingress.NonIdempotent{}, keyed("line", "k1", 0)))
		g := newCustomerGateway(rules, &fakeUpstreams{}, gateway.WithLog(event.NewLog(&log, "p")))
		g.Serve(t.Context(), withKey("/x", "wrong-secret"), &recordedReply{})
		for _, part := range []string{
			`"event":6002`, `"request":"1"`, `"route":"all"`, `"version":17`, `"reason":"unauthenticated"`, `"why":"unknown key"`,
			`"key_digest":"` + access.NewDigest("wrong-secret").String()[:16] + `"`,
		} {
			is.True(strings.Contains(log.String(), part)) // in the line about the refusal
		}
		is.True(!strings.Contains(log.String(), "wrong-secret"))
		log.Reset()
		g.Serve(t.Context(), withKey("/x", "k1"), &recordedReply{})
		is.True(strings.Contains(log.String(), `"customer":"line"`))
		is.True(!strings.Contains(log.String(), "key_digest"))
		synctest.Wait()
	})
}
