// Package decode decides where an answer is generated, and guards an engine's memory and pace.
package decode

import (
	"slices"
	"sync"
	"time"

	"gooseberrypin.example/router/refusal"
)

const (
	defaultGrowthPieces = 2
	defaultRetryAfter   = 50 * time.Millisecond
)

type (
	// MemoryOption sets an option of a memory.
	MemoryOption func(m *Memory)

	// Memory accounts for the pieces of one engine's memory. It is safe for concurrent use.
	Memory struct {
		mu           sync.Mutex
		pieces       int
		pieceTokens  int
		growthPieces int
		retryAfter   time.Duration
		limit        int
		used         int
		running      int
		grants       map[string]*grant
	}

	grant struct {
		pieces  int
		started bool
		expires time.Time
	}
)

// NewMemory returns the free memory of an engine.
func NewMemory(pieces, pieceTokens int, opts ...MemoryOption) *Memory {
	m := &Memory{
		pieces:       pieces,
		pieceTokens:  pieceTokens,
		growthPieces: defaultGrowthPieces,
		retryAfter:   defaultRetryAfter,
		grants:       make(map[string]*grant),
	}
	for _, opt := range opts {
		opt(m)
	}
	return m
}

// WithGrowthPieces sets how many pieces are kept free for running streams to grow.
func WithGrowthPieces(pieces int) MemoryOption {
	return func(m *Memory) { m.growthPieces = pieces }
}

// WithRetryAfter sets the time to come back of a refused reservation.
func WithRetryAfter(after time.Duration) MemoryOption {
	return func(m *Memory) { m.retryAfter = after }
}

// SetLimit bounds the number of attempts, reserved or running. Zero removes the bound.
func (m *Memory) SetLimit(limit int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.limit = limit
}

// Reserve holds the pieces of a prompt and its first output until Start, at most for hold.
// The output grows piece by piece; maxOutput bounds what an attempt can ever need.
func (m *Memory) Reserve(attempt string, promptTokens, maxOutput int, hold time.Duration, now time.Time) *refusal.Refusal {
	m.mu.Lock()
	defer m.mu.Unlock()
	if g, found := m.grants[attempt]; found {
		g.expires = now.Add(hold)
		return nil
	}
	if m.need(promptTokens+maxOutput) > m.pieces {
		return refusal.New(refusal.RanNo, refusal.Overloaded, 0, "the request needs more memory than the engine has")
	}
	need := m.need(promptTokens + 1)
	if m.used+need > m.pieces-m.reserve() {
		return refusal.New(refusal.RanNo, refusal.Overloaded, m.retryAfter, "no free memory")
	}
	if m.limit > 0 && len(m.grants) >= m.limit {
		return refusal.New(refusal.RanNo, refusal.Overloaded, m.retryAfter, "too many streams for the time between tokens")
	}
	m.grants[attempt] = &grant{pieces: need, expires: now.Add(hold)}
	m.used += need
	return nil
}

// Start turns a reservation into a running stream.
func (m *Memory) Start(attempt string, now time.Time) *refusal.Refusal {
	m.mu.Lock()
	defer m.mu.Unlock()
	g, found := m.grants[attempt]
	if !found {
		return refusal.New(refusal.RanNo, refusal.StaleAttempt, m.retryAfter, "no reservation")
	}
	if g.started {
		return refusal.New(refusal.RanNo, refusal.InProgress, 0, "already running")
	}
	if now.After(g.expires) {
		m.release(attempt, g)
		return refusal.New(refusal.RanNo, refusal.StaleAttempt, m.retryAfter, "the reservation ran out")
	}
	g.started = true
	m.running++
	return nil
}

// Grow makes room for a stream of tokens in all. It returns false when no piece is free.
func (m *Memory) Grow(attempt string, tokens int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	g, found := m.grants[attempt]
	if !found {
		return false
	}
	more := m.need(tokens) - g.pieces
	if more <= 0 {
		return true
	}
	if m.used+more > m.pieces {
		return false
	}
	g.pieces += more
	m.used += more
	return true
}

// Release gives back what an attempt holds, and tells whether it held anything.
func (m *Memory) Release(attempt string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	g, found := m.grants[attempt]
	if found {
		m.release(attempt, g)
	}
	return found
}

// ExpireHolds gives back the reservations that ran out, and returns their attempts.
func (m *Memory) ExpireHolds(now time.Time) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var expired []string
	for attempt, g := range m.grants {
		if !g.started && now.After(g.expires) {
			m.release(attempt, g)
			expired = append(expired, attempt)
		}
	}
	slices.Sort(expired)
	return expired
}

// FreePieces returns the pieces that new attempts may reserve.
func (m *Memory) FreePieces() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(0, m.pieces-m.used-m.reserve())
}

// TotalPieces returns all pieces.
func (m *Memory) TotalPieces() int {
	return m.pieces
}

// Running returns the number of running streams.
func (m *Memory) Running() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.running
}

// HeldAttempts returns the number of attempts, reserved or running.
func (m *Memory) HeldAttempts() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.grants)
}

func (m *Memory) need(tokens int) int {
	return max(1, (tokens+m.pieceTokens-1)/m.pieceTokens)
}

// reserve is what is kept free for growth, while anything runs that may grow.
func (m *Memory) reserve() int {
	return min(m.growthPieces, len(m.grants))
}

func (m *Memory) release(attempt string, g *grant) {
	delete(m.grants, attempt)
	m.used -= g.pieces
	if g.started {
		m.running--
	}
}
