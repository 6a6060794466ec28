package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

type (
	// engine is a model server that runs as a process of its own.
	engine struct {
		rig                      *rig
		id, phase, address, zone string
		born                     int64
		cmd                      *exec.Cmd
		args                     []string
		// crashed is called when the process has ended by itself.
		crashed func(*engine)
		// seen is called for each line that the process writes.
		seen func(*engine, report)
	}

	// report is a line of an engine: a request that reached it, or a run.
	report struct {
		What    string `json:"what"`
		Attempt string `json:"attempt"`
		Text    string `json:"text"`
	}
)

// tokensPerEvent is the number of tokens of most events.
const tokensPerEvent = 12

var incarnations atomic.Int64

// startEngine starts an engine at an address, as a new incarnation, and registers it.
func (r *rig) startEngine(e *engine) {
	e.rig, e.born = r, time.Now().UnixMilli()
	e.id = fmt.Sprintf("i-%s-%d", e.phase, incarnations.Add(1))
	self, err := os.Executable()
	check(err)
	args := append([]string{"engine", "-address", e.address, "-id", e.id, "-phase", e.phase}, e.args...)
	e.cmd = exec.Command(self, args...)
	e.cmd.Stderr = os.Stderr
	out, err := e.cmd.StdoutPipe()
	check(err)
	r.run(e.cmd)
	lines := bufio.NewScanner(out)
	if !lines.Scan() {
		r.finish(2, "an engine did not start")
	}
	e.register("ready")
	r.note("engine started", "id", e.id, "phase", e.phase)
	id := e.id
	go func(c *exec.Cmd) {
		for lines.Scan() {
			var p report
			if json.Unmarshal(lines.Bytes(), &p) == nil && e.seen != nil {
				e.seen(e, p)
			}
		}
		_ = c.Wait()
		r.note("engine ended", "id", id)
		if e.crashed != nil {
			e.crashed(e)
		}
	}(e.cmd)
}

func (e *engine) register(state string) {
	e.rig.store.put("servers/"+e.id, map[string]any{
		"service": "huvo11a", "address": e.address, "zone": e.zone, "version": "v1", "slots": 64, "state": state, "coldRemainingMs": 0,
		"phase": e.phase, "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}}, "sequence": 4, "born": e.born,
	})
}

// serveEngine is the process of an engine.
func serveEngine(args []string) {
	f := flag.NewFlagSet("engine", flag.ExitOnError)
	address := f.String("address", "", "")
	id := f.String("id", "", "")
	phase := f.String("phase", "decode", "")
	deadly := f.String("deadly", "", "part of a prompt that crashes the process")
	framing := f.String("framing", "chunked", "chunked or none: how a stream is delimited")
	events := f.Int("events", 6, "events of a stream; 0 takes the number of output tokens of the request")
	size := f.Int("size", 20, "bytes of the data of an event")
	early := f.Int("early", 0, "events before a crash")
	gap := f.Duration("gap", 40*time.Millisecond, "time between two events")
	prefill := f.Duration("prefill", 90*time.Millisecond, "time of a prefill")
	idsOf := f.String("ids", "events", "what the IDs of events count: events or tokens")
	_ = f.Parse(args)
	l := listen(*address)
	var mu sync.Mutex
	say := func(p report) {
		mu.Lock()
		defer mu.Unlock()
		b, _ := json.Marshal(p)
		fmt.Println(string(b))
	}
	say(report{What: "listening"})
	var numbers atomic.Int64
	h := func(w http.ResponseWriter, q *http.Request) {
		attempt := q.Header.Get("Attempt-Id")
		if attempt != "" {
			w.Header().Set("Attempt-Id", attempt)
		}
		if t := q.Header.Get("Target-Instance"); t != "" && t != *id {
			w.Header().Set("Instance-Id", *id)
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		switch {
		case q.URL.Path == "/hold-take":
			hold := fmt.Sprintf("h%d-%d", os.Getpid(), numbers.Add(1))
			say(report{What: "hold", Text: hold})
			writeJSON(w, map[string]any{"hold": hold})
			return
		case q.Method == http.MethodDelete:
			w.WriteHeader(http.StatusOK)
			return
		case q.URL.Path == "/report":
			writeJSON(w, map[string]any{"phase": *phase, "busy": false, "sequence": 0})
			return
		}
		isPrefill := q.Header.Get("Inference-Phase") == "prefill"
		say(report{"request", attempt, strings.TrimSpace(q.Header.Get("Prompt-Prefix") + " " + q.Header.Get("Last-Event-Id"))})
		if isPrefill != (*phase == "prefill") {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if isPrefill {
			select {
			case <-time.After(*prefill):
			case <-q.Context().Done():
				return
			}
			tokens, _, _ := strings.Cut(q.Header.Get("Token-Count"), ",")
			n, _ := strconv.Atoi(tokens)
			writeJSON(w, map[string]any{"kvHandle": fmt.Sprintf("%x%x", os.Getpid(), numbers.Add(1)), "tokens": n, "version": 1})
			return
		}
		kills := *deadly != "" && strings.Contains(q.Header.Get("Prompt-Prefix"), *deadly+":")
		stream(w, q, streaming{attempt: attempt, framing: *framing, events: *events, gap: *gap, kills: kills, early: *early, size: *size, say: say, tokens: *idsOf == "tokens"})
	}
	check(http.Serve(l, http.HandlerFunc(h)))
}

type streaming struct {
	attempt, framing string
	events, early    int
	size             int
	gap              time.Duration
	kills            bool
	tokens           bool
	say              func(report)
}

// stream writes the events of a run. With kills, the process ends as it begins to write.
func stream(w http.ResponseWriter, q *http.Request, s streaming) {
	c, buf, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: " + s.attempt + "\r\nServer-Signature: sig." + s.attempt + "\r\nConnection: close\r\n"
	if s.framing == "chunked" {
		head += "Transfer-Encoding: chunked\r\n"
	}
	_, _ = buf.WriteString(head + "\r\n")
	if buf.Flush() != nil {
		return
	}
	s.say(report{What: "run", Attempt: s.attempt, Text: q.Header.Get("Prompt-Prefix")})
	id, sent := 0, ""
	if _, output, _ := strings.Cut(q.Header.Get("Token-Count"), ","); s.events == 0 {
		tokens, _ := strconv.Atoi(output)
		s.events = tokens / tokensPerEvent
	}
	if last, err := strconv.Atoi(q.Header.Get("Last-Event-Id")); err == nil {
		id = last
		s.events -= last
	}
	for n := 1; n <= s.events; n++ {
		if s.kills && n > s.early {
			s.say(report{What: "crash", Attempt: s.attempt, Text: q.Header.Get("Prompt-Prefix")})
			_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
			select {}
		}
		time.Sleep(s.gap)
		id++
		if s.tokens {
			id += tokensPerEvent - 1
			if rand.Float64() < 0.3 {
				id += tokensPerEvent * (1 + rand.IntN(2))
			}
		}
		sent += fmt.Sprint(id, " ")
		event := fmt.Sprintf("id: %d\ndata: token %d %s\n\n", id, n, strings.Repeat("x", s.size))
		if s.framing == "chunked" {
			event = fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
		}
		_, _ = buf.WriteString(event)
		if buf.Flush() != nil {
			s.say(report{What: "cut", Attempt: s.attempt, Text: "ids " + strings.TrimSpace(sent)})
			return
		}
	}
	if s.framing == "chunked" {
		_, _ = buf.WriteString("0\r\n\r\n")
		_ = buf.Flush()
	}
	s.say(report{What: "ended", Attempt: s.attempt, Text: "ids " + strings.TrimSpace(sent)})
}
