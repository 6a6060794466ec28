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
