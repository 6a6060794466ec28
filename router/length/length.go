// Package length estimates how far the lengths of outputs lie from the lengths that callers state. It answers bursts that fill
// decode memory: an output that outgrows its reservation makes the engine preempt a stream, which pauses while its prompt is read
// again, and too large a reservation keeps others out.
package length

import (
	"math"
	"sync"
)

const (
	// priorDeviation is the assumed standard deviation of the logarithm of an output's length over its stated length: half of the
	// outputs are within 40 % of it. priorSamples is its weight in samples: one entry sees few streams in a minute.
	priorDeviation = 0.5
	priorSamples   = 30
	// maxSamples bounds the weight of earlier samples, so that the estimate follows the callers.
	maxSamples = 300
	// maxLogRatio bounds the weight of a single sample.
	maxLogRatio = 2.5
)

type (
	// Estimator learns from complete outputs. It is safe for concurrent use.
	Estimator struct {
		mu sync.Mutex
		// samples is the weight of mean and variance, which are those of the logarithm of the length over the stated length.
		samples, mean, variance float64
	}
)

// NewEstimator returns an estimator without samples.
func NewEstimator() *Estimator {
	return &Estimator{samples: priorSamples, variance: priorDeviation * priorDeviation}
}

// Record adds a complete output. It ignores lengths that are not positive.
func (e *Estimator) Record(stated, length int) {
	if stated <= 0 || length <= 0 {
		return
	}
	ratio := max(-maxLogRatio, min(maxLogRatio, math.Log(float64(length)/float64(stated))))
	e.mu.Lock()
	defer e.mu.Unlock()
	e.samples = min(maxSamples, e.samples+1)
	difference := ratio - e.mean
	e.mean += difference / e.samples
	e.variance += (difference*(ratio-e.mean) - e.variance) / e.samples
}

// Quantile returns the length that a share of the outputs with a stated length exceeds, for a log-normal distribution.
func (e *Estimator) Quantile(stated int, exceededShare float64) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	deviations := math.Sqrt2 * math.Erfinv(1-2*exceededShare)
	return int(math.Ceil(float64(stated) * math.Exp(e.mean+deviations*math.Sqrt(e.variance))))
}
