package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat = 1200 * time.Millisecond
	// lapse is the silence after which the store removes a server's entry: three heartbeats.
	lapse = 3 * heartbeat
)

type (
	// store is the platform's store, as PROTOCOL.md describes it: lists, watches, one revision counter. It removes entries
	// of servers that have been silent for three heartbeats.
	store struct {
		mu       sync.Mutex
		revision int64
		items    map[string]item
		beats    map[string]time.Time
		history  []item
		changed  chan struct{}
		note     func(format string, args ...any)
	}

	item struct {
		Key      string `json:"key"`
		Value    []byte `json:"value,omitempty"`
		Revision int64  `json:"revision"`
		Removed  bool   `json:"removed,omitempty"`
	}
)

func newStore(note func(string, ...any)) *store {
	s := &store{items: map[string]item{}, beats: map[string]time.Time{}, changed: make(chan struct{}), note: note}
	go func() {
		for range time.Tick(50 * time.Millisecond) {
			s.sweep()
		}
	}()
	return s
}

func (s *store) change(i item) {
	s.revision++
	i.Revision = s.revision
	if i.Removed {
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key that does not lapse.
func (s *store) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.change(item{Key: key, Value: []byte(value)})
}

// beat is a server's heartbeat. The entry changes only if its value does, or if it had lapsed.
func (s *store) beat(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beats[key] = time.Now()
	old, found := s.items[key]
	if found && string(old.Value) == value {
		return
	}
	s.note("store: %s is written", key)
	s.change(item{Key: key, Value: []byte(value)})
}

// remove removes the entry of a server that has left.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.beats, key)
	s.note("store: %s is removed", key)
	s.change(item{Key: key, Removed: true})
}

func (s *store) sweep() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, last := range s.beats {
		if time.Since(last) > lapse {
			delete(s.beats, key)
			s.note("store: %s lapses after %v of silence", key, time.Since(last).Round(10*time.Millisecond))
			s.change(item{Key: key, Removed: true})
		}
	}
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	switch r.URL.Path {
	case "/kv-range":
		s.mu.Lock()
		items := []item{}
		for key, i := range s.items {
			if strings.HasPrefix(key, q.Get("pathPrefix")) && key > q.Get("after") {
				items = append(items, i)
			}
		}
		at := s.revision
		s.mu.Unlock()
		slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
		_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "hasMore": false, "at": at})
	case "/kv-watch":
		after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("waitMs"))
		end := time.After(time.Duration(wait) * time.Millisecond)
		for over := false; ; {
			s.mu.Lock()
			events := []item{}
			for _, i := range s.history {
				if i.Revision > after {
					events = append(events, i)
				}
			}
			at, changed := s.revision, s.changed
			s.mu.Unlock()
			if len(events) > 0 || over {
				_ = json.NewEncoder(w).Encode(map[string]any{"events": events, "at": at})
				return
			}
			select {
			case <-changed:
			case <-end:
				over = true
			case <-r.Context().Done():
				return
			}
		}
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}
