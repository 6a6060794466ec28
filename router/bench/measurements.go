package bench

import (
	"fmt"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxMicroseconds   = 60_000_000
	significantDigits = 3
	percentile        = 95
)

type (
	// measurements collects the measurements of a run.
	measurements struct {
		timesToFirstToken *hdrhistogram.Histogram
		gaps              *hdrhistogram.Histogram
		prefillTokens     int
		wastedTokens      int
		unusedTokens      int
		refusals          int
		shedByReason      map[string]int
	}

	// Result contains the results of a run. Rates are in requests per second of the measured time.
	Result struct {
		Case   string
		Policy string
		Seed   uint64
		// Offered is the rate of the requests.
		Offered float64
		// Goodput is the rate of the requests whose complete answer met both latency targets.
		Goodput float64
		// Capacity is the highest rate that a perfect scheduler reaches.
		Capacity float64
		// WastedFraction is the fraction of the computed prompt tokens whose KV cache produced no token for a caller
		// that was still waiting.
		WastedFraction float64
		// UnusedFraction is the fraction of the computed prompt tokens that did not contribute to a complete answer.
		UnusedFraction float64
		// Duplicates is the number of requests with more than one complete answer.
		Duplicates int
		Refusals   int
		// TTFTP95 is the 95th percentile of the time to first token.
		TTFTP95 time.Duration
		// TBTP95 is the 95th percentile of the time between tokens.
		TBTP95 time.Duration
		// GoodputOfOthers is the goodput of all partners except the greedy one.
		GoodputOfOthers float64
		// RecoveredFraction is the fraction of the requests first sent between 2 s and 12 s after the end of a storm
		// whose complete answer met both latency targets.
		RecoveredFraction float64
		// ShedByReason is the number of shed attempts by the step that shed them.
		ShedByReason map[string]int
	}
)

func newMeasurements() *measurements {
	return &measurements{
		timesToFirstToken: hdrhistogram.New(1, maxMicroseconds, significantDigits),
		gaps:              hdrhistogram.New(1, maxMicroseconds, significantDigits),
		shedByReason:      make(map[string]int),
	}
}

func (m *measurements) recordFirstToken(r *request) {
	if r.measured {
		_ = m.timesToFirstToken.RecordValue(r.timeToFirstToken.Microseconds())
	}
}

func (m *measurements) recordGap(r *request, gap time.Duration) {
	if r.measured {
		_ = m.gaps.RecordValue(gap.Microseconds())
	}
}

func (m *measurements) recordRefusal() {
	m.refusals++
}

func (m *measurements) recordShed(reason string) {
	m.shedByReason[reason]++
}

func (m *measurements) recordPrefill(a *attempt, tokens int) {
	if a.measured {
		m.prefillTokens += tokens
	}
}

// recordAttemptEnd adds the computed tokens of an attempt to the wasted and unused tokens, if they count as such. It
// has no effect when called again.
func (m *measurements) recordAttemptEnd(a *attempt) {
	if !a.measured || a.computedTokens == 0 {
		return
	}
	if !a.delivered {
		m.wastedTokens += a.computedTokens
	}
	if !a.request.complete || a.request.deliveringAttempt != a {
		m.unusedTokens += a.computedTokens
	}
	a.computedTokens = 0
}

// result returns the results of a completed run.
func (sm *simulation) result(seed uint64) Result {
	r := Result{
		Case: sm.benchCase.Name, Policy: sm.policy.Name, Seed: seed, Capacity: sm.capacity,
		Refusals: sm.measurements.refusals, ShedByReason: sm.measurements.shedByReason,
		TTFTP95: time.Duration(sm.measurements.timesToFirstToken.ValueAtPercentile(percentile)) * time.Microsecond,
		TBTP95:  time.Duration(sm.measurements.gaps.ValueAtPercentile(percentile)) * time.Microsecond,
	}
	afterStorm, recovered := 0, 0
	for _, q := range sm.requests {
		if q.answers > 1 {
			r.Duplicates++
		}
		if !q.measured {
			continue
		}
		r.Offered++
		if sm.afterStorm(q) {
			afterStorm++
		}
		if !q.metTargets() {
			continue
		}
		r.Goodput++
		if q.partner != greedyPartner {
			r.GoodputOfOthers++
		}
		if sm.afterStorm(q) {
			recovered++
		}
	}
	for _, rate := range []*float64{&r.Offered, &r.Goodput, &r.GoodputOfOthers} {
		*rate /= (sm.end - warmUp).Seconds()
	}
	if sm.measurements.prefillTokens > 0 {
		r.WastedFraction = float64(sm.measurements.wastedTokens) / float64(sm.measurements.prefillTokens)
		r.UnusedFraction = float64(sm.measurements.unusedTokens) / float64(sm.measurements.prefillTokens)
	}
	if afterStorm > 0 {
		r.RecoveredFraction = float64(recovered) / float64(afterStorm)
	}
	return r
}

// afterStorm reports whether a request was first sent in the recovery window after a storm.
func (sm *simulation) afterStorm(q *request) bool {
	if !sm.benchCase.storm {
		return false
	}
	for at := stormStart; at+stormDuration < sm.end; at += stormInterval {
		since := q.firstSent.Sub(sm.clock.start) - at - stormDuration
		if since >= recoveryTimeout && since < recoveryTimeout+recoveryWindow {
			return true
		}
	}
	return false
}

// String returns the result as one line of key=value pairs.
func (r Result) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "case=%s policy=%s seed=%d", r.Case, r.Policy, r.Seed)
	fmt.Fprintf(&b, " offered=%.2f goodput=%.2f goodput_of_capacity=%.3f", r.Offered, r.Goodput, r.Goodput/r.Capacity)
	fmt.Fprintf(&b, " wasted_prefill=%.4f duplicates=%d refused=%d", r.WastedFraction, r.Duplicates, r.Refusals)
	fmt.Fprintf(&b, " ttft_p95_ms=%.1f tbt_p95_ms=%.1f", milliseconds(r.TTFTP95), milliseconds(r.TBTP95))
	return b.String()
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
