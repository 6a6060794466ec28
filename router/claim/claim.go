// Package claim records which entry keeps a request. The table stands at the key's
// home, so that two entries with different views can't both deliver an answer.
package claim

import (
	"sync"
	"time"

	"gooseberrypin.example/router/refusal"
	"gooseberrypin.example/router/rendezvous"
)

const (
	// Settled tells that the claim was still held and has ended.
	Settled Settlement = iota + 1
	// Lost tells that another entry holds the claim.
	Lost
	// Unknown tells that there is no record of the claim, or that nobody could be asked.
	Unknown

	// HomeCount is the number of upstreams that may hold a key's claim: the second one
	// keeps what a restart of the first one forgets.
	HomeCount = 2
	// Retention is how long a record is kept after its last use.
	Retention = 10 * time.Minute

	shardCount        = 16
	defaultCapacity   = 65_536
	tableFullRetry    = time.Second
	stateHeld         = state(1)
	stateAnswered     = state(2)
	evictionScanLimit = 64
)

type (
	// Settlement is how a claim ended.
	Settlement int

	// Request asks to keep a key.
	Request struct {
		KeyDigest     string
		ContentDigest string
		// Keeper identifies one run of an entry's process.
		Keeper        string
		KeeperAddress string
		// Unreachable is the keeper that could not be reached, if any.
		Unreachable string
	}

	// Outcome is Granted, Claimed, Held or Refused.
	//
	//sumtype:decl
	Outcome interface{ outcome() }

	// Granted makes the asking entry the keeper under an attempt number.
	Granted struct {
		Number uint64
		// Covered is how long the home has recorded claims: it may have forgotten older ones.
		Covered time.Duration
	}

	// Held names the entry that keeps the key.
	Held struct{ Keeper, KeeperAddress string }

	// Refused tells why nobody may keep the key now.
	Refused struct{ Refusal *refusal.Refusal }

	// Table holds the claims of one home in shards.
	Table struct {
		started   time.Time
		shards    [shardCount]shard
		capacity  int
		retention time.Duration
	}

	// Option changes a table's bounds.
	Option func(*Table)

	state int

	shard struct {
		mu      sync.Mutex
		records map[string]*record
	}

	record struct {
		contentDigest string
		keeper        string
		address       string
		number        uint64
		state         state
		touched       time.Time
	}
)

// NewTable returns an empty table.
func NewTable(options ...Option) *Table {
	t := &Table{started: time.Now(), capacity: defaultCapacity, retention: Retention}
	for i := range t.shards {
		t.shards[i].records = make(map[string]*record)
	}
	for _, o := range options {
		o(t)
	}
	return t
}

// WithCapacity bounds the number of records.
func WithCapacity(records int) Option {
	return func(t *Table) { t.capacity = records }
}

// WithStarted sets since when the table records claims.
func WithStarted(started time.Time) Option {
	return func(t *Table) { t.started = started }
}

// WithRetention sets how long a record is kept after its last use.
func WithRetention(horizon time.Duration) Option {
	return func(t *Table) { t.retention = horizon }
}

func (Granted) outcome() {}
func (Held) outcome()    {}
func (Refused) outcome() {}

// Claim makes the asking entry the keeper of a key, or names the one that is.
func (t *Table) Claim(q Request, now time.Time) Outcome {
	s := t.shard(q.KeyDigest)
	s.mu.Lock()
	defer s.mu.Unlock()
	r, found := s.records[q.KeyDigest]
	if !found || now.Sub(r.touched) > t.retention {
		return t.first(s, q, now)
	}
	if r.contentDigest != q.ContentDigest {
		return Refused{refusal.New(refusal.RanNo, refusal.KeyReused, 0, "the key was used for other content")}
	}
	r.touched = now
	mayTake := r.keeper == q.Keeper || r.keeper == q.Unreachable
	if !mayTake {
		return Held{Keeper: r.keeper, KeeperAddress: r.address}
	}
	if r.state == stateAnswered {
		return Refused{refusal.New(refusal.RanYes, refusal.AlreadyAnswered, 0, "the key's answer was delivered")}
	}
	r.keeper, r.address = q.Keeper, q.KeeperAddress
	r.number = nextNumber(r.number, now)
	return Granted{Number: r.number, Covered: now.Sub(t.started)}
}

// Settle ends a claim: answered makes it final, otherwise the key is free again.
func (t *Table) Settle(keyDigest, keeper string, number uint64, answered bool, now time.Time) Settlement {
	s := t.shard(keyDigest)
	s.mu.Lock()
	defer s.mu.Unlock()
	r, found := s.records[keyDigest]
	if !found {
		return Unknown
	}
	if r.keeper != keeper || r.number != number {
		return Lost
	}
	r.touched = now
	if answered {
		r.state = stateAnswered
		return Settled
	}
	delete(s.records, keyDigest)
	return Settled
}

// Len returns the number of records.
func (t *Table) Len() int {
	total := 0
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		total += len(s.records)
		s.mu.Unlock()
	}
	return total
}

func (t *Table) shard(keyDigest string) *shard {
	return &t.shards[rendezvous.Score(keyDigest, "")%shardCount]
}

func (t *Table) first(s *shard, q Request, now time.Time) Outcome {
	if len(s.records) >= t.capacity/shardCount && !t.evict(s, now) {
		return Refused{refusal.New(refusal.RanNo, refusal.TableFull, tableFullRetry, "the home has no room for another key")}
	}
	r := &record{
		contentDigest: q.ContentDigest,
		keeper:        q.Keeper,
		address:       q.KeeperAddress,
		number:        nextNumber(0, now),
		state:         stateHeld,
		touched:       now,
	}
	s.records[q.KeyDigest] = r
	return Granted{Number: r.number, Covered: now.Sub(t.started)}
}

// evict drops records past the horizon and tells whether there is room now.
func (t *Table) evict(s *shard, now time.Time) bool {
	scanned, dropped := 0, false
	for key, r := range s.records {
		if now.Sub(r.touched) > t.retention {
			delete(s.records, key)
			dropped = true
		}
		if scanned++; scanned >= evictionScanLimit {
			break
		}
	}
	return dropped
}

// nextNumber rises over restarts of the home as well, as it starts from the clock.
func nextNumber(last uint64, now time.Time) uint64 {
	return max(last+1, uint64(now.UnixMilli()))
}
