package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

type (
	// crasher is a server of a plain service that crashes when it begins to run a request whose path names poison. It is back 1.5 s
	// later, as a new incarnation at the same address.
	crasher struct {
		rig     *rig
		address string
		reached func(path, id string)
		crashed func(path string)

		mu     sync.Mutex
		starts int
		id     string
		down   bool
		server *http.Server
	}
)

func (c *crasher) start() {
	c.mu.Lock()
	defer c.mu.Unlock()
	l, err := net.Listen("tcp4", c.address)
	for err != nil {
		time.Sleep(20 * time.Millisecond)
		l, err = net.Listen("tcp4", c.address)
	}
	c.starts++
	id := fmt.Sprintf("i-%s-%d", strings.ReplaceAll(c.address, ":", "-"), c.starts)
	c.id, c.down = id, false
	c.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { c.serve(id, w, q) })}
	go func(s *http.Server) { _ = s.Serve(l) }(c.server)
	c.rig.store.put("servers/"+id, map[string]any{"service": "wuno96b", "address": c.address, "zone": "sul-a", "version": "v1", "slots": 6,
		"state": "ready", "coldRemainingMs": 0, "sequence": 4, "born": time.Now().UnixMilli()})
}

func (c *crasher) serve(id string, w http.ResponseWriter, q *http.Request) {
	w.Header().Set("Attempt-Id", q.Header.Get("Attempt-Id"))
	if t := q.Header.Get("Target-Instance"); t != "" && t != id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !strings.Contains(q.URL.Path, "poison") {
		time.Sleep(30 * time.Millisecond)
		sign(w, q, "ok")
		return
	}
	c.reached(q.URL.Path, q.Header.Get("Attempt-Id"))
	c.mu.Lock()
	if !c.down && c.id == id {
		c.down = true
		c.crashed(q.URL.Path)
		go func(s *http.Server) {
			_ = s.Close()
			time.AfterFunc(3600*time.Millisecond, func() { c.rig.store.remove("servers/" + id) })
			time.Sleep(1500 * time.Millisecond)
			c.start()
		}(c.server)
	}
	c.mu.Unlock()
	<-q.Context().Done()
	panic(http.ErrAbortHandler)
}

// copies plays requests that crash the servers that run them: five copies at once of each of two contents, every 4 s, three times,
// for eight pairs of contents.
func copies(folder string) {
	r := newRig(folder)
	page := plainRoute("idempotent", 1500)
	page["name"], page["pathPrefix"] = "r-page", "/cufi504/"
	r.store.put("op/config", map[string]any{"version": 7, "routes": []any{plainRoute("non_idempotent", 1500), page}, "services": []any{plainService()}, "limits": limits(), "tenants": tenants(keptKey)})
	var mu sync.Mutex
	crashes, late := map[string]int{}, map[string]int{}
	third, sentAt := map[string]time.Time{}, map[string]time.Time{}
	for range 6 {
		c := &crasher{rig: r, address: freePort()}
		c.reached = func(path, id string) {
			r.note("reached", "path", path, "attempt", id, "server", c.address)
			mu.Lock()
			defer mu.Unlock()
			if at, found := third[path]; found && sentAt[id].Sub(at) > contact {
				late[path]++
			}
		}
		c.crashed = func(path string) {
			r.note("crash", "path", path, "server", c.address)
			mu.Lock()
			defer mu.Unlock()
			crashes[path]++
			if crashes[path] == 3 {
				third[path] = time.Now()
			}
		}
		c.start()
	}
	r.addEntries(4)
	r.startAll()
	go func() {
		for n := 0; ; n++ {
			time.Sleep(20 * time.Millisecond)
			sound := request{method: "GET", path: fmt.Sprintf("/cufi504/ok%d", n), id: newID(), wait: 2 * time.Second, fields: []string{"Deadline-Ms: 1500"}}
			go sound.sendNew(r.entries[n%4].caller)
		}
	}()
	time.Sleep(5 * time.Second)
	for pair := range 8 {
		for range 3 {
			for n := range 10 {
				q := request{method: "POST", path: fmt.Sprintf("/puxa403/poison-%d", pair), body: "same", id: newID(), wait: 2 * time.Second, fields: []string{"Deadline-Ms: 1500"}}
				if n%2 == 1 {
					q.method, q.path, q.body = "GET", fmt.Sprintf("/cufi504/poison-%d", pair), ""
				}
				mu.Lock()
				sentAt[q.id] = time.Now()
				mu.Unlock()
				if r.trouble {
					go q.sendNew(r.entries[rand.IntN(4)].caller)
				}
			}
			time.Sleep(4 * time.Second)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	worst := 0
	for _, n := range late {
		worst = max(worst, n)
	}
	r.note("sums", "crashes", crashes, "late", late)
	if worst > 3 {
		r.finish(1, fmt.Sprintf("BUDGET: a request that crashes servers reached servers %d times later than contactMs after its third crash", worst))
	}
	r.finish(0, fmt.Sprintf("held: %d times at most", worst))
}
