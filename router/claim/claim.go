// Package claim records which entry is the keeper of a request: the one that may run it and
// deliver its answer. The record is stored at the home of the request's key, so that two
// entries with different views of the fleet cannot both deliver an answer.
package claim

import (
	"sync"
	"time"

	"gooseberrypin.example/router/refusal"
	"gooseberrypin.example/router/rendezvous"
)

const (
	// Settled reports that the claim was still held and has ended.
	Settled Settlement = iota + 1
	// Lost reports that the claim is no longer held, for example because another entry took it over.
	Lost
	// Unknown reports that a home has no record of the claim, or that no home answered.
	Unknown

	// HomeCount is the number of upstreams that may store a key's claim. The second one
	// retains the claims that the first one loses in a restart.
	HomeCount = 2
	// Retention is the period for which a record is kept after its last use.
	Retention = 10 * time.Minute

	shardCount          = 16
	defaultCapacity     = 65_536
	tableFullRetryAfter = time.Second
	stateHeld           = state(1)
	stateAnswered       = state(2)
	evictionScanLimit   = 64
)

type (
	// Settlement is the result of ending a claim.
	Settlement int

	// Request asks a home to make an entry the keeper of a key.
	Request struct {
		KeyDigest     string
		ContentDigest string
		// Keeper identifies one run of an entry's process.
		Keeper        string
		KeeperAddress string
		// Unreachable identifies a keeper that could not be reached, if any. Its claim may be taken over.
		Unreachable string
	}

	// Outcome is Granted, Claimed, Held or Refused.
	//
	//sumtype:decl
	Outcome interface{ outcome() }

	// Granted makes the requesting entry the keeper and assigns an attempt number.
	Granted struct {
		Number uint64
		// Covered is the period for which the home has recorded claims. It may have lost older ones.
		Covered time.Duration
	}

	// Held identifies the entry that is already the keeper of the key.
	Held struct{ Keeper, KeeperAddress string }

	// Refused carries the reason why the claim is refused.
	Refused struct{ Refusal *refusal.Refusal }

	// Table stores the claims of one home in shards.
	Table struct {
		started   time.Time
		shards    [shardCount]shard
		capacity  int
		retention time.Duration
	}

	// Option configures a Table.
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
		lastUsed      time.Time
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

// WithCapacity limits the number of records.
func WithCapacity(records int) Option {
	return func(t *Table) { t.capacity = records }
}

// WithStarted sets the time since which the table has recorded claims.
func WithStarted(started time.Time) Option {
	return func(t *Table) { t.started = started }
}

// WithRetention sets the period for which a record is kept after its last use.
func WithRetention(retention time.Duration) Option {
	return func(t *Table) { t.retention = retention }
}

func (Granted) outcome() {}
func (Held) outcome()    {}
func (Refused) outcome() {}

// Claim makes the requesting entry the keeper of a key if the key has no keeper, or if the
// keeper is the requesting entry itself or the unreachable one. Otherwise it returns Held.
func (t *Table) Claim(q Request, now time.Time) Outcome {
	s := t.shard(q.KeyDigest)
	s.mu.Lock()
	defer s.mu.Unlock()
	r, found := s.records[q.KeyDigest]
	if !found || now.Sub(r.lastUsed) > t.retention {
		return t.grantFirst(s, q, now)
	}
	if r.contentDigest != q.ContentDigest {
		return Refused{refusal.New(refusal.RanNo, refusal.KeyReused, 0, "the key was used for other content")}
	}
	r.lastUsed = now
	mayTakeOver := r.keeper == q.Keeper || r.keeper == q.Unreachable
	if !mayTakeOver {
		return Held{Keeper: r.keeper, KeeperAddress: r.address}
	}
	if r.state == stateAnswered {
		return Refused{refusal.New(refusal.RanYes, refusal.AlreadyAnswered, 0, "the key's answer was delivered")}
	}
	r.keeper, r.address = q.Keeper, q.KeeperAddress
	r.number = nextNumber(r.number, now)
	return Granted{Number: r.number, Covered: now.Sub(t.started)}
}

// Settle ends a claim. If answered is set, the key cannot be claimed again while its record
// is kept. Otherwise the record is removed.
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
	r.lastUsed = now
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

// grantFirst grants a key without a current record, unless its shard is full.
func (t *Table) grantFirst(s *shard, q Request, now time.Time) Outcome {
	if len(s.records) >= t.capacity/shardCount && !t.evict(s, now) {
		return Refused{refusal.New(refusal.RanNo, refusal.TableFull, tableFullRetryAfter, "the home has no room for another key")}
	}
	r := &record{
		contentDigest: q.ContentDigest,
		keeper:        q.Keeper,
		address:       q.KeeperAddress,
		number:        nextNumber(0, now),
		state:         stateHeld,
		lastUsed:      now,
	}
	s.records[q.KeyDigest] = r
	return Granted{Number: r.number, Covered: now.Sub(t.started)}
}

// evict removes expired records among the first evictionScanLimit of a shard and reports
// whether it removed any.
func (t *Table) evict(s *shard, now time.Time) bool {
	scanned, evicted := 0, false
	for key, r := range s.records {
		if now.Sub(r.lastUsed) > t.retention {
			delete(s.records, key)
			evicted = true
		}
		if scanned++; scanned >= evictionScanLimit {
			break
		}
	}
	return evicted
}

// nextNumber returns an attempt number above the last one. It is at least the time in Unix
// milliseconds, so that numbers also rise across restarts of the home.
func nextNumber(last uint64, now time.Time) uint64 {
	return max(last+1, uint64(now.UnixMilli()))
}
