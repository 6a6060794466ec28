package decode

import (
	"sync"
	"time"
)

const (
	defaultInitialLimit = 16
	defaultMaxLimit     = 256
	// observationDecay is the factor by which each new observation reduces the weight of the earlier ones.
	observationDecay = 0.98
	minSamples       = 4
	// minBatchVariance is the variance of batch sizes from which the slope is fitted.
	minBatchVariance = 1
	// limitTolerance absorbs rounding when the target is met exactly.
	limitTolerance = 1e-6
	// stallFactor times the target is the duration above which a step is ignored. Such a step is a stall and does
	// not depend on the batch size.
	stallFactor = 4
)

type (
	// LimitEstimatorOption configures a LimitEstimator.
	LimitEstimatorOption func(e *LimitEstimator)

	// LimitEstimator estimates the largest number of concurrent streams with which an engine meets its target time
	// between tokens. It fits step = base + slope x batch to the observed steps by least squares, with weights that
	// decay exponentially. It is safe for concurrent use.
	LimitEstimator struct {
		mu           sync.Mutex
		targetStep   time.Duration
		initialLimit int
		maxLimit     int
		// The sums are weighted. Steps are in seconds.
		sumWeights      float64
		sumBatch        float64
		sumStep         float64
		sumBatchSquared float64
		sumBatchStep    float64
		// samples is the number of observations.
		samples int
	}
)

// NewLimitEstimator returns a LimitEstimator without observations for a target time between tokens.
func NewLimitEstimator(target time.Duration, opts ...LimitEstimatorOption) *LimitEstimator {
	e := &LimitEstimator{targetStep: target, initialLimit: defaultInitialLimit, maxLimit: defaultMaxLimit}
	for _, opt := range opts {
		opt(e)
	}
	return e
}

// WithInitialLimit sets the limit until there are enough observations. The default is 16.
func WithInitialLimit(limit int) LimitEstimatorOption {
	return func(e *LimitEstimator) { e.initialLimit = limit }
}

// WithMaxLimit sets the upper bound of the limit. The default is 256.
func WithMaxLimit(limit int) LimitEstimatorOption {
	return func(e *LimitEstimator) { e.maxLimit = limit }
}

// Observe records the duration of one step with a batch size. It ignores stalls.
func (e *LimitEstimator) Observe(batch int, step time.Duration) {
	if batch <= 0 || step <= 0 || step > stallFactor*e.targetStep {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	x, y := float64(batch), step.Seconds()
	e.sumWeights = e.sumWeights*observationDecay + 1
	e.sumBatch = e.sumBatch*observationDecay + x
	e.sumStep = e.sumStep*observationDecay + y
	e.sumBatchSquared = e.sumBatchSquared*observationDecay + x*x
	e.sumBatchStep = e.sumBatchStep*observationDecay + x*y
	e.samples++
}

// Limit returns the largest batch size whose step is predicted to meet the target, from 1 to the maximum. With
// fewer than minSamples observations it returns the initial limit.
func (e *LimitEstimator) Limit() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.samples < minSamples {
		return e.initialLimit
	}
	mean, step := e.sumBatch/e.sumWeights, e.sumStep/e.sumWeights
	limit := mean + (e.targetStep.Seconds()-step)/e.slope(mean, step)
	return min(max(1, int(limit+limitTolerance)), e.maxLimit)
}

// slope returns the increase of a step for each additional stream in the batch, in seconds. While the batch sizes vary
// too little for a fit, or the fitted slope is not positive, it assumes that half of the mean step is proportional to
// the batch size. While the mean batch is below the initial limit and meets the target, it caps that slope so that
// Limit is at least the initial limit.
func (e *LimitEstimator) slope(mean, step float64) float64 {
	variance := e.sumBatchSquared/e.sumWeights - mean*mean
	if variance >= minBatchVariance {
		if slope := (e.sumBatchStep/e.sumWeights - mean*step) / variance; slope > 0 {
			return slope
		}
	}
	slope := step / (2 * mean)
	if initial := float64(e.initialLimit); mean < initial && step < e.targetStep.Seconds() {
		slope = min(slope, (e.targetStep.Seconds()-step)/(initial-mean))
	}
	return slope
}
