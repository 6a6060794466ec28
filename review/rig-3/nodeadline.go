package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// nodeadline plays bookings that take 33 s, on a route whose timeout is 60 s, from clients that state no Deadline-Ms. With
// TROUBLE=0 they state it.
func nodeadline(folder string) {
	r := newRig(folder)
	const work, timeout = 33 * time.Second, 60 * time.Second
	r.store.put("op/config", map[string]any{"version": 7, "routes": []any{plainRoute("non_idempotent", int(timeout.Milliseconds()))},
		"services": []any{plainService()}, "limits": limits(), "tenants": tenants(keptKey)})
	var mu sync.Mutex
	ran := map[string]bool{}
	for range 3 {
		r.startPlain("wuno96b", func(p *plain, w http.ResponseWriter, q *http.Request) {
			id := q.Header.Get("Attempt-Id")
			r.note("run", "server", p.id, "attempt", id, "deadline_ms", q.Header.Get("Deadline-Ms"))
			if q.Header.Get("Short") == "" {
				time.Sleep(work)
			}
			mu.Lock()
			ran[id] = true
			mu.Unlock()
			sign(w, q, "booked")
			r.note("answered by the server", "server", p.id, "attempt", id)
		})
	}
	r.addEntries(3)
	r.startAll()
	time.Sleep(4 * time.Second)
	lost, whole := 0, 0
	var clients sync.WaitGroup
	for n := range 6 {
		clients.Go(func() {
			e := r.entries[n%3]
			c, err := net.Dial("tcp4", e.caller)
			check(err)
			defer func() { _ = c.Close() }()
			br := bufio.NewReader(c)
			before := request{method: "POST", path: "/puxa403/2f", body: "short", id: newID(), wait: 2 * time.Second, fields: []string{"Short: 1", "Deadline-Ms: 1500"}}.send(c, br)
			q := request{method: "POST", path: "/puxa403/2f", body: "long", id: newID(), wait: 70 * time.Second}
			if !r.trouble {
				q.fields = []string{fmt.Sprint("Deadline-Ms: ", timeout.Milliseconds())}
			}
			r.note("sent", "attempt", q.id, "entry", e.name, "answer_before_on_this_connection", before)
			a := q.send(c, br)
			r.note("answered", "attempt", q.id, "answer", a, "after_s", a.took.Seconds(), "ended_by", a.err)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case before.status != 200:
			case a.status != 0:
				whole++
			case ran[q.id]:
				lost++
			}
		})
	}
	clients.Wait()
	r.note("sums", "answered", whole, "closed_without_an_answer_though_it_ran", lost)
	switch {
	case lost > 3:
		r.finish(1, fmt.Sprintf("LOST: %d requests from kept connections ran at sound servers, and their connections were closed without an answer", lost))
	case whole == 0:
		r.finish(2, "no request was answered")
	}
	r.finish(0, fmt.Sprintf("held: %d answered, %d lost", whole, lost))
}
