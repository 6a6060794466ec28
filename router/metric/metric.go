// Package metric collects the request counters and latency histograms of an entry, and serves them in the
// Prometheus text format.
package metric

import (
	"net/http"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"gooseberrypin.example/router/gateway"
	"gooseberrypin.example/router/memory"
	"gooseberrypin.example/router/quota"
	"gooseberrypin.example/router/refusal"
)

const (
	// maxRoutes is the number of routes that have their own label value.
	maxRoutes = 200
	// maxCustomers is the number of customers that have their own label value.
	maxCustomers = 64
	// otherLabel is the label value of all further routes and customers.
	otherLabel = "other"
)

var (
	// latencyBuckets are the upper bounds of the buckets of all histograms, in seconds.
	latencyBuckets = []float64{0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.7, 0.9, 1.2, 2, 4, 8, 15}
)

type (
	// Set contains the metrics of one entry. It is safe for concurrent use.
	Set struct {
		registry    *prometheus.Registry
		requests    *prometheus.CounterVec
		firstByte   *prometheus.HistogramVec
		total       *prometheus.HistogramVec
		memoryWait  *prometheus.HistogramVec
		hopDuration *prometheus.HistogramVec
		sends       *prometheus.CounterVec
		quotas      *prometheus.CounterVec
		refusals    *prometheus.CounterVec
		streamMoves *prometheus.CounterVec
		servedCount atomic.Int64
		customers   *prometheus.CounterVec
		// customerQuotas and customerAmounts count requests and their amounts.
		customerQuotas  *prometheus.CounterVec
		customerAmounts *prometheus.CounterVec
		routes          boundedLabels
		// customerNames are the label values of customers.
		customerNames boundedLabels
	}
)

// NewSet returns a set with its own registry, so that one test can run many sets.
func NewSet() *Set {
	s := &Set{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gooseberry_requests_total",
			Help: "Requests by route, kind, outcome (served or refused), reason of the refusal and whether they ran.",
		}, []string{"route", "kind", "outcome", "reason", "ran"}),
		firstByte:  histogram("gooseberry_first_byte_seconds", "Time from a request to the first byte of its answer.", "route"),
		total:      histogram("gooseberry_request_seconds", "Time from a request to the end of its answer.", "route"),
		memoryWait: histogram("gooseberry_memory_wait_seconds", "Time that a generation waited for decode memory.", "route"),
		hopDuration: histogram("gooseberry_hop_seconds",
			"Time of a request's hops by pool: line (decode memory), prefill, answer (a decode or a call, to its end).", "pool", "hop"),
		sends: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gooseberry_sends_total",
			Help: "What was sent to upstreams by pool and hop: first, prefill, after_not_run, retry, hedge, resume, move; reserve for reservations.",
		}, []string{"pool", "hop"}),
		quotas: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gooseberry_quota_requests_total",
			Help: "Attempts to send to upstreams with a limit by outcome: granted or refused by the quota's owner, share_granted or share_refused without it.",
		}, []string{"outcome"}),
		customers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gooseberry_customer_requests_total",
			Help: "Requests by customer, outcome (served or refused) and reason of the refusal. Without a known key the customer is empty.",
		}, []string{"customer", "outcome", "reason"}),
		customerQuotas: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gooseberry_customer_quota_requests_total",
			Help: "Requests of customers with a quota by customer and outcome: granted or refused, share_granted or share_refused from this entry's own part.",
		}, []string{"customer", "outcome"}),
		customerAmounts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gooseberry_customer_quota_units_total",
			Help: "What these requests count as, in the unit of the customer's quota.",
		}, []string{"customer", "outcome"}),
		routes:        boundedLabels{max: maxRoutes},
		customerNames: boundedLabels{max: maxCustomers},
	}
	s.refusals = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "gooseberry_limit_refusals_total",
		Help: "Requests and connections of clients that were refused or closed by a limit of this process, by cause: memory, connections, head_limit, head_timeout, body_stalled, answer_unread.",
	}, []string{"cause"})
	s.streamMoves = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "gooseberry_stream_moves_total",
		Help: "Moves of running streams to other engines by pool and outcome: moved; given_up (not stopped), returned (stopped, continued at its engine), broken (stopped, not continued).",
	}, []string{"pool", "outcome"})
	s.registry.MustRegister(s.streamMoves, s.refusals, s.customers, s.customerQuotas, s.customerAmounts, s.quotas, s.requests, s.firstByte, s.total, s.memoryWait, s.hopDuration, s.sends)
	return s
}

func histogram(name, help string, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: name, Help: help, Buckets: latencyBuckets}, labels)
}

// Quota counts an attempt to send a request to an upstream with a limit.
func (s *Set) Quota(o quota.Outcome) {
	s.quotas.WithLabelValues(string(o)).Inc()
}

// StreamMove counts a move of a stream. It is a gateway.MoveObserver.
func (s *Set) StreamMove(pool string, o gateway.MoveOutcome) {
	s.streamMoves.WithLabelValues(pool, string(o)).Inc()
}

// CustomerQuota counts a request of a customer with a quota, and its amount.
func (s *Set) CustomerQuota(customer string, o quota.Outcome, amount float64) {
	name := s.customerNames.label(customer)
	s.customerQuotas.WithLabelValues(name, string(o)).Inc()
	s.customerAmounts.WithLabelValues(name, string(o)).Add(amount)
}

// CountLimits adds a gauge of the upstreams that limit the requests of all entries together.
func (s *Set) CountLimits(count func() int) {
	s.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "gooseberry_limited_upstreams",
		Help: "Upstreams that state a limit for the requests of all entries together.",
	}, func() float64 { return float64(count()) }))
}

// MeasureKeyAge adds a gauge of the age of the knowledge of customers' keys, in seconds.
func (s *Set) MeasureKeyAge(age func() float64) {
	s.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "gooseberry_key_age_seconds",
		Help: "Time since the last instant for which the keys of customers are known; 0 without customers.",
	}, age))
}

// LimitRefusal counts a request or connection that was refused or closed by a limit of this process.
func (s *Set) LimitRefusal(cause string) {
	s.refusals.WithLabelValues(cause).Inc()
}

// ObserveMemory adds gauges of the memory budget and of the connections of clients.
func (s *Set) ObserveMemory(usage func() memory.Usage, connections func() int) {
	gauge := func(name, help string, value func() float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value)
	}
	s.registry.MustRegister(
		gauge("gooseberry_memory_used_bytes", "Bytes that requests, answers and connections take from the budget.", func() float64 { return float64(usage().Used) }),
		gauge("gooseberry_memory_limit_bytes", "The budget of requests, answers and connections in bytes.", func() float64 { return float64(usage().Limit) }),
		gauge("gooseberry_client_connections", "Open connections of clients.", func() float64 { return float64(connections()) }),
	)
}

// Handler returns a handler that serves the metrics.
func (s *Set) Handler() http.Handler {
	return promhttp.HandlerFor(s.registry, promhttp.HandlerOpts{})
}

// Served returns the number of requests that received an upstream's answer.
func (s *Set) Served() int64 {
	return s.servedCount.Load()
}

// Request records a finished request. It is a gateway.Observer.
func (s *Set) Request(r gateway.Record) {
	route := s.routes.label(r.RouteName())
	outcome, reason, ran := "served", "", "yes"
	if r.Refusal != nil {
		outcome, reason, ran = "refused", r.Refusal.Reason.String(), r.Refusal.Ran.String()
	} else {
		s.servedCount.Add(1)
	}
	s.requests.WithLabelValues(route, r.Kind(), outcome, reason, ran).Inc()
	if r.Customer != "" || reason == refusal.Unauthenticated.String() {
		customer := r.Customer
		if customer != "" {
			customer = s.customerNames.label(customer)
		}
		s.customers.WithLabelValues(customer, outcome, reason).Inc()
	}
	s.total.WithLabelValues(route).Observe(r.Took.Seconds())
	if r.TimeToFirstByte > 0 {
		s.firstByte.WithLabelValues(route).Observe(r.TimeToFirstByte.Seconds())
	}
	s.observeHops(r)
	if r.Tokens > 0 {
		s.memoryWait.WithLabelValues(route).Observe(r.MemoryWait.Seconds())
	}
	for sendReason, sent := range r.Sends {
		if sent > 0 {
			s.sends.WithLabelValues(r.Pool, gateway.SendReason(sendReason).String()).Add(float64(sent))
		}
	}
	s.sends.WithLabelValues(r.Pool, "reserve").Add(float64(r.Reserves))
}

// observeHops records the duration of each hop of a request: the wait for decode memory, the prefill and the
// rest. A request that was not sent to any upstream has no hops.
func (s *Set) observeHops(r gateway.Record) {
	if r.Sends.Total() == 0 {
		return
	}
	if r.Tokens > 0 {
		s.hopDuration.WithLabelValues(r.Pool, "line").Observe(r.MemoryWait.Seconds())
	}
	if r.PrefillTime > 0 {
		s.hopDuration.WithLabelValues(r.Pool, "prefill").Observe(r.PrefillTime.Seconds())
	}
	s.hopDuration.WithLabelValues(r.Pool, "answer").Observe((r.Took - r.MemoryWait - r.PrefillTime).Seconds())
}
