package decode

import (
	"sync"
	"time"
)

const (
	defaultInitialLimit = 16
	defaultMaxLimit     = 256
	// memory of one observation in the fitted line.
	paceDecay      = 0.98
	minPaceSamples = 4
	// minPaceVariance is the variance of batches from which their steps tell a slope.
	minPaceVariance = 1
	// paceTolerance absorbs rounding when the target is met exactly.
	paceTolerance = 1e-6
	// stallFactor times the target is a stall, which tells nothing about the pace.
	stallFactor = 4
)

type (
	// LimitEstimatorOption sets an option of a pace.
	LimitEstimatorOption func(p *LimitEstimator)

	// LimitEstimator learns at which concurrency an engine keeps the time between tokens. It fits
	// step = base + slope x batch to reports, the newest weighing most. It is safe for concurrent use.
	LimitEstimator struct {
		mu       sync.Mutex
		target   time.Duration
		initial  int
		maxLimit int
		weight   float64
		batch    float64
		step     float64
		batch2   float64
		cross    float64
		samples  int
	}
)

// NewLimitEstimator returns a pace for a target time between tokens.
func NewLimitEstimator(target time.Duration, opts ...LimitEstimatorOption) *LimitEstimator {
	p := &LimitEstimator{target: target, initial: defaultInitialLimit, maxLimit: defaultMaxLimit}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// WithInitialLimit sets the limit before anything was learned.
func WithInitialLimit(limit int) LimitEstimatorOption {
	return func(p *LimitEstimator) { p.initial = limit }
}

// WithMaxLimit bounds the limit.
func WithMaxLimit(limit int) LimitEstimatorOption {
	return func(p *LimitEstimator) { p.maxLimit = limit }
}

// Observe takes a report of one step of a batch.
func (p *LimitEstimator) Observe(batch int, step time.Duration) {
	if batch <= 0 || step <= 0 || step > stallFactor*p.target {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	x, y := float64(batch), step.Seconds()
	p.weight = p.weight*paceDecay + 1
	p.batch = p.batch*paceDecay + x
	p.step = p.step*paceDecay + y
	p.batch2 = p.batch2*paceDecay + x*x
	p.cross = p.cross*paceDecay + x*y
	p.samples++
}

// Limit returns the largest batch whose step is predicted to meet the target, at least 1.
func (p *LimitEstimator) Limit() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.samples < minPaceSamples {
		return p.initial
	}
	mean, step := p.batch/p.weight, p.step/p.weight
	limit := mean + (p.target.Seconds()-step)/p.slope(mean, step)
	return min(max(1, int(limit+paceTolerance)), p.maxLimit)
}

// slope returns the growth of a step with the batch. While the batches hardly differ, it
// assumes that half of a step is due to the batch, but no more than the initial limit
// stands for.
func (p *LimitEstimator) slope(mean, step float64) float64 {
	variance := p.batch2/p.weight - mean*mean
	if variance >= minPaceVariance {
		if slope := (p.cross/p.weight - mean*step) / variance; slope > 0 {
			return slope
		}
	}
	slope := step / (2 * mean)
	if initial := float64(p.initial); mean < initial && step < p.target.Seconds() {
		slope = min(slope, (p.target.Seconds()-step)/(initial-mean))
	}
	return slope
}
