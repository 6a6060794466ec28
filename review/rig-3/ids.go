package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// ids plays sound model servers whose events have increasing IDs: the number of tokens so far. Most events have 12 tokens, some have
// 24 or 36. The last streams are under way while a process is stopped in a planned way. With TROUBLE=0 the IDs number the events.
func ids(folder string) {
	r := newRig(folder)
	r.store.put("op/config", map[string]any{"version": 7, "routes": []any{streamRoute(1, false), plainRoute("idempotent", 1500)},
		"services": []any{engineService(), plainService()}, "limits": limits(), "tenants": tenants(keptKey)})
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
	cutInStop, wholeInStop := 0, 0
	for n := range 30 {
		clients.Go(func() {
			q := generation(2000+n, fmt.Sprintf("a11a0001:200,%08x:650", 2000+n), "850,720")
			r.note("sent", "attempt", q.id, "entry", r.entries[0].name)
			a := q.sendNew(r.entries[0].caller)
			r.note("answered", "attempt", q.id, "answer", a, "events", strings.Count(a.body, "id:"), "ended_by", a.err)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case a.complete:
				wholeInStop++
			case a.status == 200:
				cutInStop++
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	r.note("SIGTERM", "entry", r.entries[0].name)
	_ = r.entries[0].cmd.Process.Signal(syscall.SIGTERM)
	clients.Wait()
	time.Sleep(300 * time.Millisecond)
	r.note("sums", "whole", whole, "cut", cut, "whole_in_the_stop", wholeInStop, "cut_in_the_stop", cutInStop)
	switch {
	case cut > 3 || cutInStop > 0:
		r.finish(1, fmt.Sprintf("LOST: %d of %d streams of sound servers were broken off, and their kept connections closed; %d of %d more in a planned stop",
			cut, cut+whole, cutInStop, cutInStop+wholeInStop))
	case whole == 0:
		r.finish(2, "no stream was answered")
	}
	r.finish(0, fmt.Sprintf("held: %d whole, %d broken off", whole, cut))
}
