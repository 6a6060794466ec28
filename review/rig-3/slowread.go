package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// slowread plays clients that read slowly while model servers are emptied: they read the beginning of their streams, nothing for
// 7 s, and then the rest. Meanwhile 1 of 9 servers reports that it is draining; it serves for drainMs and 1.5 s more, and ends.
// With TROUBLE=0 the clients read at once.
func slowread(folder string) {
	r := newRig(folder)
	const drain, longer, pause = 3 * time.Second, 1500 * time.Millisecond, 7 * time.Second
	r.store.put("op/config", map[string]any{"version": 7, "routes": []any{streamRoute(2, true)}, "services": []any{engineService()}, "limits": limits(), "tenants": tenants(keptKey)})
	var mu sync.Mutex
	var leaving []*engine
	drained := map[string]time.Time{}
	late := 0
	seen := func(e *engine, p report) {
		r.note("engine "+p.What, "id", e.id, "attempt", p.Attempt, "text", p.Text)
		mu.Lock()
		defer mu.Unlock()
		if at, found := drained[e.id]; found && p.What == "request" && time.Since(at) > drain {
			late++
			r.note("late", "id", e.id, "attempt", p.Attempt, "after_the_acknowledgement_s", time.Since(at).Seconds())
		}
	}
	engines := r.startEngines([]string{"-events", "0", "-size", "2000"}, seen, nil)
	for _, e := range engines {
		if e.phase == "decode" && len(leaving) < 1 {
			leaving = append(leaving, e)
		}
	}
	r.addEntries(3)
	r.startAll()
	var clients sync.WaitGroup
	for n := range 900 {
		time.Sleep(30 * time.Millisecond)
		q := generation(n, fmt.Sprintf("a11a0001:200,%08x:650", n), "850,24")
		clients.Go(func() { _ = q.sendNew(r.entries[n%3].caller) })
	}
	clients.Wait()
	r.note("the clients begin")
	whole, broken := 0, 0
	for n := range 30 {
		clients.Go(func() {
			e := r.entries[n%3]
			q := generation(1000+n, fmt.Sprintf("a11a0001:200,%08x:650", 1000+n), "850,720")
			d := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
				return c.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) })
			}}
			c, err := d.Dial("tcp4", e.caller)
			check(err)
			defer func() { _ = c.Close() }()
			r.note("sent", "attempt", q.id, "entry", e.name)
			_ = c.SetDeadline(time.Now().Add(16 * time.Second))
			_, _ = io.WriteString(c, q.bytes())
			br := bufio.NewReaderSize(c, 512)
			a, err := http.ReadResponse(br, &http.Request{Method: "POST"})
			var body []byte
			if err == nil {
				if r.trouble {
					time.Sleep(pause)
				}
				body, err = io.ReadAll(a.Body)
			}
			r.note("answered", "attempt", q.id, "events", strings.Count(string(body), "id: "), "ended_by", err)
			mu.Lock()
			defer mu.Unlock()
			if err == nil && strings.Count(string(body), "id: ") == 60 {
				whole++
			} else {
				broken++
			}
		})
	}
	time.Sleep(3500 * time.Millisecond)
	for _, e := range leaving {
		e.register("draining")
		mu.Lock()
		drained[e.id] = time.Now()
		mu.Unlock()
		r.note("the store has accepted that the server is draining", "id", e.id)
	}
	time.Sleep(drain + longer)
	for _, e := range leaving {
		_ = e.cmd.Process.Kill()
		r.store.remove("servers/" + e.id)
		r.note("the server has left", "id", e.id)
	}
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	r.note("sums", "late", late, "whole", whole, "broken_off", broken)
	switch {
	case late > 0:
		r.finish(1, fmt.Sprintf("DRAIN: %d requests reached servers later than drainMs after the store had accepted that these are draining; %d streams whole, %d broken off", late, whole, broken))
	case whole == 0:
		r.finish(2, "no stream was answered")
	}
	r.finish(0, fmt.Sprintf("held: %d streams whole, %d broken off", whole, broken))
}
