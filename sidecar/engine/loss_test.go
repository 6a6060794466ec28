package engine

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gooseberrypin.example/router/configuration"
	"gooseberrypin.example/router/port"
)

// Content that makes an engine unresponsive before it crashes is suspected like content that crashes it at once.
func TestUnresponsiveEngineThatCrashesReportsSuspects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newTestbed(configuration.RoleDecode).controller
		w, refused := c.enterPhase(port.Attempt{KeyDigest: "k", Number: 1}, testKeeper, "f", decoding)
		is.Equal(refused, nil)
		epoch := c.beginExecution(w)
		for range maxUnansweredProbes {
			c.recordUnansweredProbe()
		}
		c.recordEngineLoss(epoch)
		is.Equal(c.State().Counters.EnginesLost, int64(1))
		suspects := c.suspects.Suspects(time.Now())
		is.Equal(len(suspects), 1)
		is.Equal(suspects[0].Fingerprint, "f")
		// A second report of the loss, and probes while the engine is down, count nothing.
		c.recordEngineLoss(epoch)
		c.recordEngineLoss(c.epoch)
		is.Equal(c.State().Counters.EnginesLost, int64(1))
		synctest.Wait()
	})
}

// The end of a cancelled call does not remove the lease of the call that repeats its attempt.
func TestEndOfCancelledCallKeepsTheLeaseOfItsRepetition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newTestbed(configuration.RolePrefill).controller
		a := port.Attempt{KeyDigest: "k", Number: 1}
		first, refused := c.enterPhase(a, testKeeper, "f", queued)
		is.Equal(refused, nil)
		is.True(c.Release(a))
		_, refused = c.enterPhase(a, testKeeper, "f", queued)
		is.Equal(refused, nil)
		c.leavePhase(first, queued)
		is.Equal(len(c.Heartbeat(testKeeper, []port.Attempt{a})), 0)
	})
}

// Memory whose stream could not be cancelled at the engine is not reserved again before the engine has ended the stream.
func TestMemoryStaysHeldUntilTheEngineEndsTheStream(t *testing.T) {
	tests := map[string]func(b *testbed){
		"a later cancel succeeds": func(b *testbed) {
			b.engine.mu.Lock()
			b.engine.failsCancel = false
			b.engine.mu.Unlock()
		},
		"the stream ends by itself": func(b *testbed) {
			b.engine.mu.Lock()
			clear(b.engine.streams)
			b.engine.mu.Unlock()
		},
	}
	for name, end := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newTestbed(configuration.RoleDecode, WithMemory(4, 100))
				c := b.controller
				is.Equal(c.Reserve(reservation("k1", 250)), nil)
				a := port.Attempt{KeyDigest: "k1", Number: 1}
				w, refused := c.enterPhase(a, testKeeper, "f", decoding)
				is.Equal(refused, nil)
				is.Equal(c.memory.Load().Start(w.streamID, time.Now()), nil)
				b.engine.streams[w.streamID] = 3
				b.engine.failsCancel = true
				c.releaseStream(w)
				c.leavePhase(w, decoding|reserved)
				free := c.memory.Load().FreePieces()
				is.True(free < 4)
				c.sweep(t.Context())
				is.Equal(c.memory.Load().FreePieces(), free)
				end(b)
				<-time.After(orphanGrace)
				c.sweep(t.Context())
				is.Equal(c.memory.Load().FreePieces(), 4)
			})
		})
	}
}

// A change of the engine's piece size while memory is held is applied once it is free.
func TestPieceSizeChangesOnceMemoryIsFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newTestbed(configuration.RoleDecode, WithMemory(4, 100)).controller
		c.applyLoad(port.EngineLoad{TotalPieces: 4, PieceTokens: 100})
		is.Equal(c.Reserve(reservation("k1", 250)), nil)
		changed := port.EngineLoad{TotalPieces: 4, PieceTokens: 1000}
		c.applyLoad(changed)
		is.True(c.Release(port.Attempt{KeyDigest: "k1", Number: 1}))
		c.applyLoad(changed)
		is.Equal(c.Reserve(reservation("k2", 3000)), nil)
	})
}
