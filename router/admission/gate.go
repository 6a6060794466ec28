// Package admission implements admission control: it rejects requests that would miss their
// latency target before any work is done for them.
package admission

import (
	"math/rand/v2"
	"sync"
	"time"

	"gooseberrypin.example/router/refusal"
)

const (
	defaultJitter        = 0.5
	defaultMinRetryAfter = 20 * time.Millisecond
)

type (
	// Forecast is the predicted time to a request's first token, split into its stages.
	Forecast struct {
		QueueDelay time.Duration
		Prefill    time.Duration
		Transfer   time.Duration
		// FirstStep is the time from the end of the stages above to the first token.
		FirstStep time.Duration
		// Deadline is when the first token is due.
		Deadline time.Time
	}

	// Option configures a Gate.
	Option func(g *Gate)

	// Gate admits or rejects requests by their forecast. It is safe for concurrent use.
	Gate struct {
		mu            sync.Mutex
		random        *rand.Rand
		margin        time.Duration
		jitter        float64
		minRetryAfter time.Duration
	}
)

// NewGate returns a gate that adds jitter from random to the retry delays it returns.
func NewGate(random *rand.Rand, opts ...Option) *Gate {
	g := &Gate{random: random, jitter: defaultJitter, minRetryAfter: defaultMinRetryAfter}
	for _, opt := range opts {
		opt(g)
	}
	return g
}

// WithMargin sets the least time by which the forecast must precede the deadline. The default
// is zero.
func WithMargin(margin time.Duration) Option {
	return func(g *Gate) { g.margin = margin }
}

// WithJitter sets the fraction by which jitter may lengthen a retry delay.
func WithJitter(fraction float64) Option {
	return func(g *Gate) { g.jitter = fraction }
}

// WithMinRetryAfter sets the shortest retry delay before jitter.
func WithMinRetryAfter(minimum time.Duration) Option {
	return func(g *Gate) { g.minRetryAfter = minimum }
}

// Total returns the predicted time to the first token.
func (f Forecast) Total() time.Duration {
	return f.QueueDelay + f.Prefill + f.Transfer + f.FirstStep
}

// Admit returns nil when the forecast puts the first token at least the margin before the
// deadline. Otherwise it returns a refusal: nothing ran, and the caller may retry after the time
// by which the forecast is late. The queue drains by as much in that time.
func (g *Gate) Admit(f Forecast, now time.Time) *refusal.Refusal {
	lateBy := now.Add(f.Total() + g.margin).Sub(f.Deadline)
	if lateBy <= 0 {
		return nil
	}
	return g.Shed(lateBy)
}

// Shed returns the refusal of an overloaded upstream or entry. The caller may retry after
// RetryAfter(drainTime).
func (g *Gate) Shed(drainTime time.Duration) *refusal.Refusal {
	return &refusal.Refusal{
		Ran:        refusal.RanNo,
		Reason:     refusal.Overloaded,
		RetryAfter: g.RetryAfter(drainTime),
		Message:    "the first token would be late",
	}
}

// RetryAfter returns the time after which a caller may retry: the time that the queue needs to
// drain, or the minimum if that is longer, plus random jitter.
func (g *Gate) RetryAfter(drainTime time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	drainTime = max(drainTime, g.minRetryAfter)
	return drainTime + time.Duration(g.random.Float64()*g.jitter*float64(drainTime))
}
