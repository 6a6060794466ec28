// Package admission sheds requests that would miss their target before any work is done for them.
package admission

import (
	"math/rand/v2"
	"sync"
	"time"

	"gooseberrypin.example/router/refusal"
)

const (
	defaultJitter     = 0.5
	defaultRetryFloor = 20 * time.Millisecond
)

type (
	// Forecast is the predicted way of a request to its first token.
	Forecast struct {
		QueueDelay time.Duration
		Prefill    time.Duration
		Transfer   time.Duration
		FirstStep  time.Duration
		// Deadline is when the first token is due.
		Deadline time.Time
	}

	// Option sets an option of a gate.
	Option func(g *Gate)

	// Gate admits requests by their forecast. It is safe for concurrent use.
	Gate struct {
		mu         sync.Mutex
		random     *rand.Rand
		margin     time.Duration
		jitter     float64
		retryFloor time.Duration
	}
)

// NewGate returns a gate that draws its jitter from random.
func NewGate(random *rand.Rand, opts ...Option) *Gate {
	g := &Gate{random: random, jitter: defaultJitter, retryFloor: defaultRetryFloor}
	for _, opt := range opts {
		opt(g)
	}
	return g
}

// WithMargin sheds requests that would meet their deadline by less than margin.
func WithMargin(margin time.Duration) Option {
	return func(g *Gate) { g.margin = margin }
}

// WithJitter sets the fraction by which a time to come back may grow at random.
func WithJitter(fraction float64) Option {
	return func(g *Gate) { g.jitter = fraction }
}

// WithRetryFloor sets the shortest time to come back.
func WithRetryFloor(floor time.Duration) Option {
	return func(g *Gate) { g.retryFloor = floor }
}

// Total is the predicted time to the first token.
func (f Forecast) Total() time.Duration {
	return f.QueueDelay + f.Prefill + f.Transfer + f.FirstStep
}

// Admit returns nil when the first token is predicted in time. Otherwise nothing ran,
// and the caller may come back once the queue has drained by what is missing.
func (g *Gate) Admit(f Forecast, now time.Time) *refusal.Refusal {
	over := now.Add(f.Total() + g.margin).Sub(f.Deadline)
	if over <= 0 {
		return nil
	}
	return g.Shed(over)
}

// Shed returns the refusal of a request that may come back after drain.
func (g *Gate) Shed(drain time.Duration) *refusal.Refusal {
	return &refusal.Refusal{
		Ran:        refusal.RanNo,
		Reason:     refusal.Overloaded,
		RetryAfter: g.RetryAfter(drain),
		Message:    "the first token would be late",
	}
}

// RetryAfter adds jitter to a predicted drain.
func (g *Gate) RetryAfter(drain time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	drain = max(drain, g.retryFloor)
	return drain + time.Duration(g.random.Float64()*g.jitter*float64(drain))
}
