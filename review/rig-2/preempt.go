package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["preempt"] = preempt }

// preempt: a machine gets a SIGTERM while model servers preempt running streams. A preempted stream goes on with an event that
// holds the tokens of two, so that its ID is higher by twice the usual step.
func preempt() bool {
	const stride, events = 12, 40
	s := startStore()
	var ended sync.Map // the attempts whose streams the servers wrote to their end
	for i, phase := range []string{"prefill", "decode", "decode"} {
		v := startServer(s, fmt.Sprintf("i-%08x", 0x7f3a91c2+i), "huvo11a", phase, "sul-a")
		if phase != "decode" {
			continue
		}
		v.handle = func(w http.ResponseWriter, q *http.Request) bool {
			id := q.Header.Get("Attempt-Id")
			v.arrived(id, "run")
			w.Header().Set("Server-Signature", "sig-"+v.id+"-"+id)
			w.Header().Set("Content-Type", "text/event-stream")
			tokens := 0
			for n := 1; n <= events; n++ {
				step, wait := stride, 60*time.Millisecond
				if trouble && n == events/2 {
					step, wait = 2*stride, 250*time.Millisecond // preempted, and read in again
				}
				if !pause(q, wait) {
					note("server %s: the connection of request %s is closed after %d events", v.id, id, n-1)
					return true
				}
				tokens += step
				fmt.Fprintf(w, "id: %d\ndata: %d tokens of %s\n\n", tokens, step, id)
				w.(http.Flusher).Flush()
			}
			ended.Store(id, true)
			return true
		}
	}
	service := plainService("huvo11a")
	service["engine"] = object{"slots": 64, "kvCapacity": 42331, "stride": stride, "kvHoldS": 0.5, "holdMs": 2000.0}
	r := route("r-1", "/lohu930/", "streaming", "huvo11a", 14000, 900, 1)
	r["resumable"], r["targetGapMs"] = false, 300
	s.put("op/config", config(7, []object{r}, []object{service}))
	ip := "127.0.0.2"
	e := startEntry(fields(sul(), "edge-sul-a-1", ip, freePorts([]string{ip}), s.addr, []string{}))
	e.awaitReady(15 * time.Second)
	time.Sleep(4 * time.Second)
	var mu sync.Mutex
	var all sync.WaitGroup
	var answers []answer
	for range 10 {
		all.Go(func() {
			a := send(e.front, request{
				method: "POST", host: host, path: "/lohu930/2f", body: "x", deadline: 14 * time.Second,
				header: map[string]string{"Model": "m", "Token-Count": "1460,492", "Prompt-Prefix": "5c1e07a2:800," + newID() + ":660"},
			})
			mu.Lock()
			answers = append(answers, a)
			mu.Unlock()
		})
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(300 * time.Millisecond)
	var stopped time.Time
	if trouble {
		stopped = time.Now()
		note("SIGTERM to the machine that took the requests")
		e.signal(syscall.SIGTERM)
	}
	all.Wait()
	broken := 0
	for _, a := range answers {
		_, whole := ended.Load(a.id)
		note("%v, %d events, the server wrote all: %v", a, strings.Count(a.body, "\n\n"), whole)
		if !a.whole && trouble && a.done.Sub(stopped) < 6*time.Second {
			broken++
		}
	}
	note("%d streams ended without their end within 6 s of the SIGTERM, though no server broke one off", broken)
	return broken > 0
}
