// Package decode chooses the engine that generates an answer, accounts for an engine's memory and limits the number
// of its concurrent streams.
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
	// MemoryOption configures a Memory.
	MemoryOption func(m *Memory)

	// Memory accounts for the pieces of one engine's memory. A piece holds the KV cache of a fixed number of
	// tokens. It is safe for concurrent use.
	Memory struct {
		mu sync.Mutex
		// pieces is the total number of pieces.
		pieces      int
		pieceTokens int
		// growthPieces is the number of pieces that new reservations leave free for running streams.
		growthPieces int
		retryAfter   time.Duration
		// limit is the maximum number of grants. Zero means no limit.
		limit int
		// used is the number of granted pieces.
		used int
		// running is the number of started grants.
		running int
		// grants holds the grants by attempt.
		grants map[string]*grant
	}

	// grant is the memory of one attempt.
	grant struct {
		pieces  int
		started bool
		// expires is when a grant that has not started is released.
		expires time.Time
	}
)

// NewMemory returns the memory of an engine, all of it free: a number of pieces for pieceTokens tokens each.
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

// WithGrowthPieces sets how many pieces are kept free for the growth of running streams. The default is 2.
func WithGrowthPieces(pieces int) MemoryOption {
	return func(m *Memory) { m.growthPieces = pieces }
}

// WithRetryAfter sets the retry delay in the refusals of reservations. The default is 50 ms.
func WithRetryAfter(after time.Duration) MemoryOption {
	return func(m *Memory) { m.retryAfter = after }
}

// SetLimit sets the maximum number of attempts, reserved or running. Zero removes the limit.
func (m *Memory) SetLimit(limit int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.limit = limit
}

// Reserve reserves the pieces for a prompt and its first output token until Start, for at most hold. A second
// reservation of an attempt only renews the hold. Output beyond the first token is reserved by Grow. A request
// whose prompt and maxOutput tokens exceed the engine's memory is refused without a retry delay.
func (m *Memory) Reserve(attempt string, promptTokens, maxOutput int, hold time.Duration, now time.Time) *refusal.Refusal {
	m.mu.Lock()
	defer m.mu.Unlock()
	if g, found := m.grants[attempt]; found {
		g.expires = now.Add(hold)
		return nil
	}
	if m.piecesFor(promptTokens+maxOutput) > m.pieces {
		return refusal.New(refusal.RanNo, refusal.Overloaded, 0, "the request needs more memory than the engine has")
	}
	need := m.piecesFor(promptTokens + 1)
	if m.used+need > m.pieces-m.growthReserve() {
		return refusal.New(refusal.RanNo, refusal.Overloaded, m.retryAfter, "no free memory")
	}
	if m.limit > 0 && len(m.grants) >= m.limit {
		return refusal.New(refusal.RanNo, refusal.Overloaded, m.retryAfter, "too many streams for the time between tokens")
	}
	m.grants[attempt] = &grant{pieces: need, expires: now.Add(hold)}
	m.used += need
	return nil
}

// Start turns a reservation into a running stream. It returns a refusal when there is no valid reservation or the
// stream is running already.
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

// Grow extends an attempt's memory to a total number of tokens. It returns false when there are too few free pieces
// or the attempt holds no memory.
func (m *Memory) Grow(attempt string, tokens int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	g, found := m.grants[attempt]
	if !found {
		return false
	}
	more := m.piecesFor(tokens) - g.pieces
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

// Release releases the memory of an attempt and reports whether it held any.
func (m *Memory) Release(attempt string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	g, found := m.grants[attempt]
	if found {
		m.release(attempt, g)
	}
	return found
}

// ExpireHolds releases the reservations that have expired before Start and returns their attempts in order.
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

// FreePieces returns the number of pieces that new attempts may reserve.
func (m *Memory) FreePieces() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(0, m.pieces-m.used-m.growthReserve())
}

// TotalPieces returns the total number of pieces.
func (m *Memory) TotalPieces() int {
	return m.pieces
}

// PieceTokens returns the size of a piece, in tokens.
func (m *Memory) PieceTokens() int {
	return m.pieceTokens
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

// piecesFor returns the number of pieces that hold a number of tokens, at least 1.
func (m *Memory) piecesFor(tokens int) int {
	return max(1, (tokens+m.pieceTokens-1)/m.pieceTokens)
}

// growthReserve returns the number of pieces to keep free for growth, at most one for each attempt.
func (m *Memory) growthReserve() int {
	return min(m.growthPieces, len(m.grants))
}

func (m *Memory) release(attempt string, g *grant) {
	delete(m.grants, attempt)
	m.used -= g.pieces
	if g.started {
		m.running--
	}
}
