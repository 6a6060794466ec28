package bench

import (
	"fmt"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxMicroseconds = 60_000_000
	digits          = 3
	percentile      = 95
)

type (
	// tally collects what a run measures.
	tally struct {
		first    *hdrhistogram.Histogram
		gaps     *hdrhistogram.Histogram
		prefill  int
		wasted   int
		unused   int
		refusals int
		reasons  map[string]int
	}

	// Result is what a run measured.
	Result struct {
		Case     string
		Policy   string
		Seed     uint64
		Offered  float64
		Goodput  float64
		Capacity float64
		// Wasted is the fraction of computed prompt tokens whose KV cache gave no token to a
		// caller that was there; Unused of those that were not part of a whole answer.
		Wasted     float64
		Unused     float64
		Duplicates int
		Refused    int
		TTFT       time.Duration
		TBT        time.Duration
		// Others is the goodput without the greedy partner.
		Others float64
		// Recovered is the fraction of the requests that came between 2 s and 12 s after a
		// storm's end that were answered within both targets.
		Recovered float64
		Shed      map[string]int
	}
)

func newTally() *tally {
	return &tally{
		first:   hdrhistogram.New(1, maxMicroseconds, digits),
		gaps:    hdrhistogram.New(1, maxMicroseconds, digits),
		reasons: make(map[string]int),
	}
}

func (t *tally) firstToken(r *request) {
	if r.measured {
		_ = t.first.RecordValue(r.firstToken.Microseconds())
	}
}

func (t *tally) gap(r *request, gap time.Duration) {
	if r.measured {
		_ = t.gaps.RecordValue(gap.Microseconds())
	}
}

func (t *tally) refused() {
	t.refusals++
}

func (t *tally) shed(reason string) {
	t.reasons[reason]++
}

func (t *tally) computed(a *attempt, tokens int) {
	if a.counted {
		t.prefill += tokens
	}
}

func (t *tally) settle(a *attempt) {
	if !a.counted || a.computed == 0 {
		return
	}
	if !a.delivered {
		t.wasted += a.computed
	}
	if !a.request.whole || a.request.streamer != a {
		t.unused += a.computed
	}
	a.computed = 0
}

func (w *world) result(seed uint64) Result {
	r := Result{
		Case: w.scene.Name, Policy: w.policy.Name, Seed: seed, Capacity: w.capacity,
		Refused: w.tally.refusals, Shed: w.tally.reasons,
		TTFT: time.Duration(w.tally.first.ValueAtPercentile(percentile)) * time.Microsecond,
		TBT:  time.Duration(w.tally.gaps.ValueAtPercentile(percentile)) * time.Microsecond,
	}
	after, back := 0, 0
	for _, q := range w.requests {
		if q.answers > 1 {
			r.Duplicates++
		}
		if !q.measured {
			continue
		}
		r.Offered++
		if w.afterStorm(q) {
			after++
		}
		if !q.good() {
			continue
		}
		r.Goodput++
		if q.partner != greedyPartner {
			r.Others++
		}
		if w.afterStorm(q) {
			back++
		}
	}
	for _, rate := range []*float64{&r.Offered, &r.Goodput, &r.Others} {
		*rate /= (w.end - warmUp).Seconds()
	}
	if w.tally.prefill > 0 {
		r.Wasted = float64(w.tally.wasted) / float64(w.tally.prefill)
		r.Unused = float64(w.tally.unused) / float64(w.tally.prefill)
	}
	if after > 0 {
		r.Recovered = float64(back) / float64(after)
	}
	return r
}

// afterStorm tells whether a request came soon after a storm, when all should be well again.
func (w *world) afterStorm(q *request) bool {
	if !w.scene.storm {
		return false
	}
	for at := stormStart; at+stormLength < w.end; at += stormEvery {
		since := q.first.Sub(w.clock.start) - at - stormLength
		if since >= recoveryBound && since < recoveryBound+recoveryWindow {
			return true
		}
	}
	return false
}

// String returns the result as one line.
func (r Result) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "case=%s policy=%s seed=%d", r.Case, r.Policy, r.Seed)
	fmt.Fprintf(&b, " offered=%.2f goodput=%.2f goodput_of_capacity=%.3f", r.Offered, r.Goodput, r.Goodput/r.Capacity)
	fmt.Fprintf(&b, " wasted_prefill=%.4f duplicates=%d refused=%d", r.Wasted, r.Duplicates, r.Refused)
	fmt.Fprintf(&b, " ttft_p95_ms=%.1f tbt_p95_ms=%.1f", milliseconds(r.TTFT), milliseconds(r.TBT))
	return b.String()
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
