package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// stale plays the restart of one process a second after a key was taken away. Another writer has 600 items in the store, so that a
// list has two pages; in reads that allow it, the second page is 2.5 s old. With TROUBLE=0 no process is restarted.
func stale(folder string) {
	r := newRig(folder)
	for n := range 600 {
		r.store.put(fmt.Sprintf("jobs/%04d", n), map[string]any{"job": n})
	}
	r.store.pageItems, r.store.staleFor = 500, 2500*time.Millisecond
	const taken, kept = "key-that-is-taken-away", keptKey
	r.configureKeys(7, taken, kept)
	runs := newRuns(r)
	for range 3 {
		r.startPlain("wuno96b", runs.handle)
	}
	// The first version and the servers are there for long.
	time.Sleep(3 * time.Second)
	r.addEntries(3)
	r.startAll()
	time.Sleep(5 * time.Second)
	r.configureKeys(8, kept)
	revoked := time.Now()
	if r.trouble {
		time.AfterFunc(time.Second, func() { r.entries[0].kill(); r.entries[0].start() })
	}
	var clients sync.WaitGroup
	for time.Since(revoked) < 15*time.Second {
		for _, e := range r.entries {
			runs.send(&clients, e, taken)
			runs.send(&clients, e, kept)
		}
		time.Sleep(100 * time.Millisecond)
	}
	clients.Wait()
	runs.judge(taken, revoked)
}

// tenants are the tenants of a configuration: one with these keys.
func tenants(keys ...string) []any {
	return []any{map[string]any{"name": "insurer", "apiKeys": keys, "priority": 1}}
}

// strictKeys are the settings that a site with strictRevoke adds.
func strictKeys() map[string]any {
	return map[string]any{
		"config_deadline_ms": 3000, "drain_ms": 3000, "key_revocation": map[string]any{"strict": true, "deadline_ms": revoke / time.Millisecond},
		"customer_quota": map[string]any{"window_s": 8, "overage": 0.25, "slack": 140000}, "reservation": map[string]any{"exceeded_share": 0.13},
	}
}

// configureKeys writes a version of the configuration in which a tenant has these keys.
func (r *rig) configureKeys(version int, keys ...string) {
	r.store.put("op/config", map[string]any{"version": version, "routes": []any{plainRoute("non_idempotent", 3000)}, "services": []any{plainService()},
		"limits": limits(), "tenants": tenants(keys...)})
	r.note("configuration acknowledged", "version", version, "keys", len(keys))
}

// revoke is revokeMs.
const revoke = 5 * time.Second

type (
	// runs holds the requests with keys, and which of them have run.
	runs struct {
		rig  *rig
		mu   sync.Mutex
		sent map[string]sentRequest
		ran  map[string]bool
	}

	sentRequest struct {
		key string
		at  time.Time
	}
)

func newRuns(r *rig) *runs {
	return &runs{rig: r, sent: map[string]sentRequest{}, ran: map[string]bool{}}
}

// handle runs a request at a server.
func (s *runs) handle(p *plain, w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("Attempt-Id")
	s.mu.Lock()
	s.ran[id] = true
	s.mu.Unlock()
	s.rig.note("run", "server", p.id, "attempt", id, "tenant", q.Header.Get("Tenant"))
	time.Sleep(60 * time.Millisecond)
	sign(w, q, "filed")
}

// send sends a request with a key.
func (s *runs) send(clients *sync.WaitGroup, e *entry, key string) {
	q := request{method: "POST", path: "/puxa403/2f", body: "a claim", id: newID(), wait: 3 * time.Second, fields: []string{"Deadline-Ms: 3000", "X-Api-Key: " + key}}
	clients.Go(func() {
		s.mu.Lock()
		s.sent[q.id] = sentRequest{key, time.Now()}
		s.mu.Unlock()
		s.rig.note("sent", "attempt", q.id, "entry", e.name, "key", key)
		s.rig.note("answered", "attempt", q.id, "answer", q.sendNew(e.caller))
	})
}

// judge ends the case by the runs of the key that was taken away at a time.
func (s *runs) judge(taken string, revoked time.Time) {
	s.mu.Lock()
	late, kept := 0, 0
	var last time.Duration
	for id := range s.ran {
		q := s.sent[id]
		switch after := q.at.Sub(revoked); {
		case q.key != taken:
			kept++
		case after > revoke:
			late++
			last = max(last, after)
		}
	}
	s.mu.Unlock()
	s.rig.note("sums", "late_runs_of_the_taken_key", late, "last_sent_s_after_the_acknowledgement", last.Seconds(), "runs_of_the_kept_key", kept)
	switch {
	case late > 0:
		s.rig.finish(1, fmt.Sprintf("CONFIG: %d requests sent later than revokeMs after their key was taken away have run, the last one sent %.1f s after the acknowledgement", late, last.Seconds()))
	case kept == 0:
		s.rig.finish(2, "no request with the kept key ran")
	}
	s.rig.finish(0, fmt.Sprintf("held: %d requests with the kept key ran", kept))
}
