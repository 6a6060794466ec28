package retry_test

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"gooseberrypin.example/router/retry"
)

const (
	// The whole system may send ratio times the requests of a window again, and slack more.
	ratio, slack = 0.2, 90.0
	mostEntries  = 25
	windowSteps  = 100
)

// No window exceeds what the whole system may send again, whatever the order of requests, failures,
// kills and restarts of its entries.
func TestWindowsStayWithinTheAllowance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.SampledFrom([]int{1, 3, 10, mostEntries}).Draw(t, "entries")
		fraction, saved := retry.Allowance{Ratio: ratio, Slack: slack}.PerEntry(entries)
		budgets := make([]*retry.Budget, entries)
		fresh := func() *retry.Budget {
			return retry.NewBudget(fraction, retry.WithEmptyStart(), retry.WithBurst(saved))
		}
		for i := range budgets {
			budgets[i] = fresh()
		}
		failing := rapid.SliceOfN(rapid.Bool(), 4, 4).Draw(t, "failing by window")
		rate := rapid.SampledFrom([]int{0, 1, 6, 20}).Draw(t, "requests a step")
		kills := rapid.SliceOfN(rapid.IntRange(0, 4*windowSteps-1), 0, 20).Draw(t, "kills")
		requests, extra := make([]int, 4*windowSteps), make([]int, 4*windowSteps)
		for step := range requests {
			if slices.Contains(kills, step) {
				budgets[step%entries] = fresh()
			}
			for r := range rate {
				b := budgets[(step*rate+r)%entries]
				b.Try()
				requests[step]++
				if failing[step*len(failing)/len(requests)] {
					for b.Allow() {
						extra[step]++
					}
				}
			}
		}
		for end := windowSteps; end <= len(requests); end++ {
			allowed := ratio*float64(most(requests, end)) + slack
			if sent := sum(extra[end-windowSteps : end]); float64(sent) > allowed {
				t.Fatalf("%d retries in the window that ends at step %d, allowed %.0f", sent, end, allowed)
			}
		}
	})
}

// most returns the requests of the busiest of the window that ends at a step, the one before it and
// the one half a window before it.
func most(requests []int, end int) int {
	busiest := 0
	for _, back := range []int{0, windowSteps / 2, windowSteps} {
		from, to := max(0, end-back-windowSteps), max(0, end-back)
		busiest = max(busiest, sum(requests[from:to]))
	}
	return busiest
}

func sum(values []int) int {
	total := 0
	for _, v := range values {
		total += v
	}
	return total
}
