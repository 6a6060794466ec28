package retry_test

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"gooseberrypin.example/router/retry"
)

const (
	// The whole system may send ratio times the requests of a window plus slack as retries.
	ratio, slack = 0.2, 90.0
	maxEntries   = 25
	windowSteps  = 100
)

// TestWindowsStayWithinTheAllowance checks that the retries of all entries stay within the allowance
// in every window, for any order of requests, failures and restarts of entries.
func TestWindowsStayWithinTheAllowance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.SampledFrom([]int{1, 3, 10, maxEntries}).Draw(t, "entries")
		fraction, burst := retry.Allowance{Ratio: ratio, Slack: slack}.PerEntry(entries)
		budgets := make([]*retry.Budget, entries)
		newBudget := func() *retry.Budget {
			return retry.NewBudget(fraction, retry.WithEmptyStart(), retry.WithBurst(burst))
		}
		for i := range budgets {
			budgets[i] = newBudget()
		}
		failing := rapid.SliceOfN(rapid.Bool(), 4, 4).Draw(t, "window fails")
		rate := rapid.SampledFrom([]int{0, 1, 6, 20}).Draw(t, "requests per step")
		restarts := rapid.SliceOfN(rapid.IntRange(0, 4*windowSteps-1), 0, 20).Draw(t, "restart steps")
		requests, retries := make([]int, 4*windowSteps), make([]int, 4*windowSteps)
		for step := range requests {
			if slices.Contains(restarts, step) {
				budgets[step%entries] = newBudget()
			}
			for r := range rate {
				b := budgets[(step*rate+r)%entries]
				b.RecordFirstTry()
				requests[step]++
				if failing[step*len(failing)/len(requests)] {
					for b.Allow() {
						retries[step]++
					}
				}
			}
		}
		for end := windowSteps; end <= len(requests); end++ {
			allowed := ratio*float64(busiestWindow(requests, end)) + slack
			if sent := sum(retries[end-windowSteps : end]); float64(sent) > allowed {
				t.Fatalf("%d retries in the window that ends at step %d, want at most %.0f", sent, end, allowed)
			}
		}
	})
}

// busiestWindow returns the largest number of requests in three windows: the one that ends at a step, and
// those that end half a window and a whole window earlier.
func busiestWindow(requests []int, end int) int {
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
