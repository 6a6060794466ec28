package bench_test

import (
	"flag"
	"fmt"
	"testing"
	"testing/synctest"

	"gooseberrypin.example/router/bench"
)

var (
	policies = flag.Bool("policies", false, "run all cases under all policies")
	seeds    = flag.Int("seeds", 5, "number of seeds")
	only     = flag.String("only", "", "the one policy to run")
)

func TestPolicies(t *testing.T) {
	if !*policies {
		t.Skip("run by make bench-policy")
	}
	for _, scene := range bench.Cases() {
		for _, policy := range bench.Policies() {
			if *only != "" && *only != policy.Name {
				continue
			}
			for seed := 1; seed <= *seeds; seed++ {
				t.Run(fmt.Sprintf("%s/%s/%d", scene.Name, policy.Name, seed), func(t *testing.T) {
					t.Parallel()
					synctest.Test(t, func(t *testing.T) {
						r := bench.Run(scene, policy, uint64(seed))
						fmt.Println(r, r.Unused, r.Others, r.Recovered, r.Shed)
					})
				})
			}
		}
	}
}
