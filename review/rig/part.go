package main

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	chatConfig = `{"version":7,"routes":[` +
		`{"name":"once","host":"a.example","pathPrefix":"/once/","kind":"streaming","timeoutMs":14000,"targetLatencyMs":900,"priority":1,"service":"chat","maxAttempts":1,"sessionAffinity":true,"resumable":false,"targetGapMs":300}],` +
		`"services":[{"name":"chat","healthPath":"/health","maxConnections":360,"protocol":"h1","tls":false,"engine":{"slots":64,"kvCapacity":42331,"kvTokenBytes":163840,"linkMbps":1400000.0,"moves":true,"backups":true,"stride":12,"most":12,"kvHoldS":0.5,"reconfigS":6.0,"pinMs":4000.0,"holdMs":2000.0,"models":[{"name":"m"}]}}],` +
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`
	badPart = "5ba7c0de"
	// promptTokens is the length of all prompts.
	promptTokens = 1460
)

type (
	// generation is one attempt of a client at a stream.
	generation struct {
		id          string
		entry       *entry
		at          time.Time
		bad         bool
		begun, done bool
		status      int
	}

	// generations holds what the clients of streams sent.
	generations struct {
		mu  sync.Mutex
		all []*generation
	}
)

// stream sends a generation with the given parts and one of its own, and reads the answer to its end.
func (g *generations) stream(e *entry, bad bool, parts ...string) {
	s := &generation{id: attemptID(), entry: e, at: time.Now(), bad: bad}
	g.mu.Lock()
	g.all = append(g.all, s)
	g.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), 14*time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.front+"/once/"+s.id, strings.NewReader("prompt of "+s.id))
	if err != nil {
		fail("request: %w", err)
	}
	list, left, each := []string{}, promptTokens, min(200, promptTokens/(len(parts)+1))
	for _, p := range parts {
		list, left = append(list, fmt.Sprintf("%s:%d", p, each)), left-each
	}
	list = append(list, fmt.Sprintf("%08x:%d", rand.Uint32(), left))
	q.Host = "a.example"
	q.Header = http.Header{"Attempt-Id": {s.id}, "Deadline-Ms": {"14000"}, "Model": {"m"}, "Token-Count": {fmt.Sprintf("%d,120", promptTokens)},
		"Length-Hint": {"110"}, "Prompt-Prefix": {strings.Join(list, ",")}}
	a, err := streamClient.Do(q)
	if err != nil {
		return
	}
	defer func() { _ = a.Body.Close() }()
	events := 0
	// A client leaves a stream after a gap of four times the objective.
	gap := time.AfterFunc(3600*time.Millisecond, cancel)
	for lines := bufio.NewScanner(a.Body); lines.Scan(); {
		gap.Reset(3600 * time.Millisecond)
		if strings.HasPrefix(lines.Text(), "id:") {
			events++
			g.mu.Lock()
			s.begun = a.StatusCode == http.StatusOK
			g.mu.Unlock()
		}
	}
	g.mu.Lock()
	s.status, s.done = a.StatusCode, events == streamEvents
	g.mu.Unlock()
}

var streamClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}

// playOutage: one part of prompts crashes each engine that begins to write an answer on it: it ends after the first event.
// Requests with it come ten at once.
func playOutage(r *rig) bool {
	_, starved := r.playCrashingPart(0, 1, 10, 2500*time.Millisecond)
	return starved
}

// playManyParts: the same part stands behind 131 others, and the engine ends before the first event. Requests with it come
// one by one.
func playManyParts(r *rig) bool {
	late, _ := r.playCrashingPart(130, 0, 1, 500*time.Millisecond)
	return late > 3
}

// playCrashingPart plays requests with a part that crashes engines, after a number of events, among sound ones. All prompts
// have a first part, a number of further ones, and a last one of their own. It returns how many requests with the part reached
// decode engines later than contactMs after the fifth crash, and whether sound requests began less than half as often.
func (r *rig) playCrashingPart(further, afterEvents, burst int, interval time.Duration) (late int, starved bool) {
	const perEntry = 18.0
	r.store.put("op/config", chatConfig)
	var engines []*engine
	for n := range 11 {
		phase := "decode"
		if n < 3 {
			phase = "prefill"
		}
		e := r.startEngine(fmt.Sprintf("7f3a9%x", n), phase, fmt.Sprintf("z-%c", 'a'+n%3))
		e.crashes = func(q *http.Request) bool { return strings.Contains(q.Header.Get("Prompt-Prefix"), badPart) }
		e.afterEvents = afterEvents
		engines = append(engines, e)
	}
	r.startFleet(3)
	// The process of the first start may turn engines before it serves; here as many read prompts as it keeps.
	time.Sleep(5 * time.Second)
	g := &generations{}
	common := []string{"91bd3f06"}
	for n := range further {
		common = append(common, fmt.Sprintf("c0%06x", n))
	}
	began := time.Now()
	end := began.Add(40 * time.Second)
	incident := began.Add(12 * time.Second)
	var wg sync.WaitGroup
	for _, e := range r.entries {
		wg.Go(func() {
			for time.Now().Before(end) {
				wg.Go(func() { g.stream(e, false, common...) })
				time.Sleep(time.Duration(rand.ExpFloat64() * float64(time.Second) / perEntry))
			}
		})
	}
	if r.trouble {
		time.Sleep(time.Until(incident))
		r.note("requests with the part %s come from now on", badPart)
		for n := 0; time.Now().Before(end); {
			for range burst {
				wg.Go(func() { g.stream(r.entries[n%len(r.entries)], true, append(slices.Clone(common), badPart)...) })
				n++
			}
			time.Sleep(interval)
		}
	}
	wg.Wait()
	for _, s := range g.all {
		r.note("sent %s to %s at %.3f s, with the part: %v; status %d, begun %v, whole %v", s.id, s.entry.name, s.at.Sub(r.began).Seconds(), s.bad, s.status, s.begun, s.done)
	}
	for _, e := range engines {
		for _, a := range e.seen() {
			r.note("ran %s at %s from %.3f s", a.id, a.server, a.at.Sub(r.began).Seconds())
		}
	}
	var crashes []time.Time
	for _, e := range engines {
		crashes = append(crashes, e.crashTimes()...)
	}
	slices.SortFunc(crashes, time.Time.Compare)
	bad := map[string]bool{}
	for _, s := range g.all {
		bad[s.id] = s.bad
	}
	if len(crashes) >= 5 {
		from := crashes[4].Add(contactTime)
		for _, e := range engines {
			for _, a := range e.seen() {
				if bad[a.id] && a.at.After(from) {
					late++
					r.note("request %s with the part reached %s at %.3f s", a.id, a.server, a.at.Sub(r.began).Seconds())
				}
			}
		}
		r.note("the fifth crash was at %.3f s", crashes[4].Sub(r.began).Seconds())
	}
	share := func(from, until time.Time) (float64, int) {
		begun, sent := 0, 0
		for _, s := range g.all {
			if !s.bad && s.at.After(from) && s.at.Before(until) {
				sent++
				if s.begun {
					begun++
				}
			}
		}
		return float64(begun) / float64(max(1, sent)), sent
	}
	before, n := share(began.Add(time.Second), incident)
	r.note("sound requests before: %.2f of %d began", before, n)
	if len(crashes) >= 5 {
		during, n := share(crashes[4].Add(2*contactTime), end)
		r.note("sound requests from twice contactMs after the fifth crash: %.2f of %d began", during, n)
		starved = n >= 20 && during < before/2
	}
	r.note("%d crashes; %d requests with the part reached decode engines later than contactMs after the fifth crash, 3 are allowed; sound requests starved: %v", len(crashes), late, starved)
	return late, starved
}
