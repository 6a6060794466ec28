package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's store, with the calls that the entry uses.
type store struct {
	mu      sync.Mutex
	items   map[string]storeItem
	events  []storeItem
	rev     int64
	era     int64
	changed chan struct{}
	http    *http.Server
	addr    string
	// reads counts the answered calls.
	reads int
}

type storeItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
}

func startStore() *store {
	s := &store{items: map[string]storeItem{}, rev: 100, era: 1, changed: make(chan struct{})}
	l := listen("127.0.0.1:0")
	s.addr = l.Addr().String()
	s.http = &http.Server{Handler: s}
	go s.http.Serve(l)
	return s
}

// put writes a value and returns its revision. The return is the acknowledgement.
func (s *store) put(key string, v any) int64 {
	b, err := json.Marshal(v)
	check(err)
	return s.putBytes(key, b)
}

func (s *store) putBytes(key string, b []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	i := storeItem{Key: key, Value: b, Revision: s.rev, Created: s.rev}
	if old, found := s.items[key]; found {
		i.Created = old.Created
	}
	s.items[key] = i
	s.add(i)
	return s.rev
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, found := s.items[key]; !found {
		return
	}
	s.rev++
	delete(s.items, key)
	s.add(storeItem{Key: key, Revision: s.rev, Removed: true})
}

func (s *store) add(i storeItem) {
	s.events = append(s.events, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	query := q.URL.Query()
	var body any
	status := http.StatusOK
	switch q.URL.Path {
	case "/kv-range":
		body = s.list(query.Get("pathPrefix"), query.Get("after"))
	case "/kv-key":
		s.mu.Lock()
		i, found := s.items[query.Get("key")]
		s.mu.Unlock()
		if body = i; !found {
			status = http.StatusNotFound
		}
	case "/kv-watch":
		after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
		wait, _ := strconv.ParseInt(query.Get("waitMs"), 10, 64)
		body = s.watch(q, query.Get("pathPrefix"), after, time.Duration(wait)*time.Millisecond)
	default:
		status = http.StatusNotFound
	}
	b, err := json.Marshal(body)
	check(err)
	s.mu.Lock()
	s.reads++
	w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	w.Write(b)
}

func (s *store) list(prefix, after string) any {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	more, list, size := false, []storeItem{}, 0
	for _, k := range keys {
		if len(list) == 500 || size > 1<<20 {
			more = true
			break
		}
		list, size = append(list, s.items[k]), size+len(s.items[k].Value)
	}
	return map[string]any{"items": list, "hasMore": more, "at": s.rev}
}

func (s *store) watch(q *http.Request, prefix string, after int64, wait time.Duration) any {
	end := time.After(wait)
	for {
		s.mu.Lock()
		events, at, changed := []storeItem{}, s.rev, s.changed
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 {
			return map[string]any{"events": events, "at": at}
		}
		select {
		case <-changed:
		case <-end:
			return map[string]any{"events": events, "at": at}
		case <-q.Context().Done():
			return map[string]any{"events": events, "at": after}
		}
	}
}

// link is a proxy between a client and the store. It passes bytes at a rate and can leave the open connections silent.
type link struct {
	addr, to string
	// perSecond is the rate from the store to the client in bytes a second; 0 sets none.
	perSecond int
	mu        sync.Mutex
	// free is when the link has passed all bytes so far.
	free  time.Time
	pairs map[*pair]bool
	// silenceAfter, if it is positive, is the number of bytes of one answer after which the connection that carries them falls
	// silent for good. Connections that are opened later work.
	silenceAfter int
	silenced     func()
}

type pair struct {
	a, b   net.Conn
	silent bool
	passed int
}

func startLink(to string, perSecond int) *link {
	l := &link{to: to, perSecond: perSecond, pairs: map[*pair]bool{}}
	n := listen("127.0.0.1:0")
	l.addr = n.Addr().String()
	go func() {
		for {
			c, err := n.Accept()
			if err != nil {
				return
			}
			go l.serve(c)
		}
	}()
	return l
}

func (l *link) serve(a net.Conn) {
	b, err := net.Dial("tcp", l.to)
	if err != nil {
		a.Close()
		return
	}
	p := &pair{a: a, b: b}
	l.mu.Lock()
	l.pairs[p] = true
	l.mu.Unlock()
	go l.copy(p, a, b, false)
	l.copy(p, b, a, true)
}

// copy passes bytes on. A silent connection stays open, and what is sent on it is read and dropped.
func (l *link) copy(p *pair, from, to net.Conn, answer bool) {
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		if err != nil {
			l.mu.Lock()
			silent := p.silent
			delete(l.pairs, p)
			l.mu.Unlock()
			if !silent {
				from.Close()
				to.Close()
			}
			return
		}
		l.mu.Lock()
		if !answer {
			p.passed = 0
		}
		if answer && l.silenceAfter > 0 && p.passed+n > l.silenceAfter {
			l.silenceAfter = 0
			for q := range l.pairs {
				q.silent = true
			}
			if l.silenced != nil {
				go l.silenced()
			}
		}
		if answer {
			p.passed += n
		}
		silent := p.silent
		l.mu.Unlock()
		if silent {
			continue
		}
		if answer {
			l.await(n)
		}
		if _, err := to.Write(buf[:n]); err != nil {
			from.Close()
		}
	}
}

// await waits until the link has passed a number of bytes. All connections share its rate. What a sleep takes too long is made up
// for, so that the link is not slower than its rate.
func (l *link) await(n int) {
	if l.perSecond == 0 {
		return
	}
	l.mu.Lock()
	if earliest := time.Now().Add(-50 * time.Millisecond); l.free.Before(earliest) {
		l.free = earliest
	}
	l.free = l.free.Add(time.Duration(n) * time.Second / time.Duration(l.perSecond))
	until := l.free
	l.mu.Unlock()
	time.Sleep(time.Until(until))
}

func listen(address string) net.Listener {
	l, err := net.Listen("tcp4", address)
	check(err)
	return l
}

func check(err error) {
	if err != nil {
		panic(fmt.Sprintf("setup: %v", err))
	}
}
