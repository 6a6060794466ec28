package gateway_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gooseberrypin.example/router/gateway"
	"gooseberrypin.example/router/ingress"
	"gooseberrypin.example/router/pace"
	"gooseberrypin.example/router/upstream"
)

// serveAtOnce serves a number of requests, which arrive one millisecond apart, and returns their outcomes.
func serveAtOnce(t *testing.T, g *gateway.Gateway, requests int) map[string]int {
	t.Helper()
	outcomes := make(map[string]int)
	var mu sync.Mutex
	var wg sync.WaitGroup
	for range requests {
		time.Sleep(time.Millisecond)
		wg.Go(func() {
			o := outcome(g.Serve(t.Context(), request(), &recordedReply{}))
			mu.Lock()
			defer mu.Unlock()
			outcomes[o]++
		})
	}
	wg.Wait()
	return outcomes
}

// Each of two services states that it runs four requests at once. With limits, further requests wait for a quarter of the
// latency target at most and are refused without having run. Without, all are sent.
func TestRequestsBeyondTheLimitsOfServices(t *testing.T) {
	tests := map[string]struct {
		limiter *pace.Limiter
		took    time.Duration
		want    map[string]int
	}{
		"long answers":   {pace.NewLimiter("e", func() int { return 1 }), 300 * time.Millisecond, map[string]int{"answered": 8, "overloaded/no": 4}},
		"short answers":  {pace.NewLimiter("e", func() int { return 1 }), 30 * time.Millisecond, map[string]int{"answered": 12}},
		"without limits": {nil, 300 * time.Millisecond, map[string]int{"answered": 12}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := &fakeUpstreams{steps: map[string][]step{anyUpstream: {{after: tt.took, body: "ok"}}}}
				g := newGateway(t, f, ingress.NonIdempotent{}, gateway.WithPace(tt.limiter))
				is.Equal(serveAtOnce(t, g, 12), tt.want)
			})
		})
	}
}

// A service that failed gets trials only, and the others its work.
func TestLimitedServiceGetsTrials(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &fakeUpstreams{steps: map[string][]step{anyUpstream: {{after: 30 * time.Millisecond, body: "ok"}}}}
		limiter := pace.NewLimiter("e", func() int { return 1 })
		for range 100 {
			limiter.Failed(&upstream.Member{Upstream: upstream.Upstream{ID: "d1", Pool: "desk", Slots: 4}, History: &upstream.History{}}, time.Now())
		}
		g := newGateway(t, f, ingress.NonIdempotent{}, gateway.WithPace(limiter))
		is.Equal(serveAtOnce(t, g, 5)["answered"], 5)
		sent := map[string]int{}
		for _, id := range f.sends() {
			sent[id]++
		}
		is.Equal(sent["d1"], 1)
		is.Equal(sent["d2"], 4)
	})
}

// Limits move prompts to other prefill engines, but refuse none.
func TestLimitsRefuseNoPrompt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &fakeUpstreams{prefillTime: 20 * time.Millisecond}
		g := newGateway(t, f, ingress.Streaming{}, gateway.WithPace(pace.NewLimiter("e", func() int { return 1 })))
		is.Equal(serveAtOnce(t, g, 20)["answered"], 20)
		synctest.Wait()
	})
}
