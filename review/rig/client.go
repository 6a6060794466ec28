package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

type (
	// sent is one client attempt and its outcome.
	sent struct {
		id     string
		entry  *entry
		at     time.Time
		ended  time.Time
		status int
		header http.Header
		body   string
		err    error
	}

	// ledger holds what the clients sent.
	ledger struct {
		mu       sync.Mutex
		attempts map[string]*sent
	}
)

var lastAttempt atomic.Int64

func newLedger() *ledger {
	return &ledger{attempts: map[string]*sent{}}
}

func attemptID() string {
	return fmt.Sprintf("%016x", 0x1c41d07b00000000+lastAttempt.Add(1))
}

// send sends one request over the client's connections, and waits for its end.
func (l *ledger) send(c *http.Client, e *entry, method, target, body string, deadline time.Duration) *sent {
	return l.sendBody(c, e, method, target, strings.NewReader(body), int64(len(body)), deadline)
}

// sendBody sends a request with a body of a known length.
func (l *ledger) sendBody(c *http.Client, e *entry, method, target string, body io.Reader, length int64, deadline time.Duration) *sent {
	s := &sent{id: attemptID(), entry: e, at: time.Now()}
	l.mu.Lock()
	l.attempts[s.id] = s
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, method, "http://"+e.front+target, body)
	if err != nil {
		fail("request: %w", err)
	}
	q.Host, q.ContentLength = "a.example", length
	if length == 0 {
		q.Body = http.NoBody
	}
	q.Header.Set("Attempt-Id", s.id)
	q.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	a, err := c.Do(q)
	if err == nil {
		var content []byte
		content, err = io.ReadAll(a.Body)
		_ = a.Body.Close()
		s.status, s.header, s.body = a.StatusCode, a.Header, string(content)
	}
	l.mu.Lock()
	s.err, s.ended = err, time.Now()
	l.mu.Unlock()
	return s
}

// newClient returns a client that keeps its connection.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true}}
}

// load has a number of clients at each entry send one request each at the same moment, once in each interval, until stop. The entries
// follow each other.
func (l *ledger) load(r *rig, clients int, interval time.Duration, stop <-chan struct{}) *sync.WaitGroup {
	var wg sync.WaitGroup
	for n, e := range r.entries {
		all := make([]*http.Client, clients)
		for i := range all {
			all[i] = newClient()
		}
		wg.Go(func() {
			time.Sleep(time.Duration(n) * interval / time.Duration(len(r.entries)))
			for t := time.NewTicker(interval); ; {
				select {
				case <-stop:
					t.Stop()
					return
				case <-t.C:
				}
				for i, c := range all {
					wg.Go(func() { l.send(c, e, http.MethodGet, fmt.Sprintf("/page/%s/%d", e.name, i), "", 1500*time.Millisecond) })
				}
			}
		})
	}
	return &wg
}

// note writes all attempts, and what the servers got of them, to the record.
func (l *ledger) note(r *rig, servers []*server) {
	l.mu.Lock()
	all := slices.SortedFunc(maps.Values(l.attempts), func(a, b *sent) int { return strings.Compare(a.id, b.id) })
	l.mu.Unlock()
	for _, s := range all {
		r.note("sent %s to %s at %.3f s: status %d, %v, ended %.3f s", s.id, s.entry.name, s.at.Sub(r.began).Seconds(), s.status, s.err, s.ended.Sub(r.began).Seconds())
	}
	for _, s := range servers {
		for _, a := range s.seen() {
			r.note("%s reached %s at %.3f s, run: %v, answered: %v", a.id, a.server, a.at.Sub(r.began).Seconds(), a.run, a.answered)
		}
	}
}

// outcomes counts the statuses; 0 is no answer.
func (l *ledger) outcomes() map[int]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := map[int]int{}
	for _, s := range l.attempts {
		if s.err != nil {
			counts[0]++
			continue
		}
		counts[s.status]++
	}
	return counts
}

func (l *ledger) attempt(id string) *sent {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.attempts[id]
}
