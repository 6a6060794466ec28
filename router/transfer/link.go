// Package transfer gives the KV cache transfers on a link their turns by deadline.
package transfer

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	defaultTurns      = 1
	defaultStallAfter = 50 * time.Millisecond
	rateWeight        = 0.1
)

type (
	// Transfer is a KV cache to be moved.
	Transfer struct {
		Attempt string
		Bytes   int64
		// Deadline is when the first token is due.
		Deadline time.Time
		// Expires is when the source drops the KV cache.
		Expires time.Time
	}

	// Option sets an option of a link.
	Option func(l *Link)

	// Link lets a bounded number of transfers run at once, the most urgent first. It is safe for concurrent use.
	Link struct {
		mu             sync.Mutex
		bytesPerSecond float64
		turns          int
		stallAfter     time.Duration
		waiting        map[string]Transfer
		active         map[string]*active
	}

	active struct {
		transfer   Transfer
		moved      int64
		progressed time.Time
	}
)

// NewLink returns an idle link of an expected rate.
func NewLink(bytesPerSecond float64, opts ...Option) *Link {
	l := &Link{
		bytesPerSecond: bytesPerSecond,
		turns:          defaultTurns,
		stallAfter:     defaultStallAfter,
		waiting:        make(map[string]Transfer),
		active:         make(map[string]*active),
	}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// WithMaxConcurrent sets how many transfers run at once.
func WithMaxConcurrent(turns int) Option {
	return func(l *Link) { l.turns = turns }
}

// WithStallAfter sets the time without progress after which a transfer counts as stalled.
func WithStallAfter(after time.Duration) Option {
	return func(l *Link) { l.stallAfter = after }
}

// Push queues a transfer.
func (l *Link) Push(t Transfer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting[t.Attempt] = t
}

// Next starts and returns the most urgent transfer, or false while no turn is free.
func (l *Link) Next(now time.Time) (Transfer, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.active) >= l.turns {
		return Transfer{}, false
	}
	var best Transfer
	found := false
	for _, t := range l.waiting {
		if !found || l.before(t, best) {
			best, found = t, true
		}
	}
	if found {
		delete(l.waiting, best.Attempt)
		l.active[best.Attempt] = &active{transfer: best, progressed: now}
	}
	return best, found
}

// Expired removes and returns the waiting transfers that can't end before their KV cache expires.
func (l *Link) Expired(now time.Time) []Transfer {
	l.mu.Lock()
	defer l.mu.Unlock()
	var expired []Transfer
	for attempt, t := range l.waiting {
		if now.Add(l.duration(t.Bytes)).After(t.Expires) {
			expired = append(expired, t)
			delete(l.waiting, attempt)
		}
	}
	slices.SortFunc(expired, byAttempt)
	return expired
}

// Progress records the bytes moved in all.
func (l *Link) Progress(attempt string, moved int64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, found := l.active[attempt]
	if found && moved > a.moved {
		a.moved = moved
		a.progressed = now
	}
}

// Stalled returns the running transfers without progress for too long.
func (l *Link) Stalled(now time.Time) []Transfer {
	l.mu.Lock()
	defer l.mu.Unlock()
	var stalled []Transfer
	for _, a := range l.active {
		if now.Sub(a.progressed) >= l.stallAfter {
			stalled = append(stalled, a.transfer)
		}
	}
	slices.SortFunc(stalled, byAttempt)
	return stalled
}

// Done ends a transfer's turn and learns the link's rate from it.
func (l *Link) Done(attempt string, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, found := l.active[attempt]
	if !found {
		return
	}
	delete(l.active, attempt)
	if took > 0 && a.transfer.Bytes > 0 {
		rate := float64(a.transfer.Bytes) / took.Seconds()
		l.bytesPerSecond += rateWeight * (rate - l.bytesPerSecond)
	}
}

// Remove drops a transfer, waiting or running, and tells whether there was one.
func (l *Link) Remove(attempt string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, queued := l.waiting[attempt]
	_, running := l.active[attempt]
	delete(l.waiting, attempt)
	delete(l.active, attempt)
	return queued || running
}

// Delay is the predicted time until a new transfer of the given size would end.
func (l *Link) Delay(bytes int64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	total := bytes
	for _, t := range l.waiting {
		total += t.Bytes
	}
	for _, a := range l.active {
		total += a.transfer.Bytes - a.moved
	}
	return l.duration(total)
}

func (l *Link) duration(bytes int64) time.Duration {
	return time.Duration(float64(bytes) / l.bytesPerSecond * float64(time.Second))
}

// before orders by the latest time at which a transfer must start.
func (l *Link) before(a, b Transfer) bool {
	x := a.Deadline.Add(-l.duration(a.Bytes))
	y := b.Deadline.Add(-l.duration(b.Bytes))
	if x.Equal(y) {
		return a.Attempt < b.Attempt
	}
	return x.Before(y)
}

func byAttempt(a, b Transfer) int {
	return cmp.Compare(a.Attempt, b.Attempt)
}
