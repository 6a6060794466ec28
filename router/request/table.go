package request

import (
	"sync"
	"time"

	"gooseberrypin.example/router/refusal"
	"gooseberrypin.example/router/rendezvous"
)

const (
	shardCount                  = 16
	defaultReconnectGrace       = 200 * time.Millisecond
	defaultUndeliveredRetention = 30 * time.Second
	defaultDeliveredRetention   = time.Minute
	defaultMaxRecords           = 65_536
	tableFullRetryAfter         = time.Second
)

type (
	// Table holds the records of an entry by key digest, in shards. It is safe for concurrent use.
	Table struct {
		shards [shardCount]tableShard
		// reconnectGrace is how long a running request without a reader goes on.
		reconnectGrace       time.Duration
		undeliveredRetention time.Duration
		deliveredRetention   time.Duration
		maxRecords           int
	}

	// TableOption configures a Table.
	TableOption func(*Table)

	tableShard struct {
		mu      sync.Mutex
		records map[string]*Record
	}
)

// NewTable returns a Table without records.
func NewTable(options ...TableOption) *Table {
	t := &Table{reconnectGrace: defaultReconnectGrace, undeliveredRetention: defaultUndeliveredRetention, deliveredRetention: defaultDeliveredRetention, maxRecords: defaultMaxRecords}
	for i := range t.shards {
		t.shards[i].records = make(map[string]*Record)
	}
	for _, o := range options {
		o(t)
	}
	return t
}

// WithReconnectGrace sets how long a running request goes on after its last connection has closed.
func WithReconnectGrace(grace time.Duration) TableOption {
	return func(t *Table) { t.reconnectGrace = grace }
}

// WithUndeliveredRetention sets how long a complete answer is retained for a caller that reconnects.
func WithUndeliveredRetention(retention time.Duration) TableOption {
	return func(t *Table) { t.undeliveredRetention = retention }
}

// WithMaxRecords sets the largest number of records. It is divided evenly among the shards.
func WithMaxRecords(records int) TableOption {
	return func(t *Table) { t.maxRecords = records }
}

// Find returns the record of a key, or nil.
func (t *Table) Find(keyDigest string) *Record {
	s := t.shard(keyDigest)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.records[keyDigest]
}

// Open returns the record of a generation's key and whether it is new. A failed record is
// replaced by a new one. Open refuses a key that is in use for other content, and a new key
// when its shard is full.
func (t *Table) Open(g Generation) (r *Record, isNew bool, refused *refusal.Refusal) {
	keyDigest := g.KeyDigest()
	s := t.shard(keyDigest)
	s.mu.Lock()
	defer s.mu.Unlock()
	r, found := s.records[keyDigest]
	if found && !r.restartable() {
		if r.ContentDigest != g.ContentDigest() {
			return nil, false, refusal.New(refusal.RanNo, refusal.KeyReused, 0, "the key was used for other content")
		}
		return r, false, nil
	}
	if len(s.records) >= t.maxRecords/shardCount {
		return nil, false, refusal.New(refusal.RanNo, refusal.TableFull, tableFullRetryAfter, "the entry keeps as many requests as it can")
	}
	r = newRecord(g, t.reconnectGrace)
	s.records[keyDigest] = r
	return r, true, nil
}

// Remove deletes a record unless another one has replaced it.
func (t *Table) Remove(keyDigest string, r *Record) {
	s := t.shard(keyDigest)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.records[keyDigest] == r {
		delete(s.records, keyDigest)
	}
}

// Sweep deletes failed records, and finished ones whose retention is over at now.
func (t *Table) Sweep(now time.Time) {
	for i := range t.shards {
		t.sweep(&t.shards[i], now)
	}
}

// Counts returns the number of running records and the number of finished and failed ones.
func (t *Table) Counts() (active, inactive int) {
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for _, r := range s.records {
			if r.active() {
				active++
			} else {
				inactive++
			}
		}
		s.mu.Unlock()
	}
	return active, inactive
}

// Undelivered returns the number of complete answers that have not been delivered.
func (t *Table) Undelivered() int {
	undelivered := 0
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for _, r := range s.records {
			if r.undelivered() {
				undelivered++
			}
		}
		s.mu.Unlock()
	}
	return undelivered
}

func (t *Table) sweep(s *tableShard, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, r := range s.records {
		if r.expired(now, t.undeliveredRetention, t.deliveredRetention) {
			delete(s.records, key)
		}
	}
}

func (t *Table) shard(keyDigest string) *tableShard {
	return &t.shards[rendezvous.Score(keyDigest, "")%shardCount]
}

// restartable reports whether a resend of the key starts a new record.
func (r *Record) restartable() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state == failed
}

func (r *Record) active() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state == running
}

// undelivered reports whether the answer is complete and has not been delivered.
func (r *Record) undelivered() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state == finished && !r.delivered
}

// expired reports whether the record may be deleted: it has failed, or its retention is over.
func (r *Record) expired(now time.Time, undeliveredRetention, deliveredRetention time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.state == running:
		return false
	case r.state == failed:
		return true
	case r.delivered:
		return now.Sub(r.endedAt) > deliveredRetention
	}
	return now.Sub(r.endedAt) > undeliveredRetention
}
