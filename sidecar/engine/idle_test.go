package engine

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gooseberrypin.example/router/configuration"
	"gooseberrypin.example/router/port"
	"gooseberrypin.example/router/prefill"
)

// An engine that was slow for a time and is idle now takes a prompt that the forecast says is late, and counts it.
func TestIdleEngineTakesLatePrompt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newTestbed(configuration.RolePrefill)
		prompt := string(make([]byte, 3757*prefill.TokenBytes))
		now := time.Now()
		for n := range 50 {
			b.controller.queue.RecordPrefill(3757, 3757*168*time.Microsecond, now.Add(time.Duration(n-50)*200*time.Millisecond))
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		reached := make(chan struct{})
		go b.controller.Prefill(ctx, port.Prefill{Attempt: port.Attempt{KeyDigest: "k", Number: 1}, Keeper: testKeeper, Model: testModel, Prompt: prompt, Budget: 490 * time.Millisecond}, func(e port.PrefillEvent) error {
			if _, ok := e.(port.AtHead); ok {
				close(reached)
			}
			return nil
		})
		synctest.Wait()
		select {
		case <-reached:
		default:
			t.Fatal("the prompt did not reach the head")
		}
		counters := b.controller.State().Counters
		is.Equal(counters.IdleTrials, int64(1))
		is.Equal(counters.RefusedIdle, int64(0))
	})
}
