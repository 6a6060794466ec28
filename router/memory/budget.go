// Package memory divides the bytes that a process may hold for its clients: request bodies, request heads, buffered answers
// and connections. It addresses the load of untrusted clients, which together send or leave unread more than
// the process has memory for. A consumer takes bytes before it buffers anything.
package memory

import (
	"container/list"
	"context"
	"sync"
	"time"
)

const (
	// SmallBytes is the size up to which an allocation may use the reserve. Ordinary requests stay below it.
	SmallBytes = 48 << 10
	// reserveDivisor is the part of the budget that only small allocations may use, so that ordinary requests are served
	// beside large ones that hold all the rest.
	reserveDivisor = 8
	// minBytesPerS is the rate at which a client has to send its request, and to read its answer, on average. The largest
	// body would take 17 minutes at that rate, far longer than any request may take.
	minBytesPerS = 4 << 10
	// evictionLag is how far a client must be behind that rate before its allocation is evicted in favour of another one.
	// It exceeds the pauses of a client that is briefly without processor time or network.
	evictionLag = 2 * time.Second
	// StallTimeout is how far a client may be behind that rate while memory suffices.
	StallTimeout = 10 * time.Second
)

type (
	// Budget is a number of bytes that its allocations share. It is safe for concurrent use.
	Budget struct {
		limit int64

		mu      sync.Mutex
		used    int64
		peak    int64
		waiting list.List
		// evictable holds the allocations that depend on a client's progress.
		evictable map[*Allocation]bool
		evicted   int64
	}

	// Allocation is the memory of one request. Its methods are safe for concurrent use.
	Allocation struct {
		budget *Budget
		bytes  int64
		// request is the part of bytes that the request itself takes, once it is complete.
		request  int64
		complete bool
		// evict ends the wait for the client.
		evict func()
		// caughtUp is when a client that sends or reads at the minimum rate would have made the progress of this one.
		caughtUp time.Time
		evicted  bool
		released bool
	}

	// waiter waits for a number of bytes.
	waiter struct {
		allocation *Allocation
		bytes      int64
		granted    chan struct{}
	}

	// Usage is the state of a budget.
	Usage struct {
		Limit int64 `json:"limit_bytes"`
		Used  int64 `json:"used_bytes"`
		// Peak is the largest value of Used so far.
		Peak int64 `json:"peak_bytes"`
		// Waiting is the number of requests that wait for memory.
		Waiting int `json:"waiting"`
		// Evicted is the number of requests that were given up because their clients made no progress while others waited.
		Evicted int64 `json:"evicted"`
	}
)

// NewBudget returns a budget of a number of bytes.
func NewBudget(limit int64) *Budget {
	return &Budget{limit: limit, evictable: make(map[*Allocation]bool)}
}

// Usage returns the current state.
func (b *Budget) Usage() Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Usage{Limit: b.limit, Used: b.used, Peak: b.peak, Waiting: b.waiting.Len(), Evicted: b.evicted}
}

// Charge takes bytes whether or not they are left. It is for consumers whose number is bounded elsewhere, such as
// connections.
func (b *Budget) Charge(bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.use(bytes)
}

// Discharge returns bytes that Charge took.
func (b *Budget) Discharge(bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.free(bytes)
}

// NewAllocation returns an empty allocation. The function evict is called at most once, and must not block or call methods of
// the budget: it ends the wait for a client that makes no progress while others wait for memory.
func (b *Budget) NewAllocation(evict func()) *Allocation {
	return &Allocation{budget: b, evict: evict}
}

// EvictSlowest evicts the allocation whose client is furthest behind, and reports whether there is one that is far enough
// behind.
func (b *Budget) EvictSlowest(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.evictSlowest(now) > 0
}

// evictSlowest evicts an allocation and returns its size, or 0 if no client is far enough behind.
func (b *Budget) evictSlowest(now time.Time) int64 {
	var slowest *Allocation
	for a := range b.evictable {
		if now.Sub(a.caughtUp) >= evictionLag && a.bytes > 0 && (slowest == nil || a.caughtUp.Before(slowest.caughtUp)) {
			slowest = a
		}
	}
	if slowest == nil {
		return 0
	}
	delete(b.evictable, slowest)
	slowest.evicted = true
	b.evicted++
	slowest.evict()
	return slowest.bytes
}

// small reports whether an allocation that grows by a number of bytes may use the reserve. The answer to a large request counts
// by its own size.
func (a *Allocation) small(bytes int64) bool {
	return a.bytes-a.request+bytes <= SmallBytes
}

// limitFor returns the limit on the used bytes for an allocation that grows by a number of bytes.
func (b *Budget) limitFor(a *Allocation, bytes int64) int64 {
	if a.small(bytes) {
		return b.limit
	}
	return b.limit - b.limit/reserveDivisor
}

// fits reports whether an allocation may grow by a number of bytes.
func (b *Budget) fits(a *Allocation, bytes int64) bool {
	return b.used+bytes <= b.limitFor(a, bytes)
}

func (b *Budget) use(bytes int64) {
	b.used += bytes
	b.peak = max(b.peak, b.used)
}

// free returns bytes and grants them to those who wait, in the order of their arrival.
func (b *Budget) free(bytes int64) {
	b.used -= bytes
	for e := b.waiting.Front(); e != nil; e = b.waiting.Front() {
		w := e.Value.(*waiter)
		if !w.allocation.released && !b.fits(w.allocation, w.bytes) {
			return
		}
		b.waiting.Remove(e)
		if !w.allocation.released {
			w.allocation.bytes += w.bytes
			b.use(w.bytes)
			close(w.granted)
		}
	}
}

// Grow takes bytes, or returns false if they are not left. A large request does not overtake those that wait.
func (a *Allocation) Grow(bytes int64) bool {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	return a.grow(bytes)
}

func (a *Allocation) grow(bytes int64) bool {
	b := a.budget
	queued := b.waiting.Len() > 0 && !a.small(bytes) && !a.complete
	if a.released || queued || !b.fits(a, bytes) {
		return false
	}
	a.bytes += bytes
	b.use(bytes)
	return true
}

// GrowWithin takes bytes, for which it waits until patience has passed or ctx is done. It returns false if they were not
// left by then. Those who wait are served in the order of their arrival, and clients without progress are evicted for them.
func (a *Allocation) GrowWithin(ctx context.Context, bytes int64, patience time.Duration) bool {
	b := a.budget
	b.mu.Lock()
	if a.grow(bytes) {
		b.mu.Unlock()
		return true
	}
	if a.released || bytes > b.limitFor(a, bytes) {
		b.mu.Unlock()
		return false
	}
	missing := b.used + bytes - b.limitFor(a, bytes)
	for now := time.Now(); missing > 0; {
		evicted := b.evictSlowest(now)
		if evicted == 0 {
			break
		}
		missing -= evicted
	}
	if patience <= 0 {
		b.mu.Unlock()
		return false
	}
	w := &waiter{allocation: a, bytes: bytes, granted: make(chan struct{})}
	e := b.enqueue(w)
	b.mu.Unlock()
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case <-w.granted:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case <-w.granted:
		return true
	default:
	}
	b.waiting.Remove(e)
	// The next one may need less.
	b.free(0)
	return false
}

// enqueue adds a waiter. The answer to a request that may have run comes before requests.
func (b *Budget) enqueue(w *waiter) *list.Element {
	if w.allocation.complete {
		return b.waiting.PushFront(w)
	}
	return b.waiting.PushBack(w)
}

// CompleteRequest says that the request is complete. What the allocation takes from now on is for the answer.
func (a *Allocation) CompleteRequest() {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	a.request, a.complete = a.bytes, true
}

// Shrink returns some of the bytes.
func (a *Allocation) Shrink(bytes int64) {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if !a.released {
		a.bytes -= bytes
		b.free(bytes)
	}
}

// Release returns all bytes. The allocation can't grow any more.
func (a *Allocation) Release() {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.released {
		return
	}
	a.released = true
	delete(b.evictable, a)
	b.free(a.bytes)
	a.bytes = 0
}

// Await says that the request depends on the client's progress from now on.
func (a *Allocation) Await(now time.Time) {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if !a.released && !a.evicted {
		a.caughtUp = now
		b.evictable[a] = true
	}
}

// Progress records that the client has sent or read bytes.
func (a *Allocation) Progress(bytes int64, now time.Time) {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	a.caughtUp = a.caughtUp.Add(time.Duration(bytes) * time.Second / minBytesPerS)
	if a.caughtUp.After(now) {
		a.caughtUp = now
	}
}

// StallsAt returns when the client will be StallTimeout behind, unless it makes progress.
func (a *Allocation) StallsAt() time.Time {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	return a.caughtUp.Add(StallTimeout)
}

// Settle says that the request no longer depends on the client's progress. It reports false if the allocation was evicted.
func (a *Allocation) Settle() bool {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.evictable, a)
	return !a.evicted
}

// Evicted reports whether the allocation was evicted.
func (a *Allocation) Evicted() bool {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	return a.evicted
}
