package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

type (
	// arrival is one request of a client at a server.
	arrival struct {
		at       time.Time
		server   string
		id       string
		target   string
		body     string
		run      bool
		ended    time.Time
		answered bool
	}

	// server is a plain server of a service: it registers itself, checks Target-Instance, and signs its answers.
	server struct {
		id, service, zone string
		listener          net.Listener
		born              int64
		work              time.Duration
		rig               *rig
		// cut is set while the server is partitioned from the store, and from nothing else.
		cut atomic.Bool
		// handle, if set, answers in place of a run. It reports whether it did.
		handle func(s *server, w http.ResponseWriter, a *arrival) bool

		mu       sync.Mutex
		arrivals []*arrival
	}
)

func (r *rig) startServer(id, service, zone string, work time.Duration) *server {
	s := &server{id: id, service: service, zone: zone, work: work, rig: r, born: time.Now().UnixMilli()}
	s.listener = r.listen(r.address(200))
	go func() { _ = http.Serve(s.listener, s) }()
	go func() {
		for pause := rand.N(heartbeat); ; pause = heartbeat {
			if !s.cut.Load() {
				r.store.beat("servers/"+id, fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":6,"state":"ready","coldRemainingMs":0,"born":%d}`,
					service, s.listener.Addr(), zone, s.born))
			}
			time.Sleep(pause)
		}
	}()
	return s
}

func (s *server) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	began := time.Now()
	h := w.Header()
	h["Date"] = nil
	id := q.Header.Get("Attempt-Id")
	if id != "" {
		h.Set("Attempt-Id", id)
	}
	if expected := q.Header.Get("Target-Instance"); expected != "" && expected != s.id {
		h.Set("Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(q.Body)
	if err != nil || id == "" {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	a := &arrival{at: began, server: s.id, id: id, target: q.Method + " " + q.RequestURI, body: string(body)}
	s.mu.Lock()
	s.arrivals = append(s.arrivals, a)
	s.mu.Unlock()
	if s.handle != nil && s.handle(s, w, a) {
		return
	}
	s.mu.Lock()
	a.run = true
	s.mu.Unlock()
	select {
	case <-time.After(s.work):
	case <-q.Context().Done():
		s.mu.Lock()
		a.ended = time.Now()
		s.mu.Unlock()
		return
	}
	h.Set("Server-Signature", "sig-"+s.id+"-"+id)
	_, err = io.WriteString(w, "answer to "+id+strings.Repeat(".", 700))
	s.mu.Lock()
	a.ended, a.answered = time.Now(), err == nil
	s.mu.Unlock()
}

// seen returns the arrivals so far.
func (s *server) seen() []*arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*arrival(nil), s.arrivals...)
}
