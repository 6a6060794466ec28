package gateway_test

import (
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gooseberrypin.example/router/gateway"
	"gooseberrypin.example/router/ingress"
	"gooseberrypin.example/router/line"
	"gooseberrypin.example/router/quarantine"
)

// crashing plays engines that each die when they run the content: the stream breaks off and the
// engine takes no connection for a while.
func crashing(f *fake, dead map[string]bool) {
	f.reserve = func(id string, _ int) line.Outcome {
		f.mu.Lock()
		defer f.mu.Unlock()
		if dead[id] {
			return line.Failed{Err: syscall.ECONNREFUSED}
		}
		return line.Reserved{ID: id}
	}
	f.onBreak = func(id string) { dead[id] = true }
}

// Content that crashes engines takes two of them at most; the news of it keeps it from those of
// other entries as well.
func TestCrashingContentIsKeptFromEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &fake{}
		g := world(t, f, ingress.Streaming{Resumable: true}, gateway.WithRetryRatio(0.5))
		earn(t, g, 20)
		f.reset(engines(step{events: sequence(1, 2), pause: time.Millisecond, err: errBroken}))
		dead := make(map[string]bool)
		crashing(f, dead)
		is.Equal(outcome(g.Serve(t.Context(), request(), &reply{})), "upstream_lost/yes")
		// The engines' ends show when others find no memory there.
		other := request()
		other.Target, other.Path = "/y", "/y"
		g.Serve(t.Context(), other, &reply{})
		time.Sleep(5 * time.Second)
		f.mu.Lock()
		clear(dead)
		f.mu.Unlock()
		f.reset(nil)
		sent := len(f.sends())
		refused := g.Serve(t.Context(), request(), &reply{})
		is.Equal(outcome(refused), "quarantined/no")
		is.Equal(len(f.sends()), sent)
		harmless := request()
		harmless.Target, harmless.Path = "/z", "/z"
		is.Equal(outcome(g.Serve(t.Context(), harmless, &reply{})), "answered")

		second := world(t, &fake{}, ingress.Streaming{Resumable: true})
		second.MergeSuspects(g.Suspects(time.Now()), "10.1.0.2:8144", time.Now())
		is.Equal(outcome(second.Serve(t.Context(), request(), &reply{})), "quarantined/no")
		synctest.Wait()
	})
}

// Answers that are lost while their engines live on blame nobody.
func TestLostAnswersBlameNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &fake{}
		g := world(t, f, ingress.Streaming{Resumable: true}, gateway.WithRetryRatio(0.5))
		earn(t, g, 20)
		f.reset(engines(step{events: sequence(1, 2), pause: time.Millisecond, err: errBroken}))
		for range 5 {
			g.Serve(t.Context(), request(), &reply{})
			time.Sleep(5 * time.Second)
		}
		for _, s := range g.Suspects(time.Now()) {
			is.Equal(len(s.Crashes), 0)
		}
		f.reset(nil)
		is.Equal(outcome(g.Serve(t.Context(), request(), &reply{})), "answered")
		for _, s := range g.Suspects(time.Now()) {
			is.Equal(len(s.Unproven), 0)
		}
		synctest.Wait()
	})
}

// news returns what an entry tells of a request's content that crashed all upstreams of its pool.
func news(t *testing.T, kind ingress.Kind) []quarantine.Suspect {
	f := &fake{gone: map[string]bool{"d1": true, "d2": true, "g1": true, "g2": true}}
	cut := step{result: gateway.Unknown{Err: errBroken, ConnectionLost: true}}
	f.steps = map[string][]step{"d1": {cut}, "d2": {cut}, "g1": {cut}, "g2": {cut}}
	g := world(t, f, kind)
	for range 3 {
		g.Serve(t.Context(), request(), &reply{})
		time.Sleep(5 * time.Second)
	}
	return g.Suspects(time.Now())
}

// Content that other entries tell of while a request is on its way is not sent again, on any path.
func TestKeptContentIsNotSentOnAnyPath(t *testing.T) {
	const wait = 20 * time.Millisecond
	cut := step{after: wait, result: gateway.Unknown{Err: errBroken, ConnectionLost: true}}
	notRun := step{after: wait, result: gateway.NotRun{Reason: gateway.Full}}
	stream := ingress.Streaming{Resumable: true}
	tests := map[string]struct {
		kind ingress.Kind
		step step
		// heard is when the news comes.
		heard time.Duration
		// prefills are the answers of the prefill engines.
		prefill gateway.PrefillResult
		sends   int
	}{
		"first try of a call":             {kind: ingress.NonIdempotent{}, heard: 0, sends: 0},
		"first try of a stream":           {kind: stream, heard: 0, sends: 0},
		"retry":                           {kind: ingress.Idempotent{}, step: cut, heard: wait / 2, sends: 1},
		"hedge":                           {kind: ingress.Idempotent{}, step: step{after: time.Hour}, heard: wait, sends: 1},
		"after a call that was not run":   {kind: ingress.NonIdempotent{}, step: notRun, heard: wait / 2, sends: 1},
		"after a decode that was not run": {kind: stream, step: notRun, heard: wait / 2, sends: 2},
		"resume":                          {kind: stream, step: step{events: []int{1, 2}, pause: wait, err: errBroken}, heard: wait, sends: 2},
		"second prefill":                  {kind: stream, heard: wait / 2, prefill: gateway.PrefillFailed{Reason: gateway.NoAnswer, Err: errBroken, ConnectionLost: true}, sends: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				suspects := news(t, tt.kind)
				f := &fake{}
				g := world(t, f, tt.kind, gateway.WithRetryRatio(0.5))
				earn(t, g, 20)
				f.reset(map[string][]step{"d1": {tt.step}, "d2": {tt.step}, "g1": {tt.step}, "g2": {tt.step}})
				if tt.prefill != nil {
					f.prefillTime = wait
					f.prefills = map[string][]gateway.PrefillResult{"p1": {tt.prefill}, "p2": {tt.prefill}}
				}
				before := len(f.sends())
				hear := func() { g.MergeSuspects(suspects, "10.1.0.2:8144", time.Now()) }
				if tt.heard == 0 {
					hear()
				} else {
					time.AfterFunc(tt.heard, hear)
				}
				g.Serve(t.Context(), request(), &reply{})
				is.Equal(len(f.sends())-before, tt.sends)
				synctest.Wait()
			})
		})
	}
}

// A refusal of content that is kept from upstreams tells the truth, and when to come back.
func TestKeptContentIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		suspects := news(t, ingress.NonIdempotent{})
		g := world(t, &fake{}, ingress.NonIdempotent{})
		g.MergeSuspects(suspects, "", time.Now())
		began := time.Now()
		refused := g.Serve(t.Context(), request(), &reply{})
		is.Equal(outcome(refused), "quarantined/no")
		is.True(refused.RetryAfter > time.Minute)
		is.Equal(time.Since(began), time.Duration(0))
		synctest.Wait()
	})
}

// An upstream that is silent until its caller's time is up is asked for a connection: it may have ended.
func TestSilentUpstreamIsAskedForAConnection(t *testing.T) {
	tests := map[string]struct {
		gone map[string]bool
		want string
	}{
		"ended":     {map[string]bool{"d1": true, "d2": true}, "quarantined/no"},
		"lives on":  {nil, "deadline/unknown"},
		"one ended": {map[string]bool{"d1": true}, "deadline/unknown"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := &fake{steps: both(step{after: time.Hour}), gone: tt.gone, endsOnce: true}
				g := world(t, f, ingress.NonIdempotent{})
				for range 3 {
					g.Serve(t.Context(), request(), &reply{})
					time.Sleep(time.Second)
				}
				is.Equal(outcome(g.Serve(t.Context(), request(), &reply{})), tt.want)
				synctest.Wait()
			})
		})
	}
}

// A silent stream that this process leaves for another engine speaks against nobody.
func TestStreamThatIsLeftBlamesNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &fake{}
		g := world(t, f, ingress.Streaming{Resumable: true, MaxGap: 50 * time.Millisecond}, gateway.WithRetryRatio(0.5))
		earn(t, g, 20)
		f.reset(engines(step{events: []int{1, 2}, pause: time.Hour}))
		is.Equal(outcome(g.Serve(t.Context(), request(), &reply{})), "deadline/yes")
		is.Equal(len(f.sends()), 4) // two prefills and two decodes
		is.Equal(len(g.Suspects(time.Now())), 0)
		synctest.Wait()
	})
}

// An upstream that fails a request by its own answer has not run it to its end: that clears nobody.
func TestFailedAnswersClearNobody(t *testing.T) {
	tests := map[string]struct {
		kind   ingress.Kind
		status int
		counts int
	}{
		"a call's failure":   {ingress.NonIdempotent{}, 500, 1},
		"a call's answer":    {ingress.NonIdempotent{}, 200, 0},
		"a stream's failure": {ingress.Streaming{}, 500, 1},
		"a stream's answer":  {ingress.Streaming{}, 200, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				all := func(s step) map[string][]step {
					return map[string][]step{"d1": {s}, "d2": {s}, "g1": {s}, "g2": {s}}
				}
				f := &fake{steps: all(step{result: gateway.Unknown{Err: errBroken, ConnectionLost: true}}), gone: map[string]bool{"d1": true, "d2": true, "g1": true, "g2": true}}
				g := world(t, f, tt.kind)
				g.Serve(t.Context(), request(), &reply{})
				time.Sleep(5 * time.Second)
				f.reset(all(step{status: tt.status, body: "id: 1\n\n"}))
				g.Serve(t.Context(), request(), &reply{})
				for _, s := range g.Suspects(time.Now()) {
					is.Equal(len(s.Crashes), tt.counts)
				}
				synctest.Wait()
			})
		})
	}
}
