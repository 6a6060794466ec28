package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["stall"] = stall }

// stall: the connection to the store falls silent while it carries a large answer.
func stall() bool {
	s := startStore()
	l := startLink(s.addr, 10_000_000/8) // the machine has a link of 10 Mbit/s
	first := startServer(s, "i-old00001", "huvo11a", "", "sul-a")
	second := startServer(s, "i-new00001", "wuno96b", "", "sul-a")
	_ = second
	services := []object{plainService("huvo11a"), plainService("wuno96b")}
	routes := func(service string) []object {
		list := []object{route("r-1", "/puxa403/", "non_idempotent", service, 1500, 300, 1)}
		// Routes beside it, as in a configuration that has grown.
		for i := range 1500 {
			list = append(list, route(fmt.Sprintf("r-%05d", i), fmt.Sprintf("/pufi%05d/", i), "idempotent", "huvo11a", 1500, 300, 2))
		}
		return list
	}
	s.put("op/config", config(7, routes("huvo11a"), services))
	ip := freeIPs(1)[0]
	e := startEntry(fields(sulGrown(), "edge-sul-a-1", ip, freePorts([]string{ip}), l.addr, []string{}))
	e.awaitReady(15 * time.Second)
	time.Sleep(4 * time.Second)
	ask := func() answer {
		return send(e.front, request{method: "POST", host: host, path: "/puxa403/2f", body: "x", deadline: 1500 * time.Millisecond})
	}
	a := ask()
	note("before: %v, signature %s", a, a.header.Get("Server-Signature"))
	if a.status != 200 || !strings.Contains(a.header.Get("Server-Signature"), first.id) {
		panic("setup: the first configuration isn't served")
	}
	silentAt := make(chan time.Time, 1)
	if trouble {
		l.mu.Lock()
		l.silenceAfter, l.silenced = 100_000, func() { silentAt <- time.Now() }
		l.mu.Unlock()
	}
	s.put("op/config", config(9, routes("wuno96b"), services))
	acked := time.Now()
	note("version 9 is acknowledged: the route moves from huvo11a to wuno96b")
	var silent time.Time
	if trouble {
		select {
		case silent = <-silentAt:
			note("the open connections between the entry and the store fall silent; new ones work")
		case <-time.After(5 * time.Second):
			panic("setup: no connection carried the answer")
		}
	}
	const contact, deadline = 4 * time.Second, 3 * time.Second
	// The machine is in touch again contactMs after the reset of its connections.
	from := acked.Add(deadline)
	if inTouch := silent.Add(contact); trouble && inTouch.After(from) {
		from = inTouch
	}
	broken := 0
	for time.Since(acked) < 12*time.Second {
		a := ask()
		old := strings.Contains(a.header.Get("Server-Signature"), first.id)
		note("%v, run by %s, %.3f s after the acknowledgement, bound in force: %v", a, a.header.Get("Server-Signature"), a.sent.Sub(acked).Seconds(), a.sent.After(from))
		if old && a.sent.After(from) {
			broken++
		}
		time.Sleep(200 * time.Millisecond)
	}
	note("%d requests ran at the old service later than configDeadlineMs after the acknowledgement, on a machine in touch", broken)
	return broken > 0
}
