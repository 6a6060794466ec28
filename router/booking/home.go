package booking

import (
	"sync"
	"sync/atomic"
	"time"

	"gooseberrypin.example/router/refusal"
)

const (
	// ClockBound is the assumed difference between the clocks of two VMs.
	ClockBound = 500 * time.Millisecond

	defaultHorizon    = 600 * time.Second
	defaultSkew       = 2 * time.Second
	defaultMaxRecords = 20_000
	defaultMaxBytes   = 8 << 20
	defaultPause      = time.Second
	unsettledRetry    = 200 * time.Millisecond
	leavingRetry      = 100 * time.Millisecond
	fullRetry         = 5 * time.Second
)

type (
	// Home decides for one sidecar which keys run here, and keeps their records.
	Home struct {
		self  Member
		pause time.Duration
		table *table
		naive bool

		// newest is the latest time seen, in Unix nanoseconds; freshness never goes back.
		newest atomic.Int64
		// ticked is the time of the last tick, in Unix nanoseconds.
		ticked atomic.Int64

		// forgotten is the creation time up to which records were forgotten, in Unix nanoseconds.
		forgotten atomic.Int64

		mu      sync.RWMutex
		horizon time.Duration
		skew    time.Duration
		// widest is the widest skew that was ever allowed here.
		widest   time.Duration
		revision int64
		// ahead is the highest revision that another sidecar was heard to act on.
		ahead int64
		// doubts counts the pauses of the process.
		doubts int64
		pools  map[string]*pool
		peers  map[string]*peer
		// listed are the VMs of the platform's newest list; nil before the first one.
		listed      map[string]bool
		listVersion int64
		leaving     bool
		draining    bool

		running running
	}

	// Option changes a Home.
	Option func(*Home)

	// running counts runs by the revision that granted them.
	running struct {
		mu     sync.Mutex
		counts map[int64]int
	}
)

// WithMaxRecords bounds the number of records.
func WithMaxRecords(n int64) Option {
	return func(h *Home) { h.table.maxRecords = n }
}

// WithMaxResultBytes bounds the bytes of kept results.
func WithMaxResultBytes(n int64) Option {
	return func(h *Home) { h.table.maxBytes = n }
}

// WithPauseThreshold sets the gap between ticks that counts as a pause of the process.
func WithPauseThreshold(d time.Duration) Option {
	return func(h *Home) { h.pause = d }
}

// WithNaive runs every call that arrives, for differential tests.
func WithNaive() Option {
	return func(h *Home) { h.naive = true }
}

// NewHome returns a Home that runs nothing until it adopted a configuration and settled.
func NewHome(self Member, options ...Option) *Home {
	h := &Home{
		self:    self,
		pause:   defaultPause,
		table:   newTable(defaultMaxRecords, defaultMaxBytes),
		horizon: defaultHorizon,
		skew:    defaultSkew,
		pools:   make(map[string]*pool),
		peers:   make(map[string]*peer),
		running: running{counts: make(map[int64]int)},
	}
	for _, o := range options {
		o(h)
	}
	return h
}

// Begin decides on a try. Granted must be followed by Complete, Lose or Withdraw.
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
		return Refused{Refusal: refusal.New(refusal.RanNo, refusal.TableFull, fullRetry, "the table of records is full")}
	}
	h.table.insert(s, newEntry(c, Intent, make(chan struct{})))
	h.running.add(h.revision)
	return Granted{Revision: h.revision}
}

// Complete keeps the result of a granted run.
func (h *Home) Complete(c Call, g Granted, r Result) {
	h.end(c, g, func(_ *shard, e *entry) {
		e.State = Done
		h.table.setResult(e, r)
	})
}

// MarkUnknown records that nobody knows whether a granted run ran.
func (h *Home) MarkUnknown(c Call, g Granted) {
	h.end(c, g, func(_ *shard, e *entry) { e.State = Unknown })
}

// Withdraw forgets a granted run that was never sent.
func (h *Home) Withdraw(c Call, g Granted) {
	h.end(c, g, h.table.remove)
}

// Tombstone makes a key never run, unless it ran or runs already.
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
		return Refused{Refusal: h.undecided(c)}
	}
	if !h.table.reserve() {
		return Refused{Refusal: refusal.New(refusal.RanUnknown, refusal.TableFull, 0, "the table of records is full")}
	}
	e := newEntry(c, Tombstone, nil)
	h.table.insert(s, e)
	return e.outcome(c)
}

// Expire forgets records beyond the horizon, and returns their number.
func (h *Home) Expire(now time.Time) int {
	now = h.Tick(now)
	h.mu.RLock()
	horizon := h.horizon
	h.mu.RUnlock()
	before := now.Add(-horizon)
	h.forgotten.Store(max(h.forgotten.Load(), before.UnixNano()))
	return h.table.expire(before)
}

// Running returns the number of granted runs that have not ended.
func (h *Home) Running() int {
	return h.running.below(maxRevision)
}

// end takes the entry of a granted run through its last change.
func (h *Home) end(c Call, g Granted, change func(*shard, *entry)) {
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

// outcome answers a try of a key that has a record.
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

func (r *running) add(revision int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[revision]++
}

func (r *running) remove(revision int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[revision]--
	if r.counts[revision] == 0 {
		delete(r.counts, revision)
	}
}

func (r *running) below(revision int64) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	total := 0
	for at, n := range r.counts {
		if at < revision {
			total += n
		}
	}
	return total
}
