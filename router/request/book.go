package request

import (
	"sync"
	"time"

	"gooseberrypin.example/router/refusal"
	"gooseberrypin.example/router/rendezvous"
)

const (
	bookShards      = 16
	defaultGrace    = 200 * time.Millisecond
	defaultKeep     = 30 * time.Second
	defaultRemember = time.Minute
	defaultMaxKept  = 65_536
	bookFullRetry   = time.Second
)

type (
	// Table holds the records that an entry keeps, in shards.
	Table struct {
		shards   [bookShards]bookShard
		grace    time.Duration
		keep     time.Duration
		remember time.Duration
		maxKept  int
	}

	// TableOption changes a book's bounds.
	TableOption func(*Table)

	bookShard struct {
		mu      sync.Mutex
		records map[string]*Record
	}
)

// NewTable returns an empty book.
func NewTable(options ...TableOption) *Table {
	b := &Table{grace: defaultGrace, keep: defaultKeep, remember: defaultRemember, maxKept: defaultMaxKept}
	for i := range b.shards {
		b.shards[i].records = make(map[string]*Record)
	}
	for _, o := range options {
		o(b)
	}
	return b
}

// WithGrace sets how long a running request outlives its last connection.
func WithGrace(grace time.Duration) TableOption {
	return func(b *Table) { b.grace = grace }
}

// WithKeep sets how long a whole answer waits for its caller to come back.
func WithKeep(keep time.Duration) TableOption {
	return func(b *Table) { b.keep = keep }
}

// WithMaxRecords bounds the number of records.
func WithMaxRecords(records int) TableOption {
	return func(b *Table) { b.maxKept = records }
}

// Find returns the record of a key, or nil.
func (b *Table) Find(keyDigest string) *Record {
	s := b.shard(keyDigest)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.records[keyDigest]
}

// Open returns the record of a key and whether it is new. A key used for other
// content is refused, as is a new key when the book is full.
func (b *Table) Open(g Generation) (r *Record, isNew bool, why *refusal.Refusal) {
	keyDigest := g.KeyDigest()
	s := b.shard(keyDigest)
	s.mu.Lock()
	defer s.mu.Unlock()
	r, found := s.records[keyDigest]
	if found && !r.over() {
		if r.ContentDigest != g.ContentDigest() {
			return nil, false, refusal.New(refusal.RanNo, refusal.KeyReused, 0, "the key was used for other content")
		}
		return r, false, nil
	}
	if len(s.records) >= b.maxKept/bookShards {
		return nil, false, refusal.New(refusal.RanNo, refusal.TableFull, bookFullRetry, "the entry keeps as many requests as it can")
	}
	r = newRecord(g, b.grace)
	s.records[keyDigest] = r
	return r, true, nil
}

// Remove forgets a record, if it still is the key's.
func (b *Table) Remove(keyDigest string, r *Record) {
	s := b.shard(keyDigest)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.records[keyDigest] == r {
		delete(s.records, keyDigest)
	}
}

// Sweep forgets delivered answers after a time, and undelivered ones sooner.
func (b *Table) Sweep(now time.Time) {
	for i := range b.shards {
		b.sweep(&b.shards[i], now)
	}
}

// Counts returns the numbers of running and of ended records.
func (b *Table) Counts() (active, ended int) {
	for i := range b.shards {
		s := &b.shards[i]
		s.mu.Lock()
		for _, r := range s.records {
			if r.active() {
				active++
			} else {
				ended++
			}
		}
		s.mu.Unlock()
	}
	return active, ended
}

// Undelivered returns the number of whole answers that wait for their callers.
func (b *Table) Undelivered() int {
	waiting := 0
	for i := range b.shards {
		s := &b.shards[i]
		s.mu.Lock()
		for _, r := range s.records {
			if r.waiting() {
				waiting++
			}
		}
		s.mu.Unlock()
	}
	return waiting
}

func (b *Table) sweep(s *bookShard, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, r := range s.records {
		if r.stale(now, b.keep, b.remember) {
			delete(s.records, key)
		}
	}
}

func (b *Table) shard(keyDigest string) *bookShard {
	return &b.shards[rendezvous.Score(keyDigest, "")%bookShards]
}

// over tells that a resend starts anew.
func (r *Record) over() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state == failed
}

func (r *Record) active() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state == running
}

func (r *Record) waiting() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state == finished && !r.delivered
}

func (r *Record) stale(now time.Time, keep, remember time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.state == running:
		return false
	case r.state == failed:
		return true
	case r.delivered:
		return now.Sub(r.ended) > remember
	}
	return now.Sub(r.ended) > keep
}
