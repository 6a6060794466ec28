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
	// outputs are within 40 % of it. priorVariance is the assumed variance of the logarithm of stated lengths.
	priorDeviation = 0.5
	priorVariance  = 0.5
	// priorSamples is the weight of these assumptions in samples at first, as one entry sees few streams in a minute. It is half of
	// that after as many samples.
	priorSamples = 30
	// maxSamples bounds the weight of earlier samples, so that the estimate follows the callers.
	maxSamples = 300
	// maxLogRatio bounds the weight of a single sample.
	maxLogRatio = 2.5
)

type (
	// Estimator learns from complete outputs, by a linear regression of the logarithm of their lengths on that of the stated
	// lengths: callers that state little tend to get more, and those that state much less. It is safe for concurrent use.
	Estimator struct {
		mu sync.Mutex
		// recorded is the number of samples, and samples their weight.
		recorded, samples float64
		// stated and actual are the means of the logarithms of stated and actual lengths, and the variances and covariance theirs.
		stated, actual                                   float64
		statedVariance, actualVariance, statedCovariance float64
	}
)

// NewEstimator returns an estimator without samples.
func NewEstimator() *Estimator {
	return &Estimator{}
}

// Record adds a complete output. It ignores lengths that are not positive.
func (e *Estimator) Record(stated, length int) {
	if stated <= 0 || length <= 0 {
		return
	}
	x := math.Log(float64(stated))
	y := max(x-maxLogRatio, min(x+maxLogRatio, math.Log(float64(length))))
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recorded++
	e.samples = min(maxSamples, e.samples+1)
	weight := 1 / e.samples
	dx, dy := x-e.stated, y-e.actual
	e.stated += weight * dx
	e.actual += weight * dy
	e.statedVariance += weight * (dx*(x-e.stated) - e.statedVariance)
	e.actualVariance += weight * (dy*(y-e.actual) - e.actualVariance)
	e.statedCovariance += weight * (dx*(y-e.actual) - e.statedCovariance)
}

// Quantile returns the length that a share of the outputs with a stated length exceeds, for a log-normal distribution.
func (e *Estimator) Quantile(stated int, exceededShare float64) int {
	if stated <= 0 {
		return 0
	}
	x := math.Log(float64(stated))
	e.mu.Lock()
	defer e.mu.Unlock()
	prior := priorSamples * priorSamples / (priorSamples + e.recorded)
	slope := (e.samples*e.statedCovariance + prior*priorVariance) / (e.samples*e.statedVariance + prior*priorVariance)
	learned := max(0, e.actualVariance-2*slope*e.statedCovariance+slope*slope*e.statedVariance)
	total := e.samples + prior
	mean := (e.samples*(e.actual+slope*(x-e.stated)) + prior*x) / total
	variance := (e.samples*learned + prior*priorDeviation*priorDeviation) / total
	return int(math.Ceil(math.Exp(mean + math.Sqrt2*math.Erfinv(1-2*exceededShare)*math.Sqrt(variance))))
}
