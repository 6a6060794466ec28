// Package transfer schedules KV cache transfers on a link, the most urgent first.
package transfer

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	defaultMaxConcurrent = 1
	defaultStallAfter    = 50 * time.Millisecond
	// rateSmoothing is the weight of a new measurement in the smoothed rate (EWMA).
	rateSmoothing = 0.1
)

type (
	// Transfer is the transfer of one KV cache.
	Transfer struct {
		// Attempt identifies the transfer on its link.
		Attempt string
		Bytes   int64
		// Deadline is when the first token is due.
		Deadline time.Time
		// Expires is when the source drops the KV cache.
		Expires time.Time
	}

	// Option configures a Link.
	Option func(l *Link)

	// Link queues transfers and lets a limited number of them run at once, the most urgent first. It is safe
	// for concurrent use.
	Link struct {
		mu sync.Mutex
		// bytesPerSecond is the smoothed rate of one transfer.
		bytesPerSecond float64
		maxConcurrent  int
		stallAfter     time.Duration
		waiting        map[string]Transfer
		active         map[string]*active
	}

	active struct {
		transfer Transfer
		// moved is the number of bytes moved so far.
		moved int64
		// progressed is when moved last rose, or the start.
		progressed time.Time
	}
)

// NewLink returns an idle link with an initial estimate of its rate.
func NewLink(bytesPerSecond float64, opts ...Option) *Link {
	l := &Link{
		bytesPerSecond: bytesPerSecond,
		maxConcurrent:  defaultMaxConcurrent,
		stallAfter:     defaultStallAfter,
		waiting:        make(map[string]Transfer),
		active:         make(map[string]*active),
	}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// WithMaxConcurrent sets how many transfers may run at once. The default is 1.
func WithMaxConcurrent(transfers int) Option {
	return func(l *Link) { l.maxConcurrent = transfers }
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

// Next starts and returns the most urgent transfer. It returns false when none is waiting or as many as allowed
// are running.
func (l *Link) Next(now time.Time) (Transfer, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.active) >= l.maxConcurrent {
		return Transfer{}, false
	}
	var best Transfer
	found := false
	for _, t := range l.waiting {
		if !found || l.moreUrgent(t, best) {
			best, found = t, true
		}
	}
	if found {
		delete(l.waiting, best.Attempt)
		l.active[best.Attempt] = &active{transfer: best, progressed: now}
	}
	return best, found
}

// Expired removes and returns the waiting transfers that, by the predicted duration, can't be completed before their KV
// cache expires.
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

// Progress records the total number of bytes that a running transfer has moved.
func (l *Link) Progress(attempt string, moved int64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, found := l.active[attempt]
	if found && moved > a.moved {
		a.moved = moved
		a.progressed = now
	}
}

// Stalled returns the running transfers without progress for at least the stall time.
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

// Done removes a completed transfer and updates the link's rate from its duration.
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
		l.bytesPerSecond += rateSmoothing * (rate - l.bytesPerSecond)
	}
}

// Remove removes a waiting or running transfer, and reports whether there was one.
func (l *Link) Remove(attempt string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, queued := l.waiting[attempt]
	_, running := l.active[attempt]
	delete(l.waiting, attempt)
	delete(l.active, attempt)
	return queued || running
}

// Delay returns the predicted time until a new transfer of the given size would be complete.
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

// duration returns the predicted time that a transfer of the given size takes.
func (l *Link) duration(bytes int64) time.Duration {
	return time.Duration(float64(bytes) / l.bytesPerSecond * float64(time.Second))
}

// moreUrgent reports whether a must start before b to meet its deadline.
func (l *Link) moreUrgent(a, b Transfer) bool {
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
