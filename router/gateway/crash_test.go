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
		other.Target = "/y"
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
		harmless.Target = "/z"
		is.Equal(outcome(g.Serve(t.Context(), harmless, &reply{})), "answered")

		second := world(t, &fake{}, ingress.Streaming{Resumable: true})
		second.HearSuspects(g.Suspects(time.Now()), "10.1.0.2:8144", time.Now())
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
		is.Equal(len(g.Suspects(time.Now())), 0)
		f.reset(nil)
		is.Equal(outcome(g.Serve(t.Context(), request(), &reply{})), "answered")
		synctest.Wait()
	})
}
