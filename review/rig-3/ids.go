package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// ids plays sound model servers whose events have increasing IDs: the number of tokens so far. Most events have 12 tokens, some have
// 24 or 36. With TROUBLE=0 the IDs number the events.
func ids(folder string) {
	r := newRig(folder)
	r.store.put("op/config", map[string]any{"version": 7, "routes": []any{streamRoute(1, false), plainRoute("idempotent", 1500)},
		"services": []any{engineService(), plainService()}, "limits": limits()})
	seen := func(e *engine, p report) {
		r.note("engine "+p.What, "id", e.id, "attempt", p.Attempt, "text", p.Text)
	}
	args := []string{"-events", "20"}
	if r.trouble {
		args = append(args, "-ids", "tokens")
	}
	r.startEngines(args, seen, nil)
	r.startPlain("wuno96b", func(_ *plain, w http.ResponseWriter, q *http.Request) { sign(w, q, "state") })
	r.addEntries(3)
	r.startAll()
	time.Sleep(4 * time.Second)
	cut, whole := 0, 0
	var mu sync.Mutex
	var clients sync.WaitGroup
	for n := range 9 {
		clients.Go(func() {
			e := r.entries[n%3]
			for k := range 10 {
				c, err := net.Dial("tcp4", e.caller)
				check(err)
				br := bufio.NewReader(c)
				before := request{method: "GET", path: "/puxa403/2f", id: newID(), wait: 2 * time.Second, fields: []string{"Deadline-Ms: 1500"}}.send(c, br)
				q := generation(n*100+k, fmt.Sprintf("a11a0001:200,%08x:650", n*100+k), "850,720")
				r.note("sent", "attempt", q.id, "entry", e.name, "answer_before_on_this_connection", before)
				a := q.send(c, br)
				r.note("answered", "attempt", q.id, "answer", a, "events", strings.Count(a.body, "id:"), "ended_by", a.err)
				_ = c.Close()
				mu.Lock()
				switch {
				case before.status != 200:
				case a.complete:
					whole++
				default:
					cut++
				}
				mu.Unlock()
			}
		})
	}
	clients.Wait()
	time.Sleep(300 * time.Millisecond)
	r.note("sums", "whole", whole, "cut", cut)
	switch {
	case cut > 3:
		r.finish(1, fmt.Sprintf("LOST: %d of %d streams of sound servers were broken off, and their kept connections closed", cut, cut+whole))
	case whole == 0:
		r.finish(2, "no stream was answered")
	}
	r.finish(0, fmt.Sprintf("held: %d whole, %d broken off", whole, cut))
}
