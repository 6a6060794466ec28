package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	engineTokens = 42_331
	streamEvents = 10
	// startup is the time from the arrival of a request at a decode engine to its first event, with the move of its memory.
	startup    = 300 * time.Millisecond
	eventPause = 100 * time.Millisecond
	// prefillTime is how long a prefill engine reads a prompt.
	prefillTime = 60 * time.Millisecond
	// downtime is the time from a crash of an engine to its next start.
	downtime = 2 * time.Second
)

type (
	// engine is a model server. It may crash; then it is back after downtime as another incarnation at the same address.
	engine struct {
		name, phase, zone string
		address           string
		rig               *rig
		// crashes reports whether a request crashes the engine. It does so after afterEvents events of its answer.
		crashes     func(q *http.Request) bool
		afterEvents int

		mu       sync.Mutex
		starts   int
		current  *engineRun
		arrivals []*arrival
		crashed  []time.Time
	}

	// engineRun is one incarnation of an engine.
	engineRun struct {
		engine   *engine
		id       string
		listener net.Listener
		server   *http.Server
		ended    chan struct{}
		once     sync.Once

		mu    sync.Mutex
		conns map[net.Conn]bool
		holds map[string]int
		used  int
	}
)

func (r *rig) startEngine(name, phase, zone string) *engine {
	e := &engine{name: name, phase: phase, zone: zone, rig: r}
	e.start()
	return e
}

// start starts the next incarnation, which registers itself.
func (e *engine) start() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.starts++
	i := &engineRun{engine: e, id: fmt.Sprintf("i-%s%02x", e.name, e.starts), ended: make(chan struct{}), conns: map[net.Conn]bool{}, holds: map[string]int{}}
	if e.address == "" {
		e.address = e.rig.free(e.rig.address(201))
	}
	l, err := net.Listen("tcp4", e.address)
	for n := 0; err != nil && n < 50; n++ {
		time.Sleep(20 * time.Millisecond)
		l, err = net.Listen("tcp4", e.address)
	}
	if err != nil {
		e.rig.note("engine %s can't listen: %v", e.name, err)
		return
	}
	i.listener = l
	i.server = &http.Server{Handler: i, ConnState: i.track}
	e.current = i
	born := time.Now().UnixMilli()
	go func() { _ = i.server.Serve(l) }()
	go func() {
		for pause := rand.N(heartbeat); ; pause = heartbeat {
			select {
			case <-i.ended:
				return
			default:
			}
			e.rig.store.beat("servers/"+i.id, fmt.Sprintf(`{"service":"chat","address":%q,"zone":%q,"version":"v1","slots":64,"state":"ready","coldRemainingMs":0,"phase":%q,"models":[{"name":"m","version":1,"adapters":[]}],"sequence":1,"born":%d}`,
				e.address, e.zone, e.phase, born))
			select {
			case <-i.ended:
				return
			case <-time.After(pause):
			}
		}
	}()
}

func (i *engineRun) track(c net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if state == http.StateClosed {
		delete(i.conns, c)
		return
	}
	i.conns[c] = true
}

// crash ends the incarnation as the end of a process does: the listener and all connections close.
func (i *engineRun) crash(cause string) {
	i.once.Do(func() {
		e := i.engine
		close(i.ended)
		_ = i.server.Close()
		e.mu.Lock()
		e.crashed = append(e.crashed, time.Now())
		e.mu.Unlock()
		e.rig.note("engine %s crashes on %s", i.id, cause)
		time.AfterFunc(downtime, e.start)
	})
}

func (i *engineRun) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	h := w.Header()
	h["Date"] = nil
	id := q.Header.Get("Attempt-Id")
	if id != "" {
		h.Set("Attempt-Id", id)
	}
	if expected := q.Header.Get("Target-Instance"); expected != "" && expected != i.id {
		h.Set("Instance-Id", i.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, _ := io.ReadAll(q.Body)
	switch {
	case q.URL.Path == "/hold-take":
		i.take(w, body)
	case strings.HasPrefix(q.URL.Path, "/hold-drop/"):
		i.drop(strings.TrimPrefix(q.URL.Path, "/hold-drop/"))
	case strings.HasPrefix(q.URL.Path, "/kv-handle/"):
	case id == "":
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
	case (q.Header.Get("Inference-Phase") == "prefill") != (i.engine.phase == "prefill"):
		w.WriteHeader(http.StatusMisdirectedRequest)
	case i.engine.phase == "prefill":
		time.Sleep(prefillTime)
		h.Set("Content-Type", "application/json")
		fmt.Fprintf(w, `{"kvHandle":"%012x","tokens":1460,"version":1}`, rand.Uint64N(1<<48))
	default:
		i.decode(w, q, id)
	}
}

func (i *engineRun) take(w http.ResponseWriter, body []byte) {
	var t struct {
		Tokens int   `json:"tokens"`
		TTLMs  int64 `json:"ttlMs"`
	}
	if json.Unmarshal(body, &t) != nil || t.Tokens <= 0 || t.TTLMs > 2000 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	i.mu.Lock()
	full := i.used+t.Tokens > engineTokens || len(i.holds) >= 64
	hold := fmt.Sprintf("%012x", rand.Uint64N(1<<48))
	if !full {
		i.holds[hold], i.used = t.Tokens, i.used+t.Tokens
	}
	i.mu.Unlock()
	if full {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.AfterFunc(time.Duration(t.TTLMs)*time.Millisecond, func() { i.drop(hold) })
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, `{"hold":%q}`, hold)
}

// drop frees a hold that was not used, and returns its tokens.
func (i *engineRun) drop(hold string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.used -= i.holds[hold]
	delete(i.holds, hold)
}

func (i *engineRun) decode(w http.ResponseWriter, q *http.Request, id string) {
	e, h := i.engine, w.Header()
	a := &arrival{at: time.Now(), server: i.id, id: id, target: q.RequestURI, run: true}
	hold := q.Header.Get("Kv-Hold")
	i.mu.Lock()
	tokens, held := i.holds[hold]
	delete(i.holds, hold)
	i.mu.Unlock()
	e.mu.Lock()
	e.arrivals = append(e.arrivals, a)
	e.mu.Unlock()
	if !held {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		i.mu.Lock()
		i.used -= tokens
		i.mu.Unlock()
	}()
	h.Set("Server-Signature", "sig-"+i.id+"-"+id)
	h.Set("Content-Type", "text/event-stream")
	crashes := e.crashes != nil && e.crashes(q)
	last, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	for n := last + 1; n <= streamEvents; n++ {
		wait := eventPause
		if n == last+1 {
			wait = startup
		}
		if crashes && n > last+e.afterEvents {
			if n > last+1 {
				wait = 5 * time.Millisecond
			}
			time.Sleep(wait)
			i.crash(id)
			panic(http.ErrAbortHandler)
		}
		select {
		case <-time.After(wait):
		case <-i.ended:
			panic(http.ErrAbortHandler)
		case <-q.Context().Done():
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: twelve tokens of text\n\n", n)
		if http.NewResponseController(w).Flush() != nil {
			return
		}
	}
}

func (e *engine) seen() []*arrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]*arrival(nil), e.arrivals...)
}

func (e *engine) crashTimes() []time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]time.Time(nil), e.crashed...)
}
