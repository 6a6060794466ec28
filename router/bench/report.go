package bench

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"sync"
)

type (
	// Report collects the results of runs. It is safe for concurrent use.
	Report struct {
		mu      sync.Mutex
		results []Result
	}

	// target is a bound on one measurement of a case.
	target struct {
		name     string
		caseName string
		bound    float64
		// atMost reports whether the bound is an upper bound.
		atMost bool
		// measure returns the measured value of a result. It also receives the result of the same run without the
		// greedy partner.
		measure func(r, baseline Result) float64
	}
)

// Add adds a result.
func (p *Report) Add(r Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.results = append(p.results, r)
}

// Results returns the results, sorted by case, policy and seed.
func (p *Report) Results() []Result {
	p.mu.Lock()
	defer p.mu.Unlock()
	slices.SortFunc(p.results, func(a, b Result) int {
		return cmp.Or(cmp.Compare(a.Case, b.Case), cmp.Compare(a.Policy, b.Policy), cmp.Compare(a.Seed, b.Seed))
	})
	return p.results
}

// Summary returns a line for each target and policy. The line contains the mean of all seeds, the value of the worst
// seed and whether the worst seed meets the target.
func (p *Report) Summary() string {
	results := p.Results()
	var b strings.Builder
	for _, t := range targets() {
		values := make(map[string][]float64)
		for _, r := range results {
			if r.Case == t.caseName {
				values[r.Policy] = append(values[r.Policy], t.measure(r, baseline(results, r)))
			}
		}
		for _, policy := range Policies() {
			if v := values[policy.Name]; len(v) > 0 {
				b.WriteString(t.summaryLine(policy.Name, v))
			}
		}
	}
	return b.String()
}

// baseline returns the result for the same policy and seed without the greedy partner, or the zero Result if there is
// none.
func baseline(results []Result, r Result) Result {
	i := slices.IndexFunc(results, func(q Result) bool {
		return q.Case == greedyBaseline && q.Policy == r.Policy && q.Seed == r.Seed
	})
	if i < 0 {
		return Result{}
	}
	return results[i]
}

// summaryLine returns the summary of a policy's values for all seeds.
func (t target) summaryLine(policy string, values []float64) string {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	worst, sign := slices.Min(values), ">="
	met := worst >= t.bound
	if t.atMost {
		worst, sign = slices.Max(values), "<="
		met = worst <= t.bound
	}
	return fmt.Sprintf("target=%s policy=%s mean=%.4f worst=%.4f bound=%s%.2f met=%t\n",
		t.name, policy, sum/float64(len(values)), worst, sign, t.bound, met)
}

// targets returns the performance targets.
func targets() []target {
	ofCapacity := func(r, _ Result) float64 { return r.Goodput / r.Capacity }
	ofOffered := func(r, _ Result) float64 { return r.Goodput / r.Offered }
	wasted := func(r, _ Result) float64 { return r.WastedFraction }
	unused := func(r, _ Result) float64 { return r.UnusedFraction }
	others := func(r, baseline Result) float64 { return r.GoodputOfOthers / baseline.GoodputOfOthers }
	return []target{
		{name: "overload_goodput_of_capacity", caseName: "overload_2x", bound: 0.90, measure: ofCapacity},
		{name: "overload_wasted_prefill", caseName: "overload_2x", bound: 0.02, atMost: true, measure: wasted},
		{name: "steady_goodput_of_offered", caseName: "steady_0.8x", bound: 0.95, measure: ofOffered},
		{name: "storm_recovered_in_2_s", caseName: "storm", bound: 0.95, measure: func(r, _ Result) float64 { return r.RecoveredFraction }},
		{name: "faults_wasted_prefill", caseName: "faults_0.8x", bound: 0.08, atMost: true, measure: wasted},
		{name: "faults_prefill_without_whole_answer", caseName: "faults_0.8x", bound: 0.08, atMost: true, measure: unused},
		{name: "greedy_others_of_absent", caseName: "greedy_partner", bound: 0.95, measure: others},
	}
}
