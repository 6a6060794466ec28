// Package metric holds the counters and latency histograms of an entry, as Prometheus text.
package metric

import (
	"net/http"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"gooseberrypin.example/router/gateway"
)

const (
	// maxRoutes bounds the routes that have a label of their own.
	maxRoutes = 200
	// otherRoute is the label of all further routes.
	otherRoute = "other"
)

var (
	latencyBuckets = []float64{0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.7, 0.9, 1.2, 2, 4, 8, 15}
)

type (
	// Set is the metrics of one process. It is safe for concurrent use.
	Set struct {
		registry *prometheus.Registry
		requests *prometheus.CounterVec
		first    *prometheus.HistogramVec
		whole    *prometheus.HistogramVec
		waited   *prometheus.HistogramVec
		hops     *prometheus.HistogramVec
		sends    *prometheus.CounterVec
		served   atomic.Int64
		routes   routeLabels
	}
)

// NewSet returns a set of its own, so that many run in one test.
func NewSet() *Set {
	s := &Set{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gooseberry_requests_total",
			Help: "Requests by route, kind, outcome (served or refused), reason of the refusal and whether they ran.",
		}, []string{"route", "kind", "outcome", "reason", "ran"}),
		first:  histogram("gooseberry_first_byte_seconds", "Time from a request to the first byte of its answer.", "route"),
		whole:  histogram("gooseberry_request_seconds", "Time from a request to the end of its answer.", "route"),
		waited: histogram("gooseberry_memory_wait_seconds", "Time that a generation waited for decode memory.", "route"),
		hops: histogram("gooseberry_hop_seconds",
			"Time of a request's hops by pool: line (decode memory), prefill, answer (a decode or a call, to its end).", "pool", "hop"),
		sends: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gooseberry_sends_total",
			Help: "What was sent to upstreams by pool and hop: first, prefill, after_not_run, retry, hedge, resume; reserve for reservations.",
		}, []string{"pool", "hop"}),
	}
	s.registry.MustRegister(s.requests, s.first, s.whole, s.waited, s.hops, s.sends)
	return s
}

func histogram(name, help string, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: name, Help: help, Buckets: latencyBuckets}, labels)
}

// Handler serves the metrics.
func (s *Set) Handler() http.Handler {
	return promhttp.HandlerFor(s.registry, promhttp.HandlerOpts{})
}

// Served is the number of requests that got an upstream's answer.
func (s *Set) Served() int64 {
	return s.served.Load()
}

// Request implements gateway.Observer.
func (s *Set) Request(r gateway.Record) {
	route := s.routes.label(r.RouteName())
	outcome, reason, ran := "served", "", "yes"
	if r.Refusal != nil {
		outcome, reason, ran = "refused", r.Refusal.Reason.String(), r.Refusal.Ran.String()
	} else {
		s.served.Add(1)
	}
	s.requests.WithLabelValues(route, r.Kind(), outcome, reason, ran).Inc()
	s.whole.WithLabelValues(route).Observe(r.Took.Seconds())
	if r.TimeToFirstByte > 0 {
		s.first.WithLabelValues(route).Observe(r.TimeToFirstByte.Seconds())
	}
	s.observeHops(r)
	if r.Tokens > 0 {
		s.waited.WithLabelValues(route).Observe(r.MemoryWait.Seconds())
	}
	for path, sent := range r.Sends {
		if sent > 0 {
			s.sends.WithLabelValues(r.Pool, gateway.SendReason(path).String()).Add(float64(sent))
		}
	}
	s.sends.WithLabelValues(r.Pool, "reserve").Add(float64(r.Reserves))
}

// observeHops records how long each hop of a request took.
func (s *Set) observeHops(r gateway.Record) {
	if r.Sends.Total() == 0 {
		return
	}
	if r.Tokens > 0 {
		s.hops.WithLabelValues(r.Pool, "line").Observe(r.MemoryWait.Seconds())
	}
	if r.PrefillTime > 0 {
		s.hops.WithLabelValues(r.Pool, "prefill").Observe(r.PrefillTime.Seconds())
	}
	s.hops.WithLabelValues(r.Pool, "answer").Observe((r.Took - r.MemoryWait - r.PrefillTime).Seconds())
}
