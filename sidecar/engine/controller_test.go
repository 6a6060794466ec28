package engine

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gooseberrypin.example/router/configuration"
	"gooseberrypin.example/router/port"
	"gooseberrypin.example/router/quarantine"
	"gooseberrypin.example/router/refusal"
	"gooseberrypin.example/router/vm"
)

func discardEvent(port.DecodeEvent) error { return nil }

func TestExpiredLeasesAreReleasedBeforeNewWork(t *testing.T) {
	tests := map[string]struct {
		naive    Naive
		accepted bool
	}{
		"leases expire": {accepted: true},
		"naive":         {naive: Naive{KeepsLeases: true}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newTestbed(configuration.RoleDecode, WithNaive(test.naive), WithMemory(4, 100))
				first, second := reservation("k1", 250), reservation("k2", 250)
				is.Equal(b.controller.Reserve(first), nil)
				// No periodic expiry runs, as in a process that is paused for longer than a lease.
				<-time.After(LeaseLength + time.Millisecond)
				is.Equal(b.controller.Reserve(second) == nil, test.accepted)
			})
		})
	}
}

func TestAdmission(t *testing.T) {
	leaving := func(c *configuration.Configuration) { c.Upstreams[0].Leaving = true }
	decode := func(c *configuration.Configuration) { c.Upstreams[0].Labels["role"] = "decode" }
	tests := map[string]struct {
		change func(*configuration.Configuration)
		vm     vm.State
		drain  bool
		model  string
		want   refusal.Reason
	}{
		"accepted":      {change: decode},
		"drain":         {change: decode, drain: true, want: refusal.Leaving},
		"leaving":       {change: func(c *configuration.Configuration) { decode(c); leaving(c) }, want: refusal.Leaving},
		"vm is leaving": {change: decode, vm: vm.Leaving, want: refusal.Leaving},
		"vm is live":    {change: decode, vm: vm.Live},
		"other role":    {change: func(c *configuration.Configuration) { c.Upstreams[0].Labels["role"] = "prefill" }, want: refusal.WrongRole},
		"no pool":       {change: func(*configuration.Configuration) {}, want: refusal.WrongRole},
		"unknown model": {change: decode, model: "other", want: refusal.WrongRole},
		"removed":       {change: func(c *configuration.Configuration) { c.Upstreams[0].Name = "u2" }, want: refusal.Leaving},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newTestbed(configuration.RoleDecode)
			b.publish(2, test.change)
			if test.vm != "" {
				b.vms.Put(&vm.List{Version: 1, VMs: []vm.VM{{Name: "vm1", State: test.vm}}})
			}
			if test.drain {
				b.controller.Drain()
			}
			r := reservation("k", 1)
			if test.model != "" {
				r.Model = test.model
			}
			got := b.controller.Reserve(r)
			if test.want == 0 {
				is.Equal(got, nil)
				return
			}
			is.Equal(got.Reason, test.want)
			is.Equal(got.Ran, refusal.RanNo)
		})
	}
}

func TestNoPrefillWithoutReservation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newTestbed(configuration.RolePrefill)
		work := port.Prefill{Attempt: port.Attempt{KeyDigest: "k", Number: 1}, Keeper: testKeeper, Model: testModel, Prompt: "quilt", Budget: time.Second}
		var events []port.PrefillEvent
		emit := func(e port.PrefillEvent) error {
			events = append(events, e)
			return nil
		}
		r := b.controller.Prefill(context.Background(), work, emit)
		is.Equal(r.Reason, refusal.Deadline)
		is.Equal(r.Ran, refusal.RanNo)
		is.Equal(b.engine.prefills, 0)
		is.Equal(events[len(events)-1], port.AtHead{})
		is.Equal(b.controller.Running(), 0)
	})
}

func TestStalledTransferIsCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newTestbed(configuration.RoleDecode)
		b.engine.stallsImport = true
		work := reservation("k", 10)
		is.Equal(b.controller.Reserve(work), nil)
		began := time.Now()
		r := b.controller.Decode(context.Background(), decodeRequest(work), discardEvent)
		is.Equal(r.Reason, refusal.KVLost)
		is.Equal(r.Ran, refusal.RanNo)
		is.Equal(time.Since(began), stallAfter)
		is.Equal(b.engine.streamCount(), 0)
		is.Equal(b.controller.memory.Load().HeldAttempts(), 0)
	})
}

// The engine holds a stream for which the controller has no attempt, as after a restart.
func TestOrphansAreCancelled(t *testing.T) {
	tests := map[string]struct {
		naive     Naive
		remaining int
	}{
		"cancelled": {},
		"naive":     {naive: Naive{KeepsOrphans: true}, remaining: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newTestbed(configuration.RoleDecode, WithNaive(test.naive))
				b.engine.streams["orphan.1"] = 3
				defer b.run()()
				<-time.After(orphanGrace - time.Millisecond)
				is.Equal(b.engine.streamCount(), 1)
				<-time.After(2 * sweepInterval)
				is.Equal(b.engine.streamCount(), test.remaining)
			})
		})
	}
}

func TestEngineCrashReportsSuspects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newTestbed(configuration.RoleDecode)
		results := make(chan *refusal.Refusal)
		for _, key := range []string{"k1", "k2", "k3"} {
			work := reservation(key, 10)
			is.Equal(b.controller.Reserve(work), nil)
			go func() { results <- b.controller.Decode(context.Background(), decodeRequest(work), discardEvent) }()
		}
		<-time.After(5 * tokenInterval)
		close(b.engine.crashed)
		for range 3 {
			r := <-results
			is.Equal(r.Reason, refusal.UpstreamLost)
			is.Equal(r.Ran, refusal.RanYes)
		}
		synctest.Wait()
		var fingerprints []string
		for _, s := range b.controller.suspects.Suspects(time.Now()) {
			is.Equal(len(s.Crashes), 1) // a crash counts once, also when several streams fail
			fingerprints = append(fingerprints, s.Fingerprint)
		}
		is.Equal(fingerprints, []string{"f-k1", "f-k2", "f-k3"})
		is.Equal(b.controller.Reserve(reservation("k4", 10)).Reason, refusal.UpstreamLost)
		is.Equal(b.controller.memory.Load().HeldAttempts(), 0)
	})
}

func TestCrashDuringPrefillReportsSuspect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newTestbed(configuration.RolePrefill)
		work := port.Prefill{Attempt: port.Attempt{KeyDigest: "k", Number: 1}, Keeper: testKeeper, Model: testModel, Prompt: "quilt", Fingerprint: "f", Budget: time.Second}
		r := b.controller.Prefill(context.Background(), work, func(e port.PrefillEvent) error {
			if _, atHead := e.(port.AtHead); atHead {
				close(b.engine.crashed)
				is.Equal(b.controller.StartPrefill(work.Attempt), nil)
			}
			return nil
		})
		is.Equal(r.Reason, refusal.UpstreamLost)
		is.Equal(b.controller.suspects.Check("f", time.Now()), quarantine.Suspected{})
	})
}

func TestSuspectRunsWithoutOtherSuspects(t *testing.T) {
	is := is.New(t)
	suspects := quarantine.NewTable()
	suspects.Report([]string{"f-k1", "f-k2"}, "crash", time.Now())
	b := newTestbed(configuration.RoleDecode, WithSuspects(suspects))
	is.Equal(b.controller.Reserve(reservation("k1", 10)), nil)
	is.Equal(b.controller.Reserve(reservation("k2", 10)).Reason, refusal.Overloaded)
	is.Equal(b.controller.Reserve(reservation("k3", 10)), nil)
}

func TestOrders(t *testing.T) {
	tests := map[string]struct {
		naive Naive
		// early is the number of orders that the engine receives while a stream is running.
		early int
	}{
		"waits for running streams": {},
		"naive":                     {naive: Naive{OrdersAtOnce: true}, early: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newTestbed(configuration.RoleDecode, WithNaive(test.naive))
				b.engine.load = port.EngineLoad{Role: "decode", Models: []string{testModel}}
				work := reservation("k", 10)
				defer b.run()()
				<-time.After(2 * probeInterval)
				is.Equal(b.controller.Reserve(work), nil)
				ctx, cancel := context.WithCancel(context.Background())
				go b.controller.Decode(ctx, decodeRequest(work), discardEvent)
				<-time.After(2 * tokenInterval)
				b.publish(2, func(c *configuration.Configuration) { c.Upstreams[0].Labels["role"] = "prefill" })
				<-time.After(2 * reconcileInterval)
				is.Equal(len(b.engine.receivedOrders()), test.early)
				is.Equal(b.controller.Reserve(reservation("k2", 10)).Reason, refusal.WrongRole)
				b.publish(3, func(c *configuration.Configuration) { c.Upstreams[0].Labels["role"] = "prefill" })
				cancel()
				<-time.After(2 * reconcileInterval)
				orders := b.engine.receivedOrders()
				is.Equal(len(orders), 1)
				is.Equal(orders[0].Role, "prefill")
				is.Equal(orders[0].Fencing[0], int64(3-test.early)) // the newest revision when the order was sent
				b.publish(4, func(c *configuration.Configuration) { c.Upstreams[0].Labels["role"] = "decode" })
				<-time.After(4 * reconcileInterval)
				orders = b.engine.receivedOrders()
				is.Equal(len(orders), 2)
				is.True(slices.Compare(orders[1].Fencing[:], orders[0].Fencing[:]) > 0)
			})
		})
	}
}

func TestLoadReportSetsMemoryAndUnresponsiveEngineRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newTestbed(configuration.RoleDecode)
		b.engine.load = port.EngineLoad{TotalPieces: 3, PieceTokens: 100}
		defer b.run()()
		<-time.After(2 * probeInterval)
		is.Equal(b.controller.Reserve(reservation("k1", 250)), nil)
		is.Equal(b.controller.Reserve(reservation("k2", 1)).Reason, refusal.Overloaded)
		b.engine.setUnresponsive(true)
		<-time.After((maxUnansweredProbes + 1) * probeTimeout)
		is.Equal(b.controller.Reserve(reservation("k3", 1)).Reason, refusal.UpstreamLost)
		is.Equal(len(b.controller.suspects.Suspects(time.Now())), 0) // an unresponsive engine has not crashed
		b.engine.setUnresponsive(false)
		<-time.After(probeTimeout + 2*probeInterval)
		is.Equal(b.controller.Reserve(reservation("k4", 1)), nil)
	})
}
