package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// server is a stand-in of a server: a plain service, or a model server with a phase.
type server struct {
	id, service, phase, zone string
	addr                     string
	born                     int64
	store                    *store
	mu                       sync.Mutex
	state                    string
	runs                     []arrival
	orders                   []order
	handles                  map[string]bool
	next                     int
	http                     *http.Server
	// work is how long a plain request takes, and tokens is how long an event of a stream takes.
	work, event time.Duration
	// events is the number of events of a stream, and ids returns the ID of one.
	events int
	ids    func(n int) int
	// handle, if set, serves a request in place of the usual way, and returns true.
	handle func(w http.ResponseWriter, q *http.Request) bool
	// headers are added to all answers.
	headers func() map[string]string
}

type arrival struct {
	at  time.Time
	id  string
	how string
}

type order struct {
	at     time.Time
	holder string
	fence  int64
	body   string
}

func startServer(s *store, id, service, phase, zone string) *server {
	v := &server{
		id: id, service: service, phase: phase, zone: zone, store: s, state: "ready", born: time.Now().UnixMilli(),
		handles: map[string]bool{}, work: 20 * time.Millisecond, event: 15 * time.Millisecond, events: 12, ids: func(n int) int { return n },
	}
	v.listen("127.0.0.1:0")
	v.register()
	return v
}

func (v *server) listen(address string) {
	l := listen(address)
	v.addr = l.Addr().String()
	v.http = &http.Server{Handler: v}
	go v.http.Serve(l)
}

// register writes the entry of the server into the store.
func (v *server) register() int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	e := map[string]any{
		"service": v.service, "address": v.addr, "zone": v.zone, "version": "v1", "slots": 6, "state": v.state,
		"coldRemainingMs": 0, "sequence": 1, "born": v.born,
	}
	if v.phase != "" {
		e["phase"], e["slots"], e["models"] = v.phase, 64, []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}
	}
	return v.store.put("servers/"+v.id, e)
}

func (v *server) drain() {
	v.mu.Lock()
	v.state = "draining"
	v.mu.Unlock()
	v.register()
}

func (v *server) arrived(id, how string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.runs = append(v.runs, arrival{time.Now(), id, how})
}

func (v *server) arrivals() []arrival {
	v.mu.Lock()
	defer v.mu.Unlock()
	return append([]arrival(nil), v.runs...)
}

func (v *server) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	h := w.Header()
	h["Date"] = nil
	id := q.Header.Get("Attempt-Id")
	if id != "" {
		h.Set("Attempt-Id", id)
	}
	if v.headers != nil {
		for k, x := range v.headers() {
			h.Set(k, x)
		}
	}
	if t := q.Header.Get("Target-Instance"); t != "" && t != v.id {
		h.Set("Instance-Id", v.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	switch {
	case q.Method == http.MethodGet && q.URL.Path == "/health":
		h.Set("Instance-Id", v.id)
		return
	case q.Method == http.MethodPost && q.URL.Path == "/order":
		var o struct {
			Holder       string `json:"holder"`
			FencingToken int64  `json:"fencingToken"`
		}
		check(json.Unmarshal(body, &o))
		v.mu.Lock()
		first := len(v.orders) == 0
		v.orders = append(v.orders, order{time.Now(), o.Holder, o.FencingToken, string(body)})
		v.mu.Unlock()
		note("server %s gets an order: %s", v.id, body)
		if first {
			w.WriteHeader(http.StatusAccepted)
			return
		}
		// The first one is in progress for reconfigS, longer than the case.
		w.WriteHeader(http.StatusConflict)
		return
	case q.Method == http.MethodPost && q.URL.Path == "/hold-take":
		v.mu.Lock()
		v.next++
		n := v.next
		v.mu.Unlock()
		writeJSON(w, map[string]any{"hold": fmt.Sprintf("h%d", n)})
		return
	case q.Method == http.MethodDelete && (strings.HasPrefix(q.URL.Path, "/hold-drop/") || strings.HasPrefix(q.URL.Path, "/kv-handle/")):
		writeJSON(w, map[string]any{})
		return
	}
	if id == "" {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if v.handle != nil && v.handle(w, q) {
		return
	}
	switch {
	case v.phase == "":
		v.arrived(id, "run")
		if !pause(q, v.work) {
			return
		}
		h.Set("Server-Signature", "sig-"+v.id+"-"+id)
		h.Set("Content-Length", "3")
		w.Write([]byte("ok\n"))
	case q.Header.Get("Inference-Phase") == "prefill":
		v.arrived(id, "prefill")
		if !pause(q, v.work) {
			return
		}
		v.mu.Lock()
		v.next++
		handle := fmt.Sprintf("%s-%d", v.id, v.next)
		v.mu.Unlock()
		h.Set("Server-Signature", "sig-"+v.id+"-"+id)
		writeJSON(w, map[string]any{"kvHandle": handle, "tokens": 10, "version": 1})
	default:
		v.arrived(id, "run")
		v.stream(w, q, id)
	}
}

// stream writes the events after Last-Event-Id.
func (v *server) stream(w http.ResponseWriter, q *http.Request, id string) {
	last, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	w.Header().Set("Server-Signature", "sig-"+v.id+"-"+id)
	w.Header().Set("Content-Type", "text/event-stream")
	for n := 1; n <= v.events; n++ {
		if v.ids(n) <= last {
			continue
		}
		if !pause(q, v.event) {
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", v.ids(n), n, id)
		w.(http.Flusher).Flush()
	}
}

// pause waits, and reports whether the caller still waits as well.
func pause(q *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-q.Context().Done():
		return false
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	b, err := json.Marshal(v)
	check(err)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.Write(b)
}

// reset closes the connection of a request with a reset.
func reset(w http.ResponseWriter) {
	c, _, err := w.(http.Hijacker).Hijack()
	check(err)
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}
