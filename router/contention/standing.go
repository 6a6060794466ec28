// Package contention decides who comes first when generations compete for the same decode memory: by priority, by the
// fair shares of customers, and by lateness.
package contention

import (
	"cmp"
	"math"
	"time"
)

const (
	// maxAttemptFactor is the attempt factor of the lowest standing. An entry with only such waiters asks a pool of as many
	// engines once in 0.1 s for each engine, so memory that nobody of a higher standing wants is unused for a fortieth of the
	// time that a generation holds it.
	maxAttemptFactor = 8
	// lateFactor multiplies the factor of requests past their target, up to maxAttemptFactor.
	lateFactor = 8
	// retryTargets times the latency target is the least retry delay, and up to as much is added by standing and by chance.
	retryTargets = 1.5
	// retryPart of the time that callers have left is the longest retry delay that they honour, a third, less the time of the
	// answer on its way.
	retryPart = 0.32
)

type (
	// Standing is the place of a request among those that compete for the same memory. The zero value stands for a pool in
	// which standing does not count.
	Standing struct {
		// InForce reports whether standing counts in the pool.
		InForce bool
		// Rank is the place of the request's priority among the Ranks of its pool. 0 is the most urgent.
		Rank, Ranks int
		// BeyondShare reports whether the request exceeds the fair share of its customer.
		BeyondShare bool
	}
)

// Compare returns a negative number if s comes before other, and a positive number if it comes after other.
func (s Standing) Compare(other Standing) int {
	return cmp.Or(cmp.Compare(s.Rank, other.Rank), cmp.Compare(asInt(s.BeyondShare), asInt(other.BeyondShare)))
}

// AttemptFactor returns the factor of the pause between two requests for memory. It is 1 for the highest standing and
// grows evenly to that of the lowest one, so that memory that any engine frees goes to the higher standing of all entries.
func (s Standing) AttemptFactor(late bool) float64 {
	place := 2*s.Rank + asInt(s.BeyondShare)
	last := 2*max(1, s.Ranks) - 1
	factor := math.Pow(maxAttemptFactor, min(1, float64(place)/float64(last)))
	if late {
		factor = min(maxAttemptFactor, lateFactor*factor)
	}
	return factor
}

// RetryAfter returns the retry delay of a refused request with a latency target and a time that its caller has left.
// random, from 0 to 1, spreads the callers; those of a lower standing return later.
func (s Standing) RetryAfter(target, left time.Duration, random float64) time.Duration {
	place := float64(2*s.Rank+asInt(s.BeyondShare)) / float64(2*max(1, s.Ranks))
	delay := retryTargets * float64(target) * (1 + place + random/2)
	longest := retryPart * float64(left)
	if delay > longest {
		// The longest delays are spread too.
		delay = longest * (1 - random/4)
	}
	return max(0, time.Duration(delay))
}

// String returns the standing in log lines.
func (s Standing) String() string {
	if s.BeyondShare {
		return "beyond_share"
	}
	return "within_share"
}

func asInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
