package gateway_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gooseberrypin.example/router/access"
	"gooseberrypin.example/router/gateway"
	"gooseberrypin.example/router/ingress"
	"gooseberrypin.example/router/quota"
	"gooseberrypin.example/router/upstream"
)

type (
	// fakeCustomerQuota allows requests up to an amount.
	fakeCustomerQuota struct {
		mu    sync.Mutex
		left  float64
		taken map[string]float64
		takes int
	}
)

func (q *fakeCustomerQuota) Take(_ context.Context, customer string, amount float64) quota.Decision {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.takes++
	if q.left < amount {
		return quota.Denied{RetryAfter: 700 * time.Millisecond}
	}
	q.left -= amount
	q.taken[customer] += amount
	return quota.Allowed{}
}

func (q *fakeCustomerQuota) Return(customer string, amount float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.left += amount
	q.taken[customer] -= amount
}

func (q *fakeCustomerQuota) Charge(customer string, amount float64) { q.Return(customer, -amount) }

// newQuotaGateway returns a gateway with the customer line, whose key is k1, before two upstreams of the kind's phase.
func newQuotaGateway(f *fakeUpstreams, kind ingress.Kind, q ingress.CustomerQuota, opts ...gateway.Option) *gateway.Gateway {
	line := keyed("line", "k1", 0)
	line.Quota = q
	c := customerRules(1, kind, line)
	for i := range c.Routes {
		c.Routes[i].MaxAttempts = 3
	}
	rules, d := &ingress.Store{}, upstream.NewDirectory()
	rules.Put(c)
	for _, id := range []string{"d1", "d2"} {
		d.Put(upstream.Upstream{ID: id, Pool: "desk", Slots: 4})
	}
	return gateway.New(rules, d, f, opts...)
}

// A request counts against the quota of its customer by its unit: 1, its prompt and maximum output tokens, or a fixed number
// without a token count. A request beyond the quota is refused at once with when to return, and reaches no upstream.
func TestRequestsCountAgainstTheQuotaOfTheirCustomer(t *testing.T) {
	generation := &gateway.Generation{PromptTokens: 1000, MaxOutputTokens: 500}
	tokens := ingress.CustomerQuota{Unit: ingress.UnitTokens, PlainTokens: 200}
	tests := map[string]struct {
		quota      ingress.CustomerQuota
		path, key  string
		generation *gateway.Generation
		left       float64
		want       string
		taken      float64
	}{
		"requests":                     {ingress.CustomerQuota{}, "/x", "k1", generation, 1, "answered", 1},
		"requests, used up":            {ingress.CustomerQuota{}, "/x", "k1", generation, 0, "quota_exceeded/no", 0},
		"tokens":                       {tokens, "/x", "k1", generation, 1500, "answered", 1500},
		"tokens, too few":              {tokens, "/x", "k1", generation, 1499, "quota_exceeded/no", 0},
		"tokens, no count":             {tokens, "/x", "k1", nil, 200, "answered", 200},
		"tokens, no count, too few":    {tokens, "/x", "k1", nil, 199, "quota_exceeded/no", 0},
		"public route without a key":   {tokens, "/open/x", "", generation, 0, "answered", 0},
		"public route, known key":      {tokens, "/open/x", "k1", generation, 0, "quota_exceeded/no", 0},
		"unknown key, quota used up":   {tokens, "/x", "k2", generation, 0, "unauthenticated/no", 0},
		"public route, unknown key":    {tokens, "/open/x", "k2", generation, 0, "answered", 0},
		"no key where one is required": {tokens, "/x", "", generation, 0, "unauthenticated/no", 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f, q := &fakeUpstreams{}, &fakeCustomerQuota{left: tt.left, taken: map[string]float64{}}
				g := newQuotaGateway(f, ingress.NonIdempotent{}, tt.quota, gateway.WithCustomerQuota(q))
				r := request()
				r.Path, r.Target, r.Generation = tt.path, tt.path, tt.generation
				if tt.key != "" {
					r.KeyDigest, r.HasKey = access.NewDigest(tt.key), true
				}
				began := time.Now()
				refused := g.Serve(t.Context(), r, &recordedReply{})
				is.Equal(outcome(refused), tt.want)
				is.Equal(q.taken["line"], tt.taken)
				is.Equal(time.Since(began), time.Duration(0))
				is.Equal(len(f.sends()) > 0, tt.want == "answered")
				if tt.want == "quota_exceeded/no" {
					is.Equal(refused.RetryAfter, 700*time.Millisecond)
				}
			})
		})
	}
}

// A request that did not run gives back its amount. Each send after which it may have run again counts once more: retries,
// hedges and resumed streams, and no sends after a rejection.
func TestQuotaCountsWhatMayHaveRun(t *testing.T) {
	lost := step{result: gateway.Unknown{Err: errBroken}}
	full := step{result: gateway.NotRun{Reason: gateway.Full}}
	truncated := step{events: []int{1, 2}, err: errBroken}
	tests := map[string]struct {
		kind  ingress.Kind
		steps map[string][]step
		want  string
		taken float64
	}{
		"answered":                     {ingress.NonIdempotent{}, nil, "answered", 1},
		"error answer":                 {ingress.NonIdempotent{}, bothServices(step{status: 500}), "answered", 1},
		"answer lost":                  {ingress.NonIdempotent{}, bothServices(lost), "upstream_lost/unknown", 1},
		"rejected by all":              {ingress.NonIdempotent{}, bothServices(full), "overloaded/no", 0},
		"rejected, then answered":      {ingress.NonIdempotent{}, map[string][]step{anyUpstream: {full, {status: 200}}}, "answered", 1},
		"retry":                        {ingress.Idempotent{}, map[string][]step{anyUpstream: {lost, {status: 200}}}, "answered", 2},
		"hedge":                        {ingress.Idempotent{}, bothServices(step{after: 150 * time.Millisecond}), "answered", 2},
		"resumed stream":               {ingress.Streaming{Resumable: true}, map[string][]step{anyUpstream: {truncated, {events: []int{3, 4}}}}, "answered", 2},
		"stream broken, not resumable": {ingress.Streaming{}, map[string][]step{anyUpstream: {truncated}}, "upstream_lost/yes", 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f, q := &fakeUpstreams{}, &fakeCustomerQuota{left: 1e9, taken: map[string]float64{}}
				g := newQuotaGateway(f, tt.kind, ingress.CustomerQuota{}, gateway.WithCustomerQuota(q), gateway.WithRetryRatio(0.5))
				for range 20 {
					g.Serve(t.Context(), withKey("/x", "k1"), &recordedReply{})
				}
				f.reset(tt.steps)
				clear(q.taken)
				is.Equal(outcome(g.Serve(t.Context(), withKey("/x", "k1"), &recordedReply{})), tt.want)
				synctest.Wait()
				is.Equal(q.taken["line"], tt.taken)
			})
		})
	}
}

// Requests beyond the quota earn no retries: upstreams never see them, and retries are a part of what upstreams get.
func TestRequestsBeyondTheQuotaEarnNoRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, q := &fakeUpstreams{}, &fakeCustomerQuota{taken: map[string]float64{}}
		g := newQuotaGateway(f, ingress.Idempotent{}, ingress.CustomerQuota{}, gateway.WithCustomerQuota(q), gateway.WithRetryRatio(0.5))
		for range 100 {
			g.Serve(t.Context(), withKey("/x", "k1"), &recordedReply{})
		}
		q.left = 1
		f.reset(bothServices(step{result: gateway.Unknown{Err: errBroken}}))
		g.Serve(t.Context(), withKey("/x", "k1"), &recordedReply{})
		synctest.Wait()
		is.Equal(len(f.sends()), 1)
	})
}
