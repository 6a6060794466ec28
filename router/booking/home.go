package booking

import (
	"sync"
	"sync/atomic"
	"time"

	"gooseberrypin.example/router/configuration"
	"gooseberrypin.example/router/refusal"
)

const (
	// ClockBound is the assumed maximum difference between the clocks of two VMs.
	ClockBound = 500 * time.Millisecond

	defaultMaxRecords     = 20_000
	defaultMaxResultBytes = 8 << 20
	defaultPauseThreshold = time.Second
	unsettledRetryAfter   = 200 * time.Millisecond
	leavingRetryAfter     = 100 * time.Millisecond
	tableFullRetryAfter   = 5 * time.Second
)

type (
	// Home decides which keys run on one sidecar and stores their records.
	Home struct {
		self           Member
		pauseThreshold time.Duration
		table          *table
		naive          bool

		// latestNanos is the latest time seen, in Unix nanoseconds. Decisions use no earlier
		// time, so that an expired key stays expired when the clock is set back.
		latestNanos atomic.Int64
		// lastTickNanos is the time of the last tick, in Unix nanoseconds, or 0 before the first one.
		lastTickNanos atomic.Int64

		// expiredBeforeNanos is the key creation time before which records were removed, in Unix nanoseconds.
		expiredBeforeNanos atomic.Int64

		mu      sync.RWMutex
		horizon time.Duration
		skew    time.Duration
		// maxSkew is the largest clock skew that any adopted configuration allowed.
		maxSkew  time.Duration
		revision int64
		// maxPeerRevision is the highest revision that another sidecar has reported.
		maxPeerRevision int64
		// pauses counts the detected pauses of the process.
		pauses int64
		pools  map[string]*pool
		peers  map[string]*peer
		// listed contains the VMs of the platform's newest list. It is nil before the first list.
		listed      map[string]bool
		listVersion int64
		leaving     bool
		draining    bool

		running runCounter
	}

	// Option configures a Home.
	Option func(*Home)

	// runCounter counts the runs in progress by the revision that granted them.
	runCounter struct {
		mu     sync.Mutex
		counts map[int64]int
	}
)

// WithMaxRecords limits the number of records.
func WithMaxRecords(n int64) Option {
	return func(h *Home) { h.table.maxRecords = n }
}

// WithMaxResultBytes sets the total size of stored results, in bytes, at which the table is full.
func WithMaxResultBytes(n int64) Option {
	return func(h *Home) { h.table.maxResultBytes = n }
}

// WithPauseThreshold sets the interval between ticks above which the process counts as paused.
func WithPauseThreshold(d time.Duration) Option {
	return func(h *Home) { h.pauseThreshold = d }
}

// WithNaive grants every call and stores no records, for differential tests.
func WithNaive() Option {
	return func(h *Home) { h.naive = true }
}

// NewHome returns a Home that grants no run until it has adopted a configuration and settled.
func NewHome(self Member, options ...Option) *Home {
	h := &Home{
		self:           self,
		pauseThreshold: defaultPauseThreshold,
		table:          newTable(defaultMaxRecords, defaultMaxResultBytes),
		horizon:        new(configuration.Limits).KeyHorizon(),
		skew:           new(configuration.Limits).ClockSkew(),
		pools:          make(map[string]*pool),
		peers:          make(map[string]*peer),
		running:        runCounter{counts: make(map[int64]int)},
	}
	for _, o := range options {
		o(h)
	}
	return h
}

// Begin decides on an attempt. Granted must be followed by Complete, MarkUnknown or Withdraw.
func (h *Home) Begin(c Call, now time.Time) Outcome {
	now = h.Tick(now)
	h.mu.RLock()
	defer h.mu.RUnlock()
	s := h.table.shard(c.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if h.naive {
		return Granted{Revision: h.revision}
	}
	if e, found := s.entries[c.Key]; found {
		return e.outcome(c)
	}
	if r := h.refuse(c, now); r != nil {
		return Refused{Refusal: r}
	}
	if !h.table.reserve() {
		return Refused{Refusal: refusal.New(refusal.RanNo, refusal.TableFull, tableFullRetryAfter, "the table of records is full")}
	}
	h.table.insert(s, newEntry(c, Intent, make(chan struct{})))
	h.running.add(h.revision)
	return Granted{Revision: h.revision}
}

// Complete stores the result of a granted run.
func (h *Home) Complete(c Call, g Granted, r Result) {
	h.finishRun(c, g, func(_ *shard, e *entry) {
		e.State = Done
		h.table.setResult(e, r)
	})
}

// MarkUnknown records that it is unknown whether a granted call ran.
func (h *Home) MarkUnknown(c Call, g Granted) {
	h.finishRun(c, g, func(_ *shard, e *entry) { e.State = Unknown })
}

// Withdraw removes the record of a granted call that was not sent to the service.
func (h *Home) Withdraw(c Call, g Granted) {
	h.finishRun(c, g, h.table.remove)
}

// Tombstone prevents a key from running in the future. If the key has a record already,
// Tombstone returns that record's outcome and changes nothing. It fails with RanUnknown if
// this sidecar cannot decide on the key or the table is full.
func (h *Home) Tombstone(c Call, now time.Time) Outcome {
	now = h.Tick(now)
	h.mu.RLock()
	defer h.mu.RUnlock()
	s := h.table.shard(c.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, found := s.entries[c.Key]; found {
		return e.outcome(c)
	}
	if h.naive {
		return Refused{Refusal: refusal.New(refusal.RanNo, refusal.Tombstoned, 0, "the answer was lost")}
	}
	if !h.owns(c, now) || h.draining {
		return Refused{Refusal: h.refuseUncovered(c)}
	}
	if !h.table.reserve() {
		return Refused{Refusal: refusal.New(refusal.RanUnknown, refusal.TableFull, 0, "the table of records is full")}
	}
	e := newEntry(c, Tombstone, nil)
	h.table.insert(s, e)
	return e.outcome(c)
}

// Expire removes the records of keys that are older than the horizon and returns their number.
func (h *Home) Expire(now time.Time) int {
	now = h.Tick(now)
	h.mu.RLock()
	horizon := h.horizon
	h.mu.RUnlock()
	before := now.Add(-horizon)
	h.expiredBeforeNanos.Store(max(h.expiredBeforeNanos.Load(), before.UnixNano()))
	return h.table.expire(before)
}

// Running returns the number of granted runs in progress.
func (h *Home) Running() int {
	return h.running.countBelow(maxRevision)
}

// finishRun applies the final change to the entry of a granted run and wakes its waiters.
func (h *Home) finishRun(c Call, g Granted, change func(*shard, *entry)) {
	if h.naive {
		return
	}
	s := h.table.shard(c.Key)
	s.mu.Lock()
	if e, found := s.entries[c.Key]; found && e.done != nil {
		done := e.done
		e.done = nil
		change(s, e)
		close(done)
	}
	s.mu.Unlock()
	h.running.remove(g.Revision)
}

func newEntry(c Call, state State, done chan struct{}) *entry {
	return &entry{
		Record: Record{Key: c.Key, Created: c.Created, ContentDigest: c.ContentDigest, Pool: c.Pool, State: state},
		done:   done,
	}
}

// outcome returns the outcome of an attempt on a key that has a record.
func (e *entry) outcome(c Call) Outcome {
	if c.ContentDigest != e.ContentDigest {
		return Refused{Refusal: refusal.New(refusal.RanNo, refusal.KeyReused, 0, "the key was used for other content")}
	}
	if e.done != nil {
		return Joined{Done: e.done}
	}
	switch e.State {
	case Done:
		return Completed{Result: e.Result}
	case Tombstone:
		return Refused{Refusal: refusal.New(refusal.RanNo, refusal.Tombstoned, 0, "the key was given up and never runs")}
	case Intent, Unknown:
	}
	return Refused{Refusal: refusal.New(refusal.RanUnknown, refusal.UpstreamLost, 0, "the service was lost during the call")}
}

func (r *runCounter) add(revision int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[revision]++
}

func (r *runCounter) remove(revision int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[revision]--
	if r.counts[revision] == 0 {
		delete(r.counts, revision)
	}
}

// countBelow returns the number of runs granted under revisions older than the given one.
func (r *runCounter) countBelow(revision int64) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	total := 0
	for granted, n := range r.counts {
		if granted < revision {
			total += n
		}
	}
	return total
}
