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
	// gcPercent trades memory for time: a run leaves much garbage and little to keep.
	gcPercent = 800
	// shortRun has one storm and one lost server.
	shortRun = 30 * time.Second
)

var (
	onlyCase = flag.String("cases", "", "the cases to run, joined by commas")
	policies = flag.String("policies", "", "the policies to run, joined by commas, or all")
	seeds    = flag.Int("seeds", 5, "number of seeds")
	shed     = flag.Bool("shed", false, "print where attempts were shed")
)

// TestPolicies runs all cases and prints what was measured. It is run by make bench-policy.
func TestPolicies(t *testing.T) {
	if *policies == "" {
		t.Skip("run by make bench-policy")
	}
	debug.SetGCPercent(gcPercent)
	chosen := strings.Split(*policies, ",")
	var report bench.Report
	t.Run("runs", func(t *testing.T) {
		for seed := 1; seed <= *seeds; seed++ {
			for _, scene := range bench.Cases() {
				if *onlyCase != "" && !slices.Contains(strings.Split(*onlyCase, ","), scene.Name) {
					continue
				}
				for _, policy := range bench.Policies() {
					if *policies != "all" && !slices.Contains(chosen, policy.Name) {
						continue
					}
					t.Run(fmt.Sprintf("%s/%s/%d", scene.Name, policy.Name, seed), func(t *testing.T) {
						t.Parallel()
						synctest.Test(t, func(*testing.T) { report.Add(bench.Run(scene, policy, uint64(seed), bench.Measured)) })
					})
				}
			}
		}
	})
	for _, r := range report.Results() {
		fmt.Println(r)
		if *shed {
			fmt.Println("shed", r.Shed)
		}
	}
	fmt.Print(report.Summary())
}

// TestRun checks that a run repeats exactly and answers nothing twice.
func TestRun(t *testing.T) {
	scenes := bench.Cases()
	for name, scene := range map[string]bench.Case{"storm": scenes[2], "faults": scenes[3]} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var results []bench.Result
			for range 2 {
				synctest.Test(t, func(*testing.T) {
					results = append(results, bench.Run(scene, bench.Policies()[1], 1, shortRun))
				})
			}
			is.Equal(results[0], results[1])                     // the same seed gives the same result
			is.Equal(results[0].Duplicates, 0)                   // no request is answered twice
			is.True(results[0].Wasted <= 0.08)                   // prefill is not wasted
			is.True(results[0].Goodput > 0.8*results[0].Offered) // most requests meet both targets
		})
	}
}
