package booking

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	shardCount = 64
)

type (
	// table stores the records of keys in shards, each with its own lock.
	table struct {
		shards         [shardCount]shard
		maxRecords     int64
		maxResultBytes int64
		records        atomic.Int64
		resultBytes    atomic.Int64
	}

	shard struct {
		mu      sync.Mutex
		entries map[string]*entry
	}
)

func newTable(maxRecords, maxResultBytes int64) *table {
	t := &table{maxRecords: maxRecords, maxResultBytes: maxResultBytes}
	for i := range t.shards {
		t.shards[i].entries = make(map[string]*entry)
	}
	return t
}

func (t *table) shard(key string) *shard {
	return &t.shards[xxhash.Sum64String(key)%shardCount]
}

// reserve reserves room for one more record. It returns false if the table is full.
func (t *table) reserve() bool {
	if t.resultBytes.Load() >= t.maxResultBytes {
		return false
	}
	if t.records.Add(1) > t.maxRecords {
		t.records.Add(-1)
		return false
	}
	return true
}

// insert adds an entry. The caller must hold the shard's lock and have reserved room.
func (t *table) insert(s *shard, e *entry) {
	s.entries[e.Key] = e
	t.resultBytes.Add(int64(len(e.Result.Body)))
}

// remove removes an entry. The caller must hold the shard's lock.
func (t *table) remove(s *shard, e *entry) {
	delete(s.entries, e.Key)
	t.records.Add(-1)
	t.resultBytes.Add(-int64(len(e.Result.Body)))
}

// setResult stores the result of an entry. The caller must hold the shard's lock.
func (t *table) setResult(e *entry, r Result) {
	t.resultBytes.Add(int64(len(r.Body)) - int64(len(e.Result.Body)))
	e.Result = r
}

// expire removes the records of keys created before the horizon, except running ones, and returns their number.
func (t *table) expire(horizon time.Time) int {
	count := 0
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for _, e := range s.entries {
			if e.Created.Before(horizon) && e.done == nil {
				t.remove(s, e)
				count++
			}
		}
		s.mu.Unlock()
	}
	return count
}

// list returns copies of the records that match.
func (t *table) list(matches func(*Record) bool) []Record {
	var records []Record
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for _, e := range s.entries {
			if matches(&e.Record) {
				records = append(records, e.Record)
			}
		}
		s.mu.Unlock()
	}
	return records
}
