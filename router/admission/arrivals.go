package admission

import (
	"sync"
	"time"
)

const (
	defaultMaxKeys = 65536
)

type (
	// Arrivals records when each idempotency key was first seen, so that a resent request keeps
	// the deadline of its first attempt. When it is full, it evicts the key that was added
	// first. It is safe for concurrent use.
	Arrivals struct {
		mu        sync.Mutex
		firstSeen map[string]time.Time
		keys      []string
		// oldest is the index in keys of the key to evict next.
		oldest int
	}

	// ArrivalsOption configures an Arrivals.
	ArrivalsOption func(a *Arrivals)
)

// NewArrivals returns an Arrivals without keys.
func NewArrivals(opts ...ArrivalsOption) *Arrivals {
	a := &Arrivals{firstSeen: make(map[string]time.Time), keys: make([]string, 0, defaultMaxKeys)}
	for _, opt := range opts {
		opt(a)
	}
	return a
}

// WithMaxKeys sets the number of keys above which the oldest key is evicted.
func WithMaxKeys(maxKeys int) ArrivalsOption {
	return func(a *Arrivals) { a.keys = make([]string, 0, maxKeys) }
}

// First returns when a key was first seen and whether that was in an earlier call. An unknown
// key is recorded as first seen now.
func (a *Arrivals) First(key string, now time.Time) (first time.Time, seenBefore bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if first, found := a.firstSeen[key]; found {
		return first, true
	}
	a.firstSeen[key] = now
	if len(a.keys) < cap(a.keys) {
		a.keys = append(a.keys, key)
		return now, false
	}
	delete(a.firstSeen, a.keys[a.oldest])
	a.keys[a.oldest] = key
	a.oldest = (a.oldest + 1) % len(a.keys)
	return now, false
}
