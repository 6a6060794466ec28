package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

type (
	// store is a stand-in of the platform's store: reads, lists in pages, watches, and a drill.
	store struct {
		mu       sync.Mutex
		era      int64
		revision int64
		items    map[string]item
		history  []item
		changed  chan struct{}
		away     bool
		address  string
		// pageItems is the number of items of a page; 0 puts all into one.
		pageItems int
		// staleFor is how old the pages after the first one are in reads that allow it. versions are the states for that.
		staleFor time.Duration
		versions []version
	}

	// version is the state of the store since a time.
	version struct {
		since time.Time
		copied
	}

	item struct {
		Key      string `json:"key"`
		Value    []byte `json:"value,omitempty"`
		Revision int64  `json:"revision"`
		Removed  bool   `json:"removed,omitempty"`
	}

	// copied is a copy of the store, from which a drill restores it.
	copied struct {
		revision int64
		items    map[string]item
		history  []item
	}
)

func startStore() *store {
	s := &store{era: 1, revision: 100, items: map[string]item{}, changed: make(chan struct{})}
	l := listen("127.0.0.1:0")
	s.address = l.Addr().String()
	go func() { _ = http.Serve(l, s) }()
	return s
}

func (s *store) put(key string, value any) {
	b, err := json.Marshal(value)
	check(err)
	s.change(item{Key: key, Value: b})
}

func (s *store) remove(key string) { s.change(item{Key: key, Removed: true}) }

func (s *store) change(i item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, found := s.items[i.Key]; i.Removed && !found {
		return
	}
	s.revision++
	i.Revision = s.revision
	s.items[i.Key] = i
	if i.Removed {
		delete(s.items, i.Key)
	}
	s.history = append(s.history, i)
	s.versions = append(s.versions, version{time.Now(), copied{s.revision, maps.Clone(s.items), nil}})
	s.notify()
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) copy() copied {
	s.mu.Lock()
	defer s.mu.Unlock()
	return copied{s.revision, maps.Clone(s.items), slices.Clone(s.history)}
}

// leave makes the store answer nothing but 503.
func (s *store) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	s.notify()
}

// restore brings the store back from a copy, in the next era.
func (s *store) restore(c copied) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = false
	s.era++
	s.revision, s.items, s.history = c.revision, maps.Clone(c.items), slices.Clone(c.history)
	s.notify()
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	waitMs, _ := strconv.Atoi(q.Get("waitMs"))
	limit := time.After(time.Duration(waitMs) * time.Millisecond)
	for {
		s.mu.Lock()
		changed, era, revision, away, items := s.changed, s.era, s.revision, s.away, s.items
		if r.URL.Path == "/kv-range" && q.Get("allowStale") == "1" && q.Get("after") != "" && s.staleFor > 0 {
			for _, v := range s.versions {
				if time.Since(v.since) >= s.staleFor {
					revision, items = v.revision, v.items
				}
			}
		}
		pageItems := s.pageItems
		var list []item
		for _, i := range items {
			if strings.HasPrefix(i.Key, q.Get("pathPrefix")) && i.Key > q.Get("after") {
				list = append(list, i)
			}
		}
		var events []item
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, q.Get("pathPrefix")) {
				events = append(events, i)
			}
		}
		s.mu.Unlock()
		slices.SortFunc(list, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
		w.Header().Set("Store-Era", strconv.FormatInt(era, 10))
		switch {
		case away:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case r.URL.Path == "/kv-range":
			hasMore := pageItems > 0 && len(list) > pageItems
			if hasMore {
				list = list[:pageItems]
			}
			writeJSON(w, map[string]any{"items": list, "hasMore": hasMore, "at": revision})
			return
		case r.URL.Path != "/kv-watch":
			w.WriteHeader(http.StatusNotFound)
			return
		case after > revision:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0:
			writeJSON(w, map[string]any{"events": events, "at": revision})
			return
		}
		select {
		case <-changed:
		case <-limit:
			writeJSON(w, map[string]any{"events": []item{}, "at": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	b, err := json.Marshal(v)
	check(err)
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(b)
}

func listen(address string) net.Listener {
	l, err := net.Listen("tcp4", address)
	check(err)
	return l
}
