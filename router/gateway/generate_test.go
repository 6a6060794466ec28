package gateway_test

import (
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gooseberrypin.example/router/gateway"
	"gooseberrypin.example/router/ingress"
	"gooseberrypin.example/router/reservation"
)

// bothDecodeEngines returns the same steps for both decode engines.
func bothDecodeEngines(steps ...step) map[string][]step {
	return map[string][]step{"g1": steps, "g2": steps}
}

// sequence returns the event IDs from the first to the last.
func sequence(from, to int) []int {
	var ids []int
	for id := from; id <= to; id++ {
		ids = append(ids, id)
	}
	return ids
}

// receivedIDs returns the IDs of the events that a caller received, separated by spaces.
func receivedIDs(a *recordedReply) string {
	var ids []string
	for l := range strings.Lines(a.String()) {
		if id, found := strings.CutPrefix(l, "id: "); found {
			ids = append(ids, strings.TrimSpace(id))
		}
	}
	return strings.Join(ids, " ")
}

func TestGenerate(t *testing.T) {
	const pause = 5 * time.Millisecond
	complete := step{events: sequence(1, 4), pause: pause}
	truncated := step{events: sequence(1, 2), pause: pause, err: errBroken}
	rest := step{events: sequence(3, 4), pause: pause}
	tests := map[string]struct {
		resumable bool
		steps     map[string][]step
		prefills  map[string][]gateway.PrefillResult
		want      string
		events    string
	}{
		"whole":                                  {false, bothDecodeEngines(complete), nil, "answered", "1 2 3 4"},
		"truncated, not resumable":               {false, bothDecodeEngines(truncated), nil, "upstream_lost/yes", "1 2"},
		"truncated, resumed":                     {true, bothDecodeEngines(truncated, rest), nil, "answered", "1 2 3 4"},
		"truncated, event repeated":              {true, bothDecodeEngines(truncated, step{events: sequence(2, 4), pause: pause}), nil, "answered", "1 2 3 4"},
		"truncated, IDs go on beyond":            {true, bothDecodeEngines(truncated, step{events: []int{4}, pause: pause}), nil, "answered", "1 2 4"},
		"truncated, last event skipped":          {true, bothDecodeEngines(truncated, step{events: []int{1, 4}, pause: pause}), nil, "upstream_lost/yes", "1 2"},
		"truncated twice":                        {true, bothDecodeEngines(truncated), nil, "upstream_lost/yes", "1 2"},
		"lost before the first event":            {false, bothDecodeEngines(step{result: gateway.Unknown{Err: errBroken}}), nil, "upstream_lost/unknown", ""},
		"lost before the first event, resumable": {true, bothDecodeEngines(step{result: gateway.Unknown{Err: errBroken}}, complete), nil, "answered", "1 2 3 4"},
		"decode rejected, prefilled again":       {false, bothDecodeEngines(step{result: gateway.NotRun{Reason: gateway.Full}}, complete), nil, "answered", "1 2 3 4"},
		"error answer":                           {false, bothDecodeEngines(step{status: 500, body: "internal error"}), nil, "answered", ""},
		"prefill lost":                           {false, bothDecodeEngines(complete), bothPrefillEngines(gateway.PrefillFailed{Err: errBroken}), "answered", "1 2 3 4"},
		"prefill rejected twice":                 {false, bothDecodeEngines(complete), bothPrefillEngines(gateway.PrefillFailed{Reason: gateway.Full}), "answered", "1 2 3 4"},
		"stalled, resumed":                       {true, bothDecodeEngines(step{events: []int{1, 2}, pause: time.Hour}, complete), nil, "answered", "1 2 3 4"},
		"no head, resumed":                       {true, bothDecodeEngines(step{after: time.Hour, events: []int{1}}, complete), nil, "answered", "1 2 3 4"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := &fakeUpstreams{}
				g := newGateway(t, f, ingress.Streaming{Resumable: tt.resumable, MaxGap: 50 * time.Millisecond}, gateway.WithRetryRatio(0.5))
				earnRetries(t, g, 10)
				f.prefills = tt.prefills
				f.reset(inSendOrder(tt.steps))
				a := &recordedReply{}
				is.Equal(outcome(g.Serve(t.Context(), request(), a)), tt.want)
				is.Equal(receivedIDs(a), tt.events)
				synctest.Wait()
			})
		})
	}
}

func bothPrefillEngines(first gateway.PrefillResult) map[string][]gateway.PrefillResult {
	return map[string][]gateway.PrefillResult{"p1": {first}, "p2": {first}}
}

// inSendOrder returns steps that the decode engines take in the order of the sends, whichever engine is chosen first.
func inSendOrder(steps map[string][]step) map[string][]step {
	return map[string][]step{anyUpstream: steps["g1"]}
}

// A request that gets no decode memory was never sent. Its refusal states that it did not run, and has a retry delay.
func TestNoMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &fakeUpstreams{reserve: func(string, int) reservation.Outcome { return reservation.Full{} }}
		g := newGateway(t, f, ingress.Streaming{})
		began := time.Now()
		refused := g.Serve(t.Context(), request(), &recordedReply{})
		is.Equal(outcome(refused), "overloaded/no")
		is.True(refused.RetryAfter > 0)
		is.Equal(time.Since(began), 1170*time.Millisecond)
		is.Equal(len(f.sends()), 0)
	})
}

// A reservation covers the prompt and the likely output rather than the longest one.
func TestReservationFollowsLengthHint(t *testing.T) {
	tests := map[string]struct {
		generation gateway.Generation
		want       int
	}{
		"length hint below the longest output": {gateway.Generation{PromptTokens: 1000, MaxOutputTokens: 2000, LengthHint: 100}, 1230},
		"length hint above the longest output": {gateway.Generation{PromptTokens: 1000, MaxOutputTokens: 200, LengthHint: 500}, 1200},
		"no length hint":                       {gateway.Generation{PromptTokens: 1000, MaxOutputTokens: 200}, 1200},
		"more than the memory of an engine":    {gateway.Generation{PromptTokens: 39_000, MaxOutputTokens: 20_000}, 40_000},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got := 0
			f := &fakeUpstreams{reserve: func(id string, tokens int) reservation.Outcome {
				got = tokens
				return reservation.Reserved{ID: id}
			}}
			g := newGateway(t, f, ingress.Streaming{})
			r := request()
			r.Generation = &tt.generation
			g.Serve(t.Context(), r, &recordedReply{})
			is.Equal(got, tt.want)
		})
	}
}

func TestPromptBeyondMemoryIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	f := &fakeUpstreams{}
	g := newGateway(t, f, ingress.Streaming{})
	r := request()
	r.Generation.PromptTokens = 40_001
	is.Equal(outcome(g.Serve(t.Context(), r, &recordedReply{})), "overloaded/no")
	is.Equal(len(f.sends()), 0)
}

// The KV cache and the reservation of a decode that was rejected are freed at their engines.
func TestRefusedDecodeFreesCacheAndReservation(t *testing.T) {
	is := is.New(t)
	f := &fakeUpstreams{steps: bothDecodeEngines(step{result: gateway.NotRun{Reason: gateway.Full}})}
	g := newGateway(t, f, ingress.Streaming{}, gateway.WithRetryRatio(0))
	is.Equal(outcome(g.Serve(t.Context(), request(), &recordedReply{})), "upstream_lost/no")
	is.Equal(len(f.freed), 2)
}

// A caller sends a refused request again. Its latency is measured from the first attempt, so it waits for memory
// behind requests that can still meet their target.
func TestCallerRetryIsMeasuredFromFirstTry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		full := true
		f := &fakeUpstreams{reserve: func(id string, _ int) reservation.Outcome {
			if full {
				return reservation.Full{}
			}
			return reservation.Reserved{ID: id}
		}}
		var sinceFirstTry []time.Duration
		g := newGateway(t, f, ingress.Streaming{}, gateway.WithObserver(func(r gateway.Record) { sinceFirstTry = append(sinceFirstTry, r.SinceFirstTry) }))
		refused := g.Serve(t.Context(), request(), &recordedReply{})
		is.Equal(outcome(refused), "overloaded/no")
		time.Sleep(refused.RetryAfter)
		full = false
		is.Equal(outcome(g.Serve(t.Context(), request(), &recordedReply{})), "answered")
		is.Equal(sinceFirstTry, []time.Duration{0, 1170*time.Millisecond + refused.RetryAfter})
	})
}

// Engines that reject requests must not cause a retry storm: the sends that reach engines beyond the first prefill and
// decode of each request stay within the retry budget.
func TestExtraSendsStayWithinRetryBudget(t *testing.T) {
	const requests, ratio = 400, 0.14
	tests := map[string]struct {
		steps           map[string][]step
		rejectsPrefills bool
	}{
		"decode rejected":   {bothDecodeEngines(step{result: gateway.NotRun{Reason: gateway.Full}}), false},
		"prefill rejected":  {nil, true},
		"streams truncated": {bothDecodeEngines(step{events: sequence(1, 2), err: errBroken}), false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakeUpstreams{steps: tt.steps}
				g := newGateway(t, f, ingress.Streaming{Resumable: true}, gateway.WithRetryRatio(ratio))
				for range requests {
					if tt.rejectsPrefills {
						f.prefills = bothPrefillEngines(gateway.PrefillFailed{Reason: gateway.Full})
					}
					g.Serve(t.Context(), request(), &recordedReply{})
					time.Sleep(100 * time.Millisecond)
				}
				prefillsSent := 0
				for _, id := range f.sends() {
					if id == "p1" || id == "p2" {
						prefillsSent++
					}
				}
				free := min(prefillsSent, requests)
				if tt.rejectsPrefills {
					free = 0
				}
				extra := len(f.sends()) - free - requests
				// The limit adds the burst of the budget and the debt of one round to the ratio.
				if limit := int(requests*ratio) + 10 + 2; extra > limit {
					t.Errorf("%d sends beyond the first prefill and decode of each request, want at most %d", extra, limit)
				}
				synctest.Wait()
			})
		})
	}
}

// A truncated stream waits for memory to resume, while another request waits that can still meet its target. The
// stream is not refused in favour of the other request.
func TestResumedStreamIsNotRefusedForOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &fakeUpstreams{}
		g := newGateway(t, f, ingress.Streaming{Resumable: true, MaxGap: 300 * time.Millisecond}, gateway.WithRetryRatio(0.5))
		earnRetries(t, g, 20)
		f.reset(inSendOrder(bothDecodeEngines(step{events: sequence(1, 40), pause: 50 * time.Millisecond, err: errBroken},
			step{events: sequence(41, 42), pause: time.Millisecond})))
		var mu sync.Mutex
		full := false
		f.reserve = func(id string, _ int) reservation.Outcome {
			mu.Lock()
			defer mu.Unlock()
			if full {
				return reservation.Full{}
			}
			return reservation.Reserved{ID: id}
		}
		setFull := func(to bool) {
			mu.Lock()
			defer mu.Unlock()
			full = to
		}
		time.AfterFunc(1900*time.Millisecond, func() {
			setFull(true)
			go g.Serve(t.Context(), request(), &recordedReply{})
		})
		time.AfterFunc(2600*time.Millisecond, func() { setFull(false) })
		a := &recordedReply{}
		is.Equal(outcome(g.Serve(t.Context(), request(), a)), "answered")
		is.Equal(len(strings.Fields(receivedIDs(a))), 42)
		time.Sleep(5 * time.Second)
	})
}
