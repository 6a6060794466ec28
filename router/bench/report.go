package bench

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"sync"
)

type (
	// Report collects results. It is safe for concurrent use.
	Report struct {
		mu      sync.Mutex
		results []Result
	}

	// target is a bound on one case of the router's own policy.
	target struct {
		name    string
		scene   string
		bound   float64
		atMost  bool
		measure func(r, absent Result) float64
	}
)

// Add adds a result.
func (p *Report) Add(r Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.results = append(p.results, r)
}

// Results returns the results by case, policy and seed.
func (p *Report) Results() []Result {
	p.mu.Lock()
	defer p.mu.Unlock()
	slices.SortFunc(p.results, func(a, b Result) int {
		return cmp.Or(cmp.Compare(a.Case, b.Case), cmp.Compare(a.Policy, b.Policy), cmp.Compare(a.Seed, b.Seed))
	})
	return p.results
}

// Summary returns a line for each target and policy: its mean, its worst seed and
// whether the worst seed meets it.
func (p *Report) Summary() string {
	results := p.Results()
	var b strings.Builder
	for _, t := range targets() {
		values := make(map[string][]float64)
		for _, r := range results {
			if r.Case == t.scene {
				values[r.Policy] = append(values[r.Policy], t.measure(r, absent(results, r)))
			}
		}
		for _, policy := range Policies() {
			if v := values[policy.Name]; len(v) > 0 {
				b.WriteString(t.line(policy.Name, v))
			}
		}
	}
	return b.String()
}

// absent returns the yardstick of a result: the same run without the greedy partner.
func absent(results []Result, r Result) Result {
	i := slices.IndexFunc(results, func(q Result) bool {
		return q.Case == greedyAbsent && q.Policy == r.Policy && q.Seed == r.Seed
	})
	if i < 0 {
		return Result{}
	}
	return results[i]
}

func (t target) line(policy string, values []float64) string {
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

// targets returns the bounds of the users.
func targets() []target {
	ofCapacity := func(r, _ Result) float64 { return r.Goodput / r.Capacity }
	ofOffered := func(r, _ Result) float64 { return r.Goodput / r.Offered }
	wasted := func(r, _ Result) float64 { return r.Wasted }
	unused := func(r, _ Result) float64 { return r.Unused }
	others := func(r, absent Result) float64 { return r.Others / absent.Others }
	return []target{
		{name: "overload_goodput_of_capacity", scene: "overload_2x", bound: 0.90, measure: ofCapacity},
		{name: "overload_wasted_prefill", scene: "overload_2x", bound: 0.02, atMost: true, measure: wasted},
		{name: "steady_goodput_of_offered", scene: "steady_0.8x", bound: 0.95, measure: ofOffered},
		{name: "storm_recovered_in_2_s", scene: "storm", bound: 0.95, measure: func(r, _ Result) float64 { return r.Recovered }},
		{name: "faults_wasted_prefill", scene: "faults_0.8x", bound: 0.08, atMost: true, measure: wasted},
		{name: "faults_prefill_without_whole_answer", scene: "faults_0.8x", bound: 0.08, atMost: true, measure: unused},
		{name: "greedy_others_of_absent", scene: "greedy_partner", bound: 0.95, measure: others},
	}
}
