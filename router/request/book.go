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
	tableFullRetry              = time.Second
)

type (
	// Book holds the records of an entry by key digest, in shards. It is safe for concurrent use.
	Book struct {
		shards [shardCount]tableShard
		// reconnectGrace is how long a running request without a reader goes on.
		reconnectGrace       time.Duration
		undeliveredRetention time.Duration
		deliveredRetention   time.Duration
		maxRecords           int
	}

	// BookOption configures a Book.
	BookOption func(*Book)

	tableShard struct {
		mu      sync.Mutex
		records map[string]*Record
	}
)

// NewBook returns a Book without records.
func NewBook(options ...BookOption) *Book {
	b := &Book{reconnectGrace: defaultReconnectGrace, undeliveredRetention: defaultUndeliveredRetention, deliveredRetention: defaultDeliveredRetention, maxRecords: defaultMaxRecords}
	for i := range b.shards {
		b.shards[i].records = make(map[string]*Record)
	}
	for _, o := range options {
		o(b)
	}
	return b
}

// WithReconnectGrace sets how long a running request goes on after its last connection has closed.
func WithReconnectGrace(grace time.Duration) BookOption {
	return func(b *Book) { b.reconnectGrace = grace }
}

// WithUndeliveredRetention sets how long a complete answer is retained for a caller that reconnects.
func WithUndeliveredRetention(retention time.Duration) BookOption {
	return func(b *Book) { b.undeliveredRetention = retention }
}

// WithMaxRecords sets the largest number of records. It is divided evenly among the shards.
func WithMaxRecords(records int) BookOption {
	return func(b *Book) { b.maxRecords = records }
}

// Find returns the record of a key, or nil.
func (b *Book) Find(keyDigest string) *Record {
	s := b.shard(keyDigest)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.records[keyDigest]
}

// Open returns the record of a generation's key and whether it is new. A failed record is
// replaced by a new one. Open refuses a key that is in use for other content, and a new key
// when its shard is full.
func (b *Book) Open(g Generation) (r *Record, isNew bool, why *refusal.Refusal) {
	keyDigest := g.KeyDigest()
	s := b.shard(keyDigest)
	s.mu.Lock()
	defer s.mu.Unlock()
	r, found := s.records[keyDigest]
	if found && !r.restartable() {
		if r.ContentDigest != g.ContentDigest() {
			return nil, false, refusal.New(refusal.RanNo, refusal.KeyReused, 0, "the key was used for other content")
		}
		return r, false, nil
	}
	if len(s.records) >= b.maxRecords/shardCount {
		return nil, false, refusal.New(refusal.RanNo, refusal.TableFull, tableFullRetry, "the entry keeps as many requests as it can")
	}
	r = newRecord(g, b.reconnectGrace)
	s.records[keyDigest] = r
	return r, true, nil
}

// Remove deletes a record unless another one has replaced it.
func (b *Book) Remove(keyDigest string, r *Record) {
	s := b.shard(keyDigest)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.records[keyDigest] == r {
		delete(s.records, keyDigest)
	}
}

// Sweep deletes failed records, and finished ones whose retention is over at now.
func (b *Book) Sweep(now time.Time) {
	for i := range b.shards {
		b.sweep(&b.shards[i], now)
	}
}

// Counts returns the number of running records and the number of finished and failed ones.
func (b *Book) Counts() (active, inactive int) {
	for i := range b.shards {
		s := &b.shards[i]
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
func (b *Book) Undelivered() int {
	undelivered := 0
	for i := range b.shards {
		s := &b.shards[i]
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

func (b *Book) sweep(s *tableShard, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, r := range s.records {
		if r.expired(now, b.undeliveredRetention, b.deliveredRetention) {
			delete(s.records, key)
		}
	}
}

func (b *Book) shard(keyDigest string) *tableShard {
	return &b.shards[rendezvous.Score(keyDigest, "")%shardCount]
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
