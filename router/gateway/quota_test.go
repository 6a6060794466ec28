package gateway_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gooseberrypin.example/router/gateway"
	"gooseberrypin.example/router/ingress"
	"gooseberrypin.example/router/quota"
)

type (
	// fakeQuota allows requests until the quota of an upstream is used up.
	fakeQuota struct {
		mu sync.Mutex
		// left is the number of requests that each upstream still takes; upstreams without a value take all.
		left map[string]int
		// taken counts the allowed requests.
		taken map[string]int
		// retryAfter is when an upstream without requests left takes more.
		retryAfter time.Duration
	}
)

func (q *fakeQuota) Take(_ context.Context, incarnation string) quota.Decision {
	q.mu.Lock()
	defer q.mu.Unlock()
	if left, limited := q.left[incarnation]; limited {
		if left == 0 {
			return quota.Denied{RetryAfter: q.retryAfter}
		}
		q.left[incarnation]--
	}
	q.taken[incarnation]++
	return quota.Allowed{}
}

func (q *fakeQuota) RetryAfter(incarnation string) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	if left, limited := q.left[incarnation]; limited && left == 0 {
		return q.retryAfter
	}
	return 0
}

// Each way to send a request takes it from the limit of its upstream: calls, retries, hedges, sends after a rejection,
// prefills, decodes, and streams that continue at another engine.
func TestEachSendCountsAgainstTheLimit(t *testing.T) {
	lost := step{result: gateway.Unknown{Err: errBroken}}
	truncated := step{events: []int{1, 2}, err: errBroken}
	whole := step{events: []int{3, 4}}
	tests := map[string]struct {
		kind  ingress.Kind
		steps map[string][]step
		sends int
	}{
		"first send":        {ingress.NonIdempotent{}, nil, 1},
		"retry":             {ingress.Idempotent{}, bothServices(lost), 2},
		"after a rejection": {ingress.NonIdempotent{}, bothServices(step{result: gateway.NotRun{Reason: gateway.Full}}), 2},
		"hedge":             {ingress.Idempotent{}, bothServices(step{after: 150 * time.Millisecond}), 2},
		"prefill, decode":   {ingress.Streaming{}, nil, 2},
		"resumed stream":    {ingress.Streaming{Resumable: true}, map[string][]step{"g1": {truncated, whole}, "g2": {truncated, whole}}, 4},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f, q := &fakeUpstreams{}, &fakeQuota{taken: map[string]int{}}
				g := newGateway(t, f, tt.kind, gateway.WithRetryRatio(0.2), gateway.WithQuota(q))
				earnRetries(t, g, 60)
				f.reset(tt.steps)
				clear(q.taken)
				g.Serve(t.Context(), request(), &recordedReply{})
				synctest.Wait()
				is.Equal(len(f.sends()), tt.sends)
				sent := map[string]int{}
				for _, id := range f.sends() {
					sent[id]++
				}
				is.Equal(q.taken, sent)
			})
		})
	}
}

// An upstream whose limit is used up gets no request, and another one takes it.
func TestOtherUpstreamsTakeWhatALimitLeaves(t *testing.T) {
	tests := map[string]struct {
		kind ingress.Kind
		left map[string]int
		want []string
	}{
		"call":              {ingress.NonIdempotent{}, map[string]int{"d1": 0}, []string{"d2"}},
		"prefill":           {ingress.Streaming{}, map[string]int{"p2": 0, "g2": 0}, []string{"p1", "g1"}},
		"no prefill engine": {ingress.Streaming{}, map[string]int{"p1": 0, "p2": 0, "g1": 0}, []string{"g2"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f, q := &fakeUpstreams{}, &fakeQuota{taken: map[string]int{}, left: tt.left, retryAfter: time.Second}
				g := newGateway(t, f, tt.kind, gateway.WithQuota(q))
				is.Equal(outcome(g.Serve(t.Context(), request(), &recordedReply{})), "answered")
				is.Equal(f.sends(), tt.want)
				synctest.Wait()
			})
		})
	}
}

// A request that no upstream may take is refused at once, with when to return.
func TestRequestBeyondAllLimitsIsRefusedAtOnce(t *testing.T) {
	tests := map[string]struct {
		kind ingress.Kind
		left map[string]int
	}{
		"call":   {ingress.NonIdempotent{}, map[string]int{"d1": 0, "d2": 0}},
		"stream": {ingress.Streaming{}, map[string]int{"g1": 0, "g2": 0}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f, q := &fakeUpstreams{}, &fakeQuota{taken: map[string]int{}, left: tt.left, retryAfter: 2 * time.Second}
				g := newGateway(t, f, tt.kind, gateway.WithQuota(q))
				began := time.Now()
				refused := g.Serve(t.Context(), request(), &recordedReply{})
				is.Equal(outcome(refused), "overloaded/no")
				is.Equal(time.Since(began), time.Duration(0))
				is.True(refused.RetryAfter >= q.retryAfter && refused.RetryAfter <= 2*q.retryAfter)
				is.Equal(len(f.sends()), 0)
				synctest.Wait()
			})
		})
	}
}

// The second upstream is at its limit, so a request whose answer failed gets that answer instead of a wait.
func TestFailureIsDeliveredWhenTheRetryIsLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, q := &fakeUpstreams{}, &fakeQuota{taken: map[string]int{}, left: map[string]int{"d1": 0}, retryAfter: time.Second}
		g := newGateway(t, f, ingress.Idempotent{}, gateway.WithRetryRatio(0.2), gateway.WithQuota(q))
		earnRetries(t, g, 30)
		f.reset(bothServices(step{status: http.StatusInternalServerError, body: "failed"}))
		a := &recordedReply{}
		is.Equal(outcome(g.Serve(t.Context(), request(), a)), "answered")
		is.Equal(a.status, http.StatusInternalServerError)
		is.Equal(f.sends(), []string{"d2"})
	})
}
