package metric

import (
	"github.com/prometheus/client_golang/prometheus"

	"gooseberrypin.example/router/pace"
	"gooseberrypin.example/router/speed"
)

var (
	slowUpstreams = prometheus.NewDesc("gooseberry_slow_upstreams",
		"Engines that were judged slow, by pool and phase.", []string{"pool", "phase"}, nil)
	paceLimit = prometheus.NewDesc("gooseberry_pace_limit",
		"Sum of the limits on the work in flight at the upstreams of a pool, of all entries.", []string{"pool"}, nil)
	paceInFlight = prometheus.NewDesc("gooseberry_pace_in_flight",
		"Work of this entry in flight at the upstreams of a pool with limits.", []string{"pool"}, nil)
	paceCauses = prometheus.NewDesc("gooseberry_pace_upstreams",
		"Upstreams of a pool by the cause of the last change of their limit.", []string{"pool", "cause"}, nil)
)

type (
	// upstreamCollector computes the metrics of learned speeds and limits when they are read. It implements
	// prometheus.Collector.
	upstreamCollector struct {
		speeds func() []speed.Figure
		limits func() []pace.Figure
	}
)

// CollectUpstreams adds metrics of the learned speeds of engines and of the limits on the work in flight at upstreams.
func (s *Set) CollectUpstreams(speeds func() []speed.Figure, limits func() []pace.Figure) {
	s.registry.MustRegister(upstreamCollector{speeds: speeds, limits: limits})
}

// Describe implements prometheus.Collector.
func (c upstreamCollector) Describe(descriptions chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{slowUpstreams, paceLimit, paceInFlight, paceCauses} {
		descriptions <- d
	}
}

// Collect implements prometheus.Collector.
func (c upstreamCollector) Collect(metrics chan<- prometheus.Metric) {
	send := func(d *prometheus.Desc, values map[[2]string]float64, labels int) {
		for key, value := range values {
			metrics <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, value, key[:labels]...)
		}
	}
	slow, limits, inFlight, causes := map[[2]string]float64{}, map[[2]string]float64{}, map[[2]string]float64{}, map[[2]string]float64{}
	for _, f := range c.speeds() {
		key := [2]string{f.Pool, f.Phase}
		slow[key] += 0
		if f.Slow {
			slow[key]++
		}
	}
	for _, f := range c.limits() {
		limits[[2]string{f.Pool}] += f.Limit
		inFlight[[2]string{f.Pool}] += float64(f.InFlight)
		if f.Cause != "" {
			causes[[2]string{f.Pool, string(f.Cause)}]++
		}
	}
	send(slowUpstreams, slow, 2)
	send(paceLimit, limits, 1)
	send(paceInFlight, inFlight, 1)
	send(paceCauses, causes, 2)
}
