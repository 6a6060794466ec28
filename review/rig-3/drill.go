package main

import (
	"sync"
	"time"
)

// drill plays a drill after a key was taken away: the store is away for a second and comes back from a copy that is 4.5 s old. Two
// seconds later the operator has written its configuration again. One process is restarted in between. With TROUBLE=0 there is no
// drill.
func drill(folder string) {
	r := newRig(folder)
	const taken, kept = "key-that-is-taken-away", keptKey
	r.configureKeys(7, taken, kept)
	runs := newRuns(r)
	for range 3 {
		r.startPlain("wuno96b", runs.handle)
	}
	r.addEntries(3)
	r.startAll()
	time.Sleep(5 * time.Second)
	copied := r.store.copy()
	r.note("copy of the store made")
	time.Sleep(500 * time.Millisecond)
	r.configureKeys(8, kept)
	revoked := time.Now()
	at := func(after time.Duration, do func()) { time.AfterFunc(time.Until(revoked.Add(after)), do) }
	if r.trouble {
		at(3000*time.Millisecond, func() { r.note("drill: the store is away"); r.store.leave() })
		at(4000*time.Millisecond, func() { r.note("drill: the store is back from the copy"); r.store.restore(copied) })
		at(6000*time.Millisecond, func() { r.configureKeys(8, kept) })
	}
	first := r.entries[0]
	at(4200*time.Millisecond, func() { first.kill(); first.start() })
	var clients sync.WaitGroup
	for time.Since(revoked) < 8*time.Second {
		for _, e := range r.entries {
			runs.send(&clients, e, taken)
			runs.send(&clients, e, kept)
		}
		time.Sleep(100 * time.Millisecond)
	}
	clients.Wait()
	runs.judge(taken, revoked)
}
