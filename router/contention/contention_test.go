package contention_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"gooseberrypin.example/router/contention"
	"gooseberrypin.example/router/quota"
)

// A customer below its fair share must get all it asks for, whatever others ask for.
func TestFairShares(t *testing.T) {
	tests := map[string]struct {
		capacity float64
		demands  []float64
		want     []float64
	}{
		"no demands":                 {10, nil, []float64{}},
		"enough for all":             {10, []float64{1, 5, 4}, []float64{1, 5, 4}},
		"one beyond its share":       {10, []float64{60, 2, 3}, []float64{5, 2, 3}},
		"two beyond their shares":    {10, []float64{9, 2, 60}, []float64{4, 2, 4}},
		"all beyond their shares":    {9, []float64{9, 7, 60}, []float64{3, 3, 3}},
		"the largest is not starved": {6, []float64{100, 0, 0, 2}, []float64{4, 0, 0, 2}},
		"nothing is granted":         {0, []float64{1, 2}, []float64{0, 0}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(contention.FairShares(tt.capacity, tt.demands), tt.want)
		})
	}
}

// The shares must never exceed the capacity or a demand, and who gets less than its demand must not get less than another.
func TestFairSharesAreMaxMin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.Float64Range(0, 1e6).Draw(t, "capacity")
		demands := rapid.SliceOfN(rapid.Float64Range(0, 1e6), 1, 20).Draw(t, "demands")
		total, wanted, largest := 0.0, 0.0, 0.0
		shares := contention.FairShares(capacity, demands)
		for n, share := range shares {
			total, wanted, largest = total+share, wanted+demands[n], max(largest, share)
			if share > demands[n] {
				t.Fatalf("share %v exceeds the demand %v", share, demands[n])
			}
		}
		const rounding = 1e-6
		if total > capacity+rounding || total < min(capacity, wanted)-rounding {
			t.Fatalf("%v of %v are divided, %v are wanted", total, capacity, wanted)
		}
		for n, share := range shares {
			if share < demands[n]-rounding && share < largest-rounding {
				t.Fatalf("share %v is below both its demand %v and the largest share %v", share, demands[n], largest)
			}
		}
	})
}

// Figures that are unknown, old or in another unit must not put a customer behind others.
func TestWithinPart(t *testing.T) {
	loads := []quota.CustomerLoad{{Name: "hot", Demand: 90, Granted: 40}, {Name: "small", Demand: 10, Granted: 10}, {Name: "requests", Demand: 1000, Granted: 1000}}
	unit := func(name string) int { return map[string]int{"requests": 1}[name] }
	tests := map[string]struct {
		customer string
		age      time.Duration
		check    func(part float64) bool
	}{
		"above its share":  {"hot", time.Second, func(part float64) bool { return part > 0.2 && part < 40.0/90 }},
		"below its share":  {"small", time.Second, func(part float64) bool { return part == 1 }},
		"alone in a unit":  {"requests", time.Second, func(part float64) bool { return part == 1 }},
		"without figures":  {"new", time.Second, func(part float64) bool { return part == 1 }},
		"with old figures": {"hot", contention.MaxLoadAge + time.Second, func(part float64) bool { return part == 1 }},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				of := time.Now().Add(-tt.age)
				s := contention.NewShares(func() ([]quota.CustomerLoad, time.Time) { return loads, of })
				is.True(tt.check(s.WithinPart(tt.customer, nil, unit)))
			})
		})
	}
}

// A lower rank, or a request beyond its customer's share or past its target, must not ask for memory more often than
// another one that is the same otherwise, and all must still ask.
func TestAttemptFactor(t *testing.T) {
	is := is.New(t)
	for _, ranks := range []int{1, 3, 9} {
		for rank := range ranks {
			s := contention.Standing{InForce: true, Rank: rank, Ranks: ranks}
			higher, beyond := s, s
			higher.Rank = max(0, rank-1)
			beyond.BeyondShare = true
			for _, late := range []bool{false, true} {
				is.True(higher.AttemptFactor(late) > 0)
				is.True(higher.AttemptFactor(late) <= s.AttemptFactor(late))
				is.True(s.AttemptFactor(late) <= beyond.AttemptFactor(late))
				is.True(beyond.AttemptFactor(late) <= 24)
			}
			is.True(s.AttemptFactor(false) < s.AttemptFactor(true))
		}
	}
}

// Callers honour a retry delay of up to a third of the time that they have left. Those of a lower standing must return later,
// and not all at once.
func TestRetryAfter(t *testing.T) {
	const target, left = time.Second, 14 * time.Second
	is := is.New(t)
	high, low := contention.Standing{Ranks: 3}, contention.Standing{Ranks: 3, Rank: 2, BeyondShare: true}
	for _, random := range []float64{0, 0.5, 1} {
		is.True(high.RetryAfter(target, left, random) < low.RetryAfter(target, left, random))
		is.True(low.RetryAfter(2*target, left, random) <= left/3)
	}
	is.True(high.RetryAfter(target, left, 0)+target/2 < high.RetryAfter(target, left, 1))
	is.True(low.RetryAfter(2*target, left, 0)-low.RetryAfter(2*target, left, 1) > target)
	is.Equal(high.RetryAfter(target, -time.Second, 0.5), time.Duration(0))
}
