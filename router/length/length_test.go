package length_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"gooseberrypin.example/router/length"
)

// draw returns the length of an output whose logarithm deviates from that of the stated length.
func draw(random *rand.Rand, stated int, bias, deviation float64) int {
	return max(1, int(float64(stated)*math.Exp(bias+deviation*random.NormFloat64())))
}

// Before any output is known, a usual deviation is assumed.
func ExampleEstimator_Quantile() {
	e := length.NewEstimator()
	fmt.Println(e.Quantile(1000, 0.5), e.Quantile(1000, 0.13))
	// Output: 1000 1757
}

// Guards against reservations that outputs with a small stated length exceed more often than those with a large one: callers
// estimate outputs of different lengths equally well, so that small estimates are more often too small.
func TestQuantileFollowsTheStatedLength(t *testing.T) {
	const (
		exceededShare = 0.13
		samples       = 4000
		tolerance     = 0.04
	)
	is := is.New(t)
	random := rand.New(rand.NewPCG(3, 4))
	e := length.NewEstimator()
	exceeded, outputs := make(map[bool]int), make(map[bool]int)
	for n := range 2 * samples {
		output := draw(random, 800, 0, 0.7)
		stated := draw(random, output, 0, 0.5)
		if n >= samples {
			outputs[stated < 800]++
			if output > e.Quantile(stated, exceededShare) {
				exceeded[stated < 800]++
			}
		}
		e.Record(stated, output)
	}
	for small, of := range outputs {
		share := float64(exceeded[small]) / float64(of)
		t.Logf("small %v: %.3f exceeded", small, share)
		is.True(share > exceededShare-tolerance && share < exceededShare+tolerance)
	}
}

// Guards against reservations that outputs exceed more or less often than asked for, where callers estimate well, badly, or
// always too low.
func TestQuantileIsExceededAsOftenAsAsked(t *testing.T) {
	const (
		exceededShare = 0.13
		samples       = 2000
		tolerance     = 0.04
	)
	tests := map[string]struct{ bias, deviation float64 }{
		"usual":          {0, 0.5},
		"exact":          {0, 0.1},
		"bad":            {0, 0.9},
		"always too low": {0.7, 0.3},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			random := rand.New(rand.NewPCG(1, 2))
			e := length.NewEstimator()
			exceeded := 0
			for n := range 2 * samples {
				stated := 100 + random.IntN(1000)
				output := draw(random, stated, tt.bias, tt.deviation)
				if n >= samples && output > e.Quantile(stated, exceededShare) {
					exceeded++
				}
				e.Record(stated, output)
			}
			share := float64(exceeded) / samples
			t.Logf("%.3f exceeded", share)
			is.True(share > exceededShare-tolerance && share < exceededShare+tolerance)
		})
	}
}

// Guards against a few odd outputs that change the reservations of all others, and against lengths that say nothing.
func TestFewOutputsChangeLittle(t *testing.T) {
	is := is.New(t)
	e := length.NewEstimator()
	before := e.Quantile(1000, 0.13)
	e.Record(0, 100)
	e.Record(100, 0)
	is.Equal(e.Quantile(1000, 0.13), before)
	e.Record(10, 100_000)
	is.True(e.Quantile(1000, 0.13) < before*3/2)
}
