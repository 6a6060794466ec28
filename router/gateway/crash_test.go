package gateway_test

import (
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gooseberrypin.example/router/gateway"
	"gooseberrypin.example/router/ingress"
	"gooseberrypin.example/router/quarantine"
	"gooseberrypin.example/router/reservation"
)

// crashOnTruncatedStream makes each engine crash when it truncates a stream. It then refuses connections until the test
// deletes it from crashed.
func crashOnTruncatedStream(f *fakeUpstreams, crashed map[string]bool) {
	f.reserve = func(id string, _ int) reservation.Outcome {
		f.mu.Lock()
		defer f.mu.Unlock()
		if crashed[id] {
			return reservation.Failed{Err: syscall.ECONNREFUSED}
		}
		return reservation.Reserved{ID: id}
	}
	f.onTruncatedStream = func(id string) { crashed[id] = true }
}

// Content that crashes engines is quarantined after two crashes. Another entry that receives the suspects does not
// send it to its engines either.
func TestCrashingContentIsQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &fakeUpstreams{}
		g := newGateway(t, f, ingress.Streaming{Resumable: true}, gateway.WithRetryRatio(0.5))
		earnRetries(t, g, 20)
		f.reset(bothDecodeEngines(step{events: sequence(1, 2), pause: time.Millisecond, err: errBroken}))
		crashed := make(map[string]bool)
		crashOnTruncatedStream(f, crashed)
		is.Equal(outcome(g.Serve(t.Context(), request(), &recordedReply{})), "upstream_lost/yes")
		// The crashes are detected when requests for memory are refused at the engines.
		other := request()
		other.Target, other.Path = "/y", "/y"
		g.Serve(t.Context(), other, &recordedReply{})
		time.Sleep(5 * time.Second)
		f.mu.Lock()
		clear(crashed)
		f.mu.Unlock()
		f.reset(nil)
		sent := len(f.sends())
		refused := g.Serve(t.Context(), request(), &recordedReply{})
		is.Equal(outcome(refused), "quarantined/no")
		is.Equal(len(f.sends()), sent)
		harmless := request()
		harmless.Target, harmless.Path = "/z", "/z"
		is.Equal(outcome(g.Serve(t.Context(), harmless, &recordedReply{})), "answered")

		second := newGateway(t, &fakeUpstreams{}, ingress.Streaming{Resumable: true})
		second.MergeSuspects(g.Suspects(time.Now()), "10.1.0.2:8144", time.Now())
		is.Equal(outcome(second.Serve(t.Context(), request(), &recordedReply{})), "quarantined/no")
		synctest.Wait()
	})
}

// Answers are truncated although their engines still run. The content does not become quarantined, and a later complete
// answer clears it.
func TestLostAnswersDoNotQuarantineContent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &fakeUpstreams{}
		g := newGateway(t, f, ingress.Streaming{Resumable: true}, gateway.WithRetryRatio(0.5))
		earnRetries(t, g, 20)
		f.reset(bothDecodeEngines(step{events: sequence(1, 2), pause: time.Millisecond, err: errBroken}))
		for range 5 {
			g.Serve(t.Context(), request(), &recordedReply{})
			time.Sleep(5 * time.Second)
		}
		for _, s := range g.Suspects(time.Now()) {
			is.Equal(len(s.Crashes), 0)
		}
		f.reset(nil)
		is.Equal(outcome(g.Serve(t.Context(), request(), &recordedReply{})), "answered")
		for _, s := range g.Suspects(time.Now()) {
			is.Equal(len(s.Unproven), 0)
		}
		synctest.Wait()
	})
}

// crashSuspects returns the suspects of an entry after the content of request crashed all upstreams of its pool.
func crashSuspects(t *testing.T, kind ingress.Kind) []quarantine.Suspect {
	f := &fakeUpstreams{down: map[string]bool{"d1": true, "d2": true, "g1": true, "g2": true}}
	connectionLost := step{result: gateway.Unknown{Err: errBroken, ConnectionLost: true}}
	f.steps = map[string][]step{"d1": {connectionLost}, "d2": {connectionLost}, "g1": {connectionLost}, "g2": {connectionLost}}
	g := newGateway(t, f, kind)
	for range 3 {
		g.Serve(t.Context(), request(), &recordedReply{})
		time.Sleep(5 * time.Second)
	}
	return g.Suspects(time.Now())
}

// Another entry reports that the content of a request is quarantined while the request is being served. The request
// is not sent any more, whatever the reason of the next send would be.
func TestQuarantinedContentIsNotSentForAnyReason(t *testing.T) {
	const wait = 20 * time.Millisecond
	connectionLost := step{after: wait, result: gateway.Unknown{Err: errBroken, ConnectionLost: true}}
	notRun := step{after: wait, result: gateway.NotRun{Reason: gateway.Full}}
	stream := ingress.Streaming{Resumable: true}
	tests := map[string]struct {
		kind ingress.Kind
		step step
		// reportAfter is when the suspects of the other entry arrive, from the start of the request.
		reportAfter time.Duration
		// prefill is the result of all prefills; nil if they succeed.
		prefill gateway.PrefillResult
		sends   int
	}{
		"first try of a call":             {kind: ingress.NonIdempotent{}, reportAfter: 0, sends: 0},
		"first try of a stream":           {kind: stream, reportAfter: 0, sends: 0},
		"retry":                           {kind: ingress.Idempotent{}, step: connectionLost, reportAfter: wait / 2, sends: 1},
		"hedge":                           {kind: ingress.Idempotent{}, step: step{after: time.Hour}, reportAfter: wait, sends: 1},
		"after a call that was not run":   {kind: ingress.NonIdempotent{}, step: notRun, reportAfter: wait / 2, sends: 1},
		"after a decode that was not run": {kind: stream, step: notRun, reportAfter: wait / 2, sends: 2},
		"resume":                          {kind: stream, step: step{events: []int{1, 2}, pause: wait, err: errBroken}, reportAfter: wait, sends: 2},
		"second prefill":                  {kind: stream, reportAfter: wait / 2, prefill: gateway.PrefillFailed{Reason: gateway.NoAnswer, Err: errBroken, ConnectionLost: true}, sends: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				suspects := crashSuspects(t, tt.kind)
				f := &fakeUpstreams{}
				g := newGateway(t, f, tt.kind, gateway.WithRetryRatio(0.5))
				earnRetries(t, g, 20)
				f.reset(map[string][]step{"d1": {tt.step}, "d2": {tt.step}, "g1": {tt.step}, "g2": {tt.step}})
				if tt.prefill != nil {
					f.prefillTime = wait
					f.prefills = map[string][]gateway.PrefillResult{"p1": {tt.prefill}, "p2": {tt.prefill}}
				}
				before := len(f.sends())
				report := func() { g.MergeSuspects(suspects, "10.1.0.2:8144", time.Now()) }
				if tt.reportAfter == 0 {
					report()
				} else {
					time.AfterFunc(tt.reportAfter, report)
				}
				g.Serve(t.Context(), request(), &recordedReply{})
				is.Equal(len(f.sends())-before, tt.sends)
				synctest.Wait()
			})
		})
	}
}

// Quarantined content is refused at once as not run, with the remaining time of the quarantine as the retry delay.
func TestQuarantinedContentIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		suspects := crashSuspects(t, ingress.NonIdempotent{})
		g := newGateway(t, &fakeUpstreams{}, ingress.NonIdempotent{})
		g.MergeSuspects(suspects, "", time.Now())
		began := time.Now()
		refused := g.Serve(t.Context(), request(), &recordedReply{})
		is.Equal(outcome(refused), "quarantined/no")
		is.True(refused.RetryAfter > time.Minute)
		is.Equal(time.Since(began), time.Duration(0))
		synctest.Wait()
	})
}

// An upstream that does not answer until the deadline of the caller may have crashed, so it is probed. Its content
// is quarantined only if both upstreams have crashed.
func TestUnresponsiveUpstreamIsProbed(t *testing.T) {
	tests := map[string]struct {
		down map[string]bool
		want string
	}{
		"ended":         {map[string]bool{"d1": true, "d2": true}, "quarantined/no"},
		"still running": {nil, "deadline/unknown"},
		"one ended":     {map[string]bool{"d1": true}, "deadline/unknown"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := &fakeUpstreams{steps: bothServices(step{after: time.Hour}), down: tt.down, crashAfterFirst: true}
				g := newGateway(t, f, ingress.NonIdempotent{})
				for range 3 {
					g.Serve(t.Context(), request(), &recordedReply{})
					time.Sleep(time.Second)
				}
				is.Equal(outcome(g.Serve(t.Context(), request(), &recordedReply{})), tt.want)
				synctest.Wait()
			})
		})
	}
}

// A stalled stream that this process moves to another engine makes no content suspect.
func TestMovedStreamMakesNoContentSuspect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &fakeUpstreams{}
		g := newGateway(t, f, ingress.Streaming{Resumable: true, MaxGap: 50 * time.Millisecond}, gateway.WithRetryRatio(0.5))
		earnRetries(t, g, 20)
		f.reset(bothDecodeEngines(step{events: []int{1, 2}, pause: time.Hour}))
		is.Equal(outcome(g.Serve(t.Context(), request(), &recordedReply{})), "deadline/yes")
		is.Equal(len(f.sends()), 4) // two prefills and two decodes
		is.Equal(len(g.Suspects(time.Now())), 0)
		synctest.Wait()
	})
}

// An error answer does not clear content of suspicion, as the upstream did not run it to completion.
func TestErrorAnswersDoNotClearContent(t *testing.T) {
	tests := map[string]struct {
		kind    ingress.Kind
		status  int
		crashes int
	}{
		"error answer of a call":            {ingress.NonIdempotent{}, 500, 1},
		"successful answer of a call":       {ingress.NonIdempotent{}, 200, 0},
		"error answer of a generation":      {ingress.Streaming{}, 500, 1},
		"successful answer of a generation": {ingress.Streaming{}, 200, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				all := func(s step) map[string][]step {
					return map[string][]step{"d1": {s}, "d2": {s}, "g1": {s}, "g2": {s}}
				}
				f := &fakeUpstreams{steps: all(step{result: gateway.Unknown{Err: errBroken, ConnectionLost: true}}), down: map[string]bool{"d1": true, "d2": true, "g1": true, "g2": true}}
				g := newGateway(t, f, tt.kind)
				g.Serve(t.Context(), request(), &recordedReply{})
				time.Sleep(5 * time.Second)
				f.reset(all(step{status: tt.status, body: "id: 1\n\n"}))
				g.Serve(t.Context(), request(), &recordedReply{})
				for _, s := range g.Suspects(time.Now()) {
					is.Equal(len(s.Crashes), tt.crashes)
				}
				synctest.Wait()
			})
		})
	}
}
