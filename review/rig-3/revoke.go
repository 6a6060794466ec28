package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// revoke plays a drill after a key was taken away: the store is away for a second and comes back from a copy that is 4.5 s old. Two
// seconds later the operator has written its configuration again. One process is restarted in between. With TROUBLE=0 there is no
// drill.
func revoke(folder string) {
	r := newRig(folder)
	r.extra = map[string]any{
		"config_deadline_ms": 3000, "drain_ms": 3000, "key_revocation": map[string]any{"strict": true, "deadline_ms": 5000},
		"customer_quota": map[string]any{"window_s": 8, "overage": 0.25, "slack": 140000}, "reservation": map[string]any{"exceeded_share": 0.13},
	}
	const taken, kept = "key-that-is-taken-away", "key-that-stays"
	configure := func(version int, keys ...string) {
		r.store.put("op/config", map[string]any{"version": version, "routes": []any{plainRoute("non_idempotent", 3000)}, "services": []any{plainService()},
			"limits": limits(), "tenants": []any{map[string]any{"name": "insurer", "apiKeys": keys, "priority": 1}}})
		r.note("configuration acknowledged", "version", version, "keys", len(keys))
	}
	configure(7, taken, kept)
	var mu sync.Mutex
	ran := map[string]time.Time{}
	for range 3 {
		r.startPlain("wuno96b", func(p *plain, w http.ResponseWriter, q *http.Request) {
			mu.Lock()
			ran[q.Header.Get("Attempt-Id")] = time.Now()
			mu.Unlock()
			r.note("run", "server", p.id, "attempt", q.Header.Get("Attempt-Id"), "tenant", q.Header.Get("Tenant"))
			time.Sleep(60 * time.Millisecond)
			sign(w, q, "filed")
		})
	}
	r.addEntries(3)
	r.startAll()
	time.Sleep(5 * time.Second)
	copied := r.store.copy()
	r.note("copy of the store made")
	time.Sleep(500 * time.Millisecond)
	configure(8, kept)
	revoked := time.Now()
	sent := map[string]time.Time{}
	var wg sync.WaitGroup
	send := func(e *entry, key string) {
		q := request{method: "POST", path: "/puxa403/2f", body: "a claim", id: newID(), wait: 3 * time.Second,
			fields: []string{"Deadline-Ms: 3000", "X-Api-Key: " + key}}
		wg.Go(func() {
			if key == taken {
				mu.Lock()
				sent[q.id] = time.Now()
				mu.Unlock()
			}
			r.note("sent", "attempt", q.id, "entry", e.name, "key", key)
			r.note("answered", "attempt", q.id, "answer", q.sendNew(e.caller))
		})
	}
	at := func(after time.Duration, do func()) { time.AfterFunc(time.Until(revoked.Add(after)), do) }
	first := r.entries[0]
	if r.trouble {
		at(3000*time.Millisecond, func() { r.note("drill: the store is away"); r.store.leave() })
		at(4000*time.Millisecond, func() { r.note("drill: the store is back from the copy"); r.store.restore(copied) })
		at(6000*time.Millisecond, func() { configure(8, kept) })
	}
	at(4200*time.Millisecond, func() { first.kill(); first.start() })
	for time.Since(revoked) < 8*time.Second {
		for _, e := range r.entries {
			send(e, taken)
			send(e, kept)
		}
		time.Sleep(100 * time.Millisecond)
	}
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	late, keptRuns := 0, 0
	for id := range ran {
		if at, found := sent[id]; !found {
			keptRuns++
		} else if at.Sub(revoked) > 5*time.Second {
			late++
		}
	}
	r.note("sums", "late_runs_of_the_taken_key", late, "runs_of_the_kept_key", keptRuns)
	switch {
	case late > 0:
		r.finish(1, fmt.Sprintf("CONFIG: %d requests sent later than revokeMs after their key was taken away have run", late))
	case keptRuns == 0:
		r.finish(2, "no request with the kept key ran")
	}
	r.finish(0, fmt.Sprintf("held: %d requests with the kept key ran", keptRuns))
}
