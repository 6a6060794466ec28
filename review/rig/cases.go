package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	deskConfig = `{"version":7,"routes":[` +
		`{"name":"book","host":"a.example","pathPrefix":"/book/","kind":"non_idempotent","timeoutMs":800,"targetLatencyMs":300,"priority":2,"service":"desk","maxAttempts":1},` +
		`{"name":"page","host":"a.example","pathPrefix":"/page/","kind":"idempotent","timeoutMs":800,"targetLatencyMs":300,"priority":2,"service":"desk","maxAttempts":2}],` +
		`"services":[{"name":"desk","healthPath":"/health","maxConnections":96,"protocol":"h1","tls":false}],` +
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`
)

// desk starts five plain servers, which take a time for each request.
func (r *rig) desk(work time.Duration) []*server {
	r.store.put("op/config", deskConfig)
	var servers []*server
	for n := range 5 {
		servers = append(servers, r.startServer(fmt.Sprintf("i-7f3a91c%d", n), "desk", fmt.Sprintf("z-%c", 'a'+n%3), work))
	}
	return servers
}

// cutFromStore partitions a server from the store for 5 s, if the case is played with its disruption.
func (r *rig) cutFromStore(s *server) {
	if !r.trouble {
		return
	}
	r.note("server %s is cut off from the store, and from nothing else, for 5 s", s.id)
	s.cut.Store(true)
	time.AfterFunc(5*time.Second, func() {
		s.cut.Store(false)
		r.note("server %s reaches the store again", s.id)
	})
}

// playPause: a server answers 503 with Retry-After, and is then cut off from the store for 5 s.
func playPause(r *rig) bool {
	const pauseS = 30
	type pause struct {
		at, end time.Time
	}
	servers := r.desk(60 * time.Millisecond)
	s := servers[0]
	l := newLedger()
	var mu sync.Mutex
	var until time.Time
	pauses := map[string][]pause{}
	s.handle = func(_ *server, w http.ResponseWriter, a *arrival) bool {
		mu.Lock()
		end := until
		mu.Unlock()
		left := time.Until(end)
		if left <= 0 {
			return false
		}
		time.Sleep(20 * time.Millisecond)
		text := strconv.FormatFloat(left.Seconds(), 'f', 1, 64)
		e := l.attempt(a.id).entry.name
		r.note("server %s answers %s, sent by %s, 503 with Retry-After: %s", s.id, a.id, e, text)
		mu.Lock()
		pauses[e] = append(pauses[e], pause{time.Now(), end})
		mu.Unlock()
		w.Header().Set("Not-Executed", "1")
		w.Header().Set("Retry-After", text)
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	}
	r.startFleet(3)
	stop := make(chan struct{})
	wg := l.load(r, 18, 400*time.Millisecond, stop)
	time.Sleep(4 * time.Second)
	mu.Lock()
	until = time.Now().Add(pauseS * time.Second)
	mu.Unlock()
	r.note("server %s wants no requests for %d s", s.id, pauseS)
	time.Sleep(4 * time.Second)
	r.cutFromStore(s)
	time.Sleep(time.Until(until))
	close(stop)
	wg.Wait()
	l.note(r, servers)
	r.note("outcomes: %v", l.outcomes())
	broken := false
	for _, e := range r.entries {
		most, first := 0, time.Time{}
		for _, p := range pauses[e.name] {
			n := 0
			for _, a := range s.seen() {
				if l.attempt(a.id).entry == e && a.at.After(p.at.Add(500*time.Millisecond)) && a.at.Before(p.end) {
					n++
				}
			}
			if n > most {
				most, first = n, p.at
			}
		}
		r.note("%s: %d requests at %s between half a second after a 503 with Retry-After and the end of that time; 2 are allowed", e.name, most, s.id)
		if most > 0 {
			r.note("%s: the 503 was at %.3f s", e.name, first.Sub(r.began).Seconds())
		}
		broken = broken || most > 2
	}
	return broken
}
