package prefill

import (
	"math"
	"time"
)

const (
	// maxCostWeight is the largest weight of one sample.
	maxCostWeight = 0.1
	// costWeightTime is the time constant with which the weight of samples grows with the time between them, so that
	// many samples within a short slow spell weigh together about as much as one.
	costWeightTime = time.Second
	// costHalfLife is the time without samples in which an estimate returns half of the way to its initial value.
	costHalfLife = 5 * time.Second
)

type (
	// costEstimate is an estimate of the prefill time of one token.
	costEstimate struct {
		initial time.Duration
		value   time.Duration
		// updated is the time of the last sample; zero before the first one.
		updated time.Time
	}
)

func newCostEstimate(initial time.Duration) costEstimate {
	return costEstimate{initial: initial, value: initial}
}

// at returns the estimate at a time.
func (c *costEstimate) at(now time.Time) time.Duration {
	age := max(0, now.Sub(c.updated))
	return c.initial + time.Duration(float64(c.value-c.initial)*math.Exp2(-float64(age)/float64(costHalfLife)))
}

// record adds a sample.
func (c *costEstimate) record(cost time.Duration, now time.Time) {
	weight := maxCostWeight
	if !c.updated.IsZero() {
		elapsed := max(0, now.Sub(c.updated))
		weight = min(weight, 1-math.Exp(-float64(elapsed)/float64(costWeightTime)))
	}
	value := c.at(now)
	c.value, c.updated = value+time.Duration(weight*float64(cost-value)), now
}
