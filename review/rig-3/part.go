package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	contact = 4 * time.Second
	// deadly is the part of a prompt that crashes each server that begins to write an answer on it.
	deadly = "dead0001"
)

// part plays such a part. The streams of the model servers have neither a length nor chunks and end with their connection;
// FRAMING=chunked gives them chunks instead. A server that crashes is a process that is killed; it is back after 2 s.
func part(folder string) {
	r := newRig(folder)
	r.store.put("op/config", map[string]any{"version": 7, "routes": []any{streamRoute(1, false)}, "services": []any{engineService()}, "limits": limits(), "tenants": tenants(keptKey)})
	framing := "none"
	if f := os.Getenv("FRAMING"); f != "" {
		framing = f
	}
	args := []string{"-framing", framing}
	if r.trouble {
		args = append(args, "-deadly", deadly)
	}
	var mu sync.Mutex
	var fifth time.Time
	crashes, reached, reachedLate := 0, 0, 0
	seen := func(e *engine, p report) {
		r.note("engine "+p.What, "id", e.id, "attempt", p.Attempt, "prefix", p.Text)
		mu.Lock()
		defer mu.Unlock()
		switch {
		case p.What == "crash":
			crashes++
			if crashes == 5 {
				fifth = time.Now()
				r.note("fifth crash")
			}
		case p.What == "request" && e.phase == "decode" && strings.Contains(p.Text, deadly+":"):
			reached++
			if !fifth.IsZero() && time.Since(fifth) > contact {
				reachedLate++
			}
		}
	}
	r.startEngines(args, seen, func(e *engine) {
		id := e.id
		time.AfterFunc(3600*time.Millisecond, func() { r.store.remove("servers/" + id) })
		time.Sleep(2 * time.Second)
		r.startEngine(e)
	})
	r.addEntries(3)
	r.startAll()
	time.Sleep(4 * time.Second)
	sound, soundWhole, emptyWhole := 0, 0, 0
	var clients sync.WaitGroup
	for n, stop := 0, time.Now().Add(40*time.Second); time.Now().Before(stop); n++ {
		time.Sleep(250 * time.Millisecond)
		e, isDeadly := r.entries[n%3], n%2 == 1
		prefix := fmt.Sprintf("a11a0001:200,b%07x:400,%08x:250", n%7, 0x1000000+n)
		if isDeadly {
			prefix = fmt.Sprintf("a11a0001:200,%s:400,%08x:250", deadly, 0x2000000+n)
		}
		q := generation(n, prefix, "850,40")
		clients.Go(func() {
			r.note("sent", "attempt", q.id, "entry", e.name, "prefix", prefix)
			a := q.sendNew(e.caller)
			r.note("answered", "attempt", q.id, "answer", a)
			mu.Lock()
			defer mu.Unlock()
			whole := a.status == 200 && a.complete
			switch {
			case !isDeadly:
				sound++
				if whole && strings.Contains(a.body, "token 6") {
					soundWhole++
				}
			case whole && a.body == "":
				emptyWhole++
			}
		})
	}
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	r.note("sums", "crashes", crashes, "reached", reached, "reached_late", reachedLate, "empty_answers_that_look_complete", emptyWhole, "sound", sound, "sound_whole", soundWhole)
	if reachedLate > 3 {
		r.finish(1, fmt.Sprintf("BUDGET: %d requests with the part reached servers later than contactMs after the fifth crash, of %d crashes", reachedLate, crashes))
	}
	r.finish(0, fmt.Sprintf("held: %d requests with the part reached servers later than contactMs after the fifth crash, of %d crashes", reachedLate, crashes))
}
