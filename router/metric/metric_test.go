package metric_test

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrypin.example/router/gateway"
	"gooseberrypin.example/router/ingress"
	"gooseberrypin.example/router/memory"
	"gooseberrypin.example/router/metric"
	"gooseberrypin.example/router/pace"
	"gooseberrypin.example/router/refusal"
	"gooseberrypin.example/router/speed"
)

func metricsText(s *metric.Set) string {
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	return w.Body.String()
}

func TestRequestMetrics(t *testing.T) {
	is := is.New(t)
	s := metric.NewSet()
	route := &ingress.Route{Name: "care", Kind: ingress.Streaming{}}
	s.Request(gateway.Record{Route: route, Pool: "chat", Sends: gateway.Sends{gateway.FirstTry: 1, gateway.Prefill: 1}, Reserves: 3, Tokens: 10, TimeToFirstByte: 80 * time.Millisecond, Took: time.Second,
		MemoryWait: 40 * time.Millisecond, PrefillTime: 150 * time.Millisecond})
	s.Request(gateway.Record{Route: route, Refusal: refusal.New(refusal.RanNo, refusal.Overloaded, 0, "full")})
	page := metricsText(s)
	for _, line := range []string{
		`gooseberry_requests_total{kind="stream",outcome="served",ran="yes",reason="",route="care"} 1`,
		`gooseberry_requests_total{kind="stream",outcome="refused",ran="no",reason="overloaded",route="care"} 1`,
		`gooseberry_first_byte_seconds_bucket{route="care",le="0.1"} 1`,
		`gooseberry_sends_total{hop="reserve",pool="chat"} 3`,
		`gooseberry_sends_total{hop="first",pool="chat"} 1`,
		`gooseberry_sends_total{hop="prefill",pool="chat"} 1`,
		`gooseberry_hop_seconds_bucket{hop="line",pool="chat",le="0.05"} 1`,
		`gooseberry_hop_seconds_bucket{hop="prefill",pool="chat",le="0.1"} 0`,
		`gooseberry_hop_seconds_bucket{hop="prefill",pool="chat",le="0.2"} 1`,
		`gooseberry_hop_seconds_sum{hop="answer",pool="chat"} 0.81`,
	} {
		is.True(strings.Contains(page, line))
	}
	is.Equal(s.Served(), int64(1))
}

func TestUpstreamMetrics(t *testing.T) {
	is := is.New(t)
	s := metric.NewSet()
	s.CollectUpstreams(func() []speed.Figure {
		return []speed.Figure{{Upstream: "p1", Pool: "chat", Phase: "prefill", Slow: true}, {Upstream: "p2", Pool: "chat", Phase: "prefill"}, {Upstream: "g1", Pool: "chat", Phase: "decode"}}
	}, func() []pace.Figure {
		return []pace.Figure{{Upstream: "d1", Pool: "desk", Limit: 12.5, InFlight: 2, Cause: pace.Slow}, {Upstream: "d2", Pool: "desk", Limit: 10, InFlight: 1}}
	})
	page := metricsText(s)
	for _, line := range []string{
		`gooseberry_slow_upstreams{phase="prefill",pool="chat"} 1`,
		`gooseberry_slow_upstreams{phase="decode",pool="chat"} 0`,
		`gooseberry_pace_limit{pool="desk"} 22.5`,
		`gooseberry_pace_in_flight{pool="desk"} 3`,
		`gooseberry_pace_upstreams{cause="slow",pool="desk"} 1`,
	} {
		is.True(strings.Contains(page, line))
	}
}

// The number of label values stays bounded when many different routes are served over time.
func TestLabelsAreBounded(t *testing.T) {
	is := is.New(t)
	s := metric.NewSet()
	for i := range 1000 {
		s.Request(gateway.Record{Route: &ingress.Route{Name: fmt.Sprint("r", i)}})
	}
	is.Equal(strings.Count(metricsText(s), "gooseberry_requests_total{"), 201)
	is.True(strings.Contains(metricsText(s), `route="other"} 800`))
}

// Requests are counted by customer, and the number of label values stays bounded with many customers.
func TestCustomerMetrics(t *testing.T) {
	is := is.New(t)
	s := metric.NewSet()
	s.MeasureKeyAge(func() float64 { return 1.5 })
	s.Request(gateway.Record{Refusal: refusal.New(refusal.RanNo, refusal.Unauthenticated, 0, "unknown key")})
	s.Request(gateway.Record{Refusal: refusal.New(refusal.RanNo, refusal.Overloaded, 0, "full")})
	for i := range 100 {
		s.Request(gateway.Record{Customer: fmt.Sprint("c", i)})
	}
	s.Request(gateway.Record{Customer: "c0", Refusal: refusal.New(refusal.RanNo, refusal.Overloaded, 0, "full")})
	page := metricsText(s)
	is.Equal(strings.Count(page, "gooseberry_customer_requests_total{"), 67)
	for _, line := range []string{
		`gooseberry_customer_requests_total{customer="",outcome="refused",reason="unauthenticated"} 1`,
		`gooseberry_customer_requests_total{customer="c0",outcome="served",reason=""} 1`,
		`gooseberry_customer_requests_total{customer="c0",outcome="refused",reason="overloaded"} 1`,
		`gooseberry_customer_requests_total{customer="other",outcome="served",reason=""} 36`,
		`gooseberry_key_age_seconds 1.5`,
	} {
		is.True(strings.Contains(page, line))
	}
}

func TestMemoryMetrics(t *testing.T) {
	is := is.New(t)
	s := metric.NewSet()
	b := memory.NewBudget(1000)
	b.Charge(10)
	s.ObserveMemory(b.Usage, func() int { return 3 })
	s.LimitRefusal("memory")
	page := metricsText(s)
	for _, line := range []string{
		`gooseberry_memory_used_bytes 10`,
		`gooseberry_memory_limit_bytes 1000`,
		`gooseberry_client_connections 3`,
		`gooseberry_limit_refusals_total{cause="memory"} 1`,
	} {
		is.True(strings.Contains(page, line)) // the page has the line
	}
}
