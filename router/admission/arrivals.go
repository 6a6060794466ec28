package admission

import (
	"sync"
	"time"
)

const (
	defaultArrivals = 65536
)

type (
	// Arrivals remembers when each key came first, so that a resend keeps the deadline of
	// its first try. It forgets the oldest key when it is full. It is safe for concurrent use.
	Arrivals struct {
		mu    sync.Mutex
		first map[string]time.Time
		keys  []string
		next  int
	}

	// ArrivalsOption sets an option of arrivals.
	ArrivalsOption func(a *Arrivals)
)

// NewArrivals returns an empty memory of keys.
func NewArrivals(opts ...ArrivalsOption) *Arrivals {
	a := &Arrivals{first: make(map[string]time.Time), keys: make([]string, 0, defaultArrivals)}
	for _, opt := range opts {
		opt(a)
	}
	return a
}

// WithKeys bounds the number of keys that are remembered.
func WithKeys(keys int) ArrivalsOption {
	return func(a *Arrivals) { a.keys = make([]string, 0, keys) }
}

// First returns when a key came first, and whether it comes again.
func (a *Arrivals) First(key string, now time.Time) (first time.Time, again bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if first, found := a.first[key]; found {
		return first, true
	}
	a.first[key] = now
	if len(a.keys) < cap(a.keys) {
		a.keys = append(a.keys, key)
		return now, false
	}
	delete(a.first, a.keys[a.next])
	a.keys[a.next] = key
	a.next = (a.next + 1) % len(a.keys)
	return now, false
}
