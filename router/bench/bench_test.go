package bench_test

import (
	"flag"
	"fmt"
	"runtime/debug"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gooseberrypin.example/router/bench"
)

const (
	// gcPercent reduces the number of garbage collections at the cost of memory. A run allocates much and retains
	// little.
	gcPercent = 800
	// shortRun is long enough for one storm and one crash of a decode server.
	shortRun = 30 * time.Second
)

var (
	caseNames = flag.String("cases", "", "comma-separated cases to run")
	policies  = flag.String("policies", "", "comma-separated policies to run, or all")
	seeds     = flag.Int("seeds", 5, "number of seeds")
	printShed = flag.Bool("shed", false, "print the number of shed attempts by reason")
)

// TestPolicies runs the benchmark and prints the results. It is skipped unless policies are selected, as make
// bench-policy does.
func TestPolicies(t *testing.T) {
	if *policies == "" {
		t.Skip("run by make bench-policy")
	}
	debug.SetGCPercent(gcPercent)
	selected := strings.Split(*policies, ",")
	var report bench.Report
	t.Run("runs", func(t *testing.T) {
		for seed := 1; seed <= *seeds; seed++ {
			for _, benchCase := range bench.Cases() {
				if *caseNames != "" && !slices.Contains(strings.Split(*caseNames, ","), benchCase.Name) {
					continue
				}
				for _, policy := range bench.Policies() {
					if *policies != "all" && !slices.Contains(selected, policy.Name) {
						continue
					}
					t.Run(fmt.Sprintf("%s/%s/%d", benchCase.Name, policy.Name, seed), func(t *testing.T) {
						t.Parallel()
						synctest.Test(t, func(*testing.T) { report.Add(bench.Run(benchCase, policy, uint64(seed), bench.MeasuredDuration)) })
					})
				}
			}
		}
	})
	for _, r := range report.Results() {
		fmt.Println(r)
		if *printShed {
			fmt.Println("shed", r.ShedByReason)
		}
	}
	fmt.Print(report.Summary())
}

// TestRun checks that a run is reproducible, answers no request twice and meets loose bounds on waste and goodput.
func TestRun(t *testing.T) {
	cases := bench.Cases()
	for name, benchCase := range map[string]bench.Case{"storm": cases[2], "faults": cases[3]} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var results []bench.Result
			for range 2 {
				synctest.Test(t, func(*testing.T) {
					results = append(results, bench.Run(benchCase, bench.Policies()[1], 1, shortRun))
				})
			}
			is.Equal(results[0], results[1])                     // runs with the same seed have the same result
			is.Equal(results[0].Duplicates, 0)                   // no request is answered twice
			is.True(results[0].WastedFraction <= 0.08)           // little prefill is wasted
			is.True(results[0].Goodput > 0.8*results[0].Offered) // most requests meet both latency targets
		})
	}
}
