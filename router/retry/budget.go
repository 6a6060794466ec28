// Package retry limits the retries inside the system to a fraction of the first tries.
package retry

import (
	"sync"
)

const (
	defaultBurst = 10
	// maxDebtBursts limits the debt that Spend may run up, in multiples of the burst.
	maxDebtBursts = 10
)

type (
	// Option configures a Budget.
	Option func(b *Budget)

	// Budget is a token bucket of retries. Each first try adds a fraction of a retry, up to the burst.
	// It is safe for concurrent use.
	Budget struct {
		mu       sync.Mutex
		fraction float64
		burst    float64
		// available is the number of retries that may be sent now. It is negative in debt.
		available   float64
		startsEmpty bool
	}
)

// NewBudget returns a full budget that allows the given fraction of first tries to be retried.
func NewBudget(fraction float64, opts ...Option) *Budget {
	b := &Budget{fraction: fraction, burst: defaultBurst}
	for _, opt := range opts {
		opt(b)
	}
	if !b.startsEmpty {
		b.available = b.burst
	}
	return b
}

// WithBurst sets how many retries may accumulate.
func WithBurst(retries int) Option {
	return func(b *Budget) { b.burst = float64(retries) }
}

// WithEmptyStart makes a budget start without retries, so that repeated restarts don't add retries.
func WithEmptyStart() Option {
	return func(b *Budget) { b.startsEmpty = true }
}

// SetFraction changes the fraction of a retry that each later first try adds.
func (b *Budget) SetFraction(fraction float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fraction = fraction
}

// SetBurst changes how many retries may accumulate, and drops those beyond.
func (b *Budget) SetBurst(retries int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.burst = float64(retries)
	b.available = min(b.burst, b.available)
}

// RecordFirstTry records a first try, which adds a fraction of a retry.
func (b *Budget) RecordFirstTry() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.available = min(b.burst, b.available+b.fraction)
}

// Spend takes one retry that was sent without Allow or Reserve, such as the repetition of a try that
// an upstream rejected. The budget may become negative. Later first tries make up for that.
func (b *Budget) Spend() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.available = max(b.available-1, -maxDebtBursts*b.burst)
}

// Reserve takes a number of retries before they are sent. It takes none and returns false when fewer
// are available. Return gives back those that were not sent.
func (b *Budget) Reserve(retries int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.available < float64(retries) {
		return false
	}
	b.available -= float64(retries)
	return true
}

// Return gives back reserved retries that were not sent.
func (b *Budget) Return(retries int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.available = min(b.burst, b.available+float64(retries))
}

// Allow takes one retry, or returns false when none is available.
func (b *Budget) Allow() bool {
	return b.Reserve(1)
}
