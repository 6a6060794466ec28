// Package contention decides who comes first when generations compete for the same decode memory: by priority, by the
// fair shares of customers, and by lateness.
package contention

import (
	"cmp"
	"math"
	"time"
)

const (
	// highestFactor and lowestFactor are the attempt factors of the most and the least urgent priority of a pool. An entry
	// with only the least urgent waiters asks a pool of as many engines once in 80 ms for each engine, so memory that no
	// other entry wants is unused for a fiftieth of the time that a generation holds it.
	highestFactor = 0.25
	lowestFactor  = 6
	// beyondFactor multiplies the factor of requests beyond the fair share of their customer, and lateFactor that of requests
	// past their target: their answers are worth less.
	beyondFactor = 3
	lateFactor   = 8
	// maxFactor bounds the factor, so that memory is found within a tenth of the time that a generation holds it.
	maxFactor = 24
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

// AttemptFactor returns the factor of the pause between two requests for memory, by which memory that any engine frees goes
// to the higher standing of all entries.
func (s Standing) AttemptFactor(late bool) float64 {
	place := float64(s.Rank) / float64(max(1, s.Ranks-1))
	factor := highestFactor * math.Pow(lowestFactor/highestFactor, min(1, place))
	if s.BeyondShare {
		factor *= beyondFactor
	}
	if late {
		factor *= lateFactor
	}
	return min(maxFactor, factor)
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

func asInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
