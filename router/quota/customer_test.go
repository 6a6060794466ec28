package quota_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"gooseberrypin.example/router/quota"
)

// takeFor takes amounts from an entry for a time, as many as are granted, and returns the sum.
func takeFor(e *entry, amount float64, length time.Duration) float64 {
	sum, end := 0.0, time.Now().Add(length)
	for time.Now().Before(end) {
		if _, denied := e.customers.Take(context.Background(), hotCustomer, amount).(quota.Denied); denied {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		sum += amount
	}
	return sum
}

// A customer whose requests move to another entry has its whole quota there within half a second.
func TestQuotaFollowsACustomerToAnotherEntry(t *testing.T) {
	for _, entries := range []int{2, 5, 22} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newCustomerFleet(entries, platformBounds, largeCustomer)
				defer f.stopAll()
				time.Sleep(15 * time.Second)
				takeFor(f.entries[0], 2000, 10*time.Second)
				takeFor(f.entries[1], 2000, 500*time.Millisecond)
				granted := takeFor(f.entries[1], 2000, 4*time.Second)
				t.Logf("%.3f of the quota", granted/(4*largeCustomer.PerSecond))
				if granted < 0.95*4*largeCustomer.PerSecond {
					t.Errorf("%.0f granted in 4 s, of %.0f", granted, 4*largeCustomer.PerSecond)
				}
			})
		})
	}
}

// Requests that don't run give back their amount, also when they do so long after they were granted: then no more than the
// bound is sent.
func TestAmountsOfRequestsThatDoNotRunReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newCustomerFleet(5, platformBounds, largeCustomer)
		defer f.stopAll()
		time.Sleep(15 * time.Second)
		e := f.entries[2]
		// All requests are refused elsewhere, so none may find the quota used up.
		for range 20_000 {
			_, granted := e.customers.Take(t.Context(), hotCustomer, 10_000).(quota.Allowed)
			is.True(granted)
			e.customers.Return(hotCustomer, 10_000)
			time.Sleep(time.Millisecond)
		}
		// What was taken over a long time returns at once.
		taken := takeFor(e, 1000, 10*time.Second)
		is.True(taken > 9*largeCustomer.PerSecond)
		for range int(taken / 1000) {
			e.customers.Return(hotCustomer, 1000)
		}
		spent := takeFor(e, 1000, platformBounds.Window)
		is.True(spent >= 7*largeCustomer.PerSecond)
		is.True(spent <= platformBounds.Allowed(largeCustomer))
	})
}

// A lowered limit is kept from one window after it is in force.
func TestLoweredLimitIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCustomerFleet(5, platformBounds, largeCustomer)
		time.Sleep(startTime)
		lowered := quota.CustomerLimit{Name: hotCustomer, PerSecond: 20_000, Burst: 20_000}
		ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
		defer cancel()
		time.AfterFunc(6*time.Second, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.quotas = quota.CustomerLimits{Version: 2, Limits: []quota.CustomerLimit{lowered}}
		})
		change := time.Now().Add(6 * time.Second)
		var senders sync.WaitGroup
		for i, e := range f.entries {
			random := rand.New(rand.NewPCG(uint64(i), 2))
			senders.Go(func() {
				e.askLoad(ctx, hotCustomer, 60_000, 2000, random, func(*rand.Rand) float64 { return 2000 })
			})
		}
		senders.Wait()
		f.stopAll()
		after := &fleet{}
		sum := 0.0
		for _, g := range f.grants {
			if g.at.After(change) {
				after.grants = append(after.grants, g)
				if g.granted {
					sum += g.amount
				}
			}
		}
		worst, allowed := after.worstAmount(hotCustomer, platformBounds.Window), platformBounds.Allowed(lowered)
		t.Logf("worst window after the change %.2f of the bound, %.2f of the quota", worst/allowed, sum/(24*lowered.PerSecond))
		if worst > allowed || sum < 0.9*24*lowered.PerSecond {
			t.Errorf("worst window %.0f, allowed %.0f; %.0f granted", worst, allowed, sum)
		}
	})
}

// In calm conditions, with 16 customers, few requests wait, none is refused, and an entry sends two reports a second. Each
// entry knows the load of all customers in the fleet, also of one without a limit.
func TestCalmFleetWithManyCustomers(t *testing.T) {
	is := is.New(t)
	c := playManyCustomers(t)
	is.Equal(c.refused, 0)
	is.True(c.longest <= maxCalmWait)
	is.True(c.waited < c.requests/4)
	is.True(c.perEntry <= calmCalls)
}

// Guards against a cost beyond the target of docs/design/untrusted-clients-and-customers.md, E5: with 16 customers an entry
// makes at most two calls a second, and no request waits for another entry.
func TestCalmFleetKeepsTheCostTarget(t *testing.T) {
	is := is.New(t)
	c := playManyCustomers(t)
	is.Equal(c.waited, 0)
	is.True(c.perEntry <= targetCalls)
}

// Guards against entries that keep the small share of their first report, which the allocator answered when little had
// accumulated: without requests they did not report again, and the first larger request waited.
func TestUnusedCustomerFillsUpAtAllEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCustomerFleet(22, platformBounds, largeCustomer)
		defer f.stopAll()
		time.Sleep(20 * time.Second)
		for _, e := range f.entries {
			if held := e.customers.States()[0].Held; held < 0.6*largeCustomer.Burst/22 {
				t.Errorf("entry %d holds %.0f of a burst of %.0f", e.index, held, largeCustomer.Burst)
			}
		}
	})
}

// Guards against reports beyond the target of two a second, as each one for waiting requests came in addition.
func TestCalmFleetReportsTwiceASecond(t *testing.T) {
	is := is.New(t)
	is.True(playManyCustomers(t).perEntry <= targetCalls)
}

// playManyCustomers plays a calm load of 16 customers at 22 entries. It checks the loads that an entry knows.
func playManyCustomers(t *testing.T) calmOutcome {
	c := calmOutcome{}
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		limits := []quota.CustomerLimit{{Name: "unlimited"}}
		for i := range 15 {
			rate := 160_000 / float64(1+i)
			limits = append(limits, quota.CustomerLimit{Name: fmt.Sprint("c", i), PerSecond: rate, Burst: rate})
		}
		f := newCustomerFleet(22, platformBounds, limits...)
		time.Sleep(startTime)
		f.mu.Lock()
		for _, e := range f.entries {
			e.reports = 0
		}
		f.mu.Unlock()
		const length = 20 * time.Second
		ctx, cancel := context.WithTimeout(t.Context(), length)
		defer cancel()
		var senders sync.WaitGroup
		for i, e := range f.entries {
			for n, l := range limits {
				random := rand.New(rand.NewPCG(uint64(i), uint64(n)))
				demand := max(l.PerSecond, 50_000) * 0.3 / 22
				if l.PerSecond > 0 {
					demand = l.PerSecond * 0.3 / 22
				}
				senders.Go(func() {
					e.askLoad(ctx, l.Name, demand, meanAmount, random, func(r *rand.Rand) float64 { return 400 + r.ExpFloat64()*3000 })
				})
			}
		}
		senders.Wait()
		for _, load := range f.entries[7].customers.Loads() {
			if load.Name == "unlimited" || load.Name == "c0" {
				t.Logf("%+v", load)
				is.True(load.Demand > 5000 && load.Demand < 100_000)
				is.True(load.Granted > 5000 && load.Granted < 100_000)
			}
		}
		f.stopAll()
		reports := 0
		for _, g := range f.grants {
			if g.waited > 0 {
				c.waited++
			}
			if !g.granted {
				c.refused++
			}
			c.longest = max(c.longest, g.waited)
			if l := limits[slices.IndexFunc(limits, func(l quota.CustomerLimit) bool { return l.Name == g.customer })]; l.PerSecond > 0 && g.amount > platformBounds.Allowed(l)/22 {
				c.beyond++
			}
		}
		for _, e := range f.entries {
			reports += e.reports
		}
		c.requests, c.perEntry = len(f.grants), float64(reports)/length.Seconds()/22
		t.Logf("%+v", c)
	})
	return c
}

// No sequence of kills, restarts, freezes, cuts and losses makes all entries together exceed the bound.
func TestQuotaBoundHoldsInAnySequence(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		entries := rapid.IntRange(2, 8).Draw(r, "entries")
		seed := rapid.Uint64().Draw(r, "seed")
		type step struct{ kind, entry, pause int }
		steps := rapid.SliceOfN(rapid.Custom(func(r *rapid.T) step {
			return step{rapid.IntRange(0, 6).Draw(r, "kind"), rapid.IntRange(0, entries-1).Draw(r, "entry"), rapid.IntRange(50, 4000).Draw(r, "pause")}
		}), 1, 16).Draw(r, "steps")
		hotAt := rapid.IntRange(0, entries).Draw(r, "hot")
		limit := quota.CustomerLimit{Name: hotCustomer, PerSecond: 200, Burst: rapid.SampledFrom([]float64{0, 50, 200, 400}).Draw(r, "burst")}
		bounds := quota.CustomerBounds{Window: 8 * time.Second, Overage: 0.25}
		worst := 0.0
		synctest.Test(t, func(t *testing.T) {
			f := newCustomerFleet(entries, bounds, limit)
			f.mu.Lock()
			f.random = rand.New(rand.NewPCG(seed, 1))
			f.mu.Unlock()
			ctx, cancel := context.WithCancel(t.Context())
			var senders sync.WaitGroup
			for i, e := range f.entries {
				if hotAt < entries && i != hotAt {
					continue
				}
				random := rand.New(rand.NewPCG(seed, uint64(i)))
				senders.Go(func() {
					e.askLoad(ctx, hotCustomer, 500, 3, random, func(r *rand.Rand) float64 { return 1 + float64(r.IntN(5)) })
				})
			}
			for _, s := range steps {
				time.Sleep(time.Duration(s.pause) * time.Millisecond)
				f.disturbOnce(s.kind, f.entries[s.entry])
			}
			time.Sleep(8 * time.Second)
			cancel()
			senders.Wait()
			f.stopAll()
			worst = f.worstAmount(hotCustomer, bounds.Window)
		})
		if worst > bounds.Allowed(limit) {
			r.Fatalf("%.0f granted in a window, allowed %.0f", worst, bounds.Allowed(limit))
		}
	})
}

// disturbOnce disturbs the fleet: it kills, restarts, freezes or wakes an entry, cuts the fleet in two or joins it, or changes
// the loss of messages.
func (f *fleet) disturbOnce(kind int, e *entry) {
	switch kind {
	case 0:
		e.kill()
	case 1:
		e.kill()
		e.start()
	case 2, 3:
		f.mu.Lock()
		defer f.mu.Unlock()
		e.frozen = kind == 2
	case 4:
		f.mu.Lock()
		defer f.mu.Unlock()
		f.cut = func(from, to int) bool { return (from <= e.index) != (to <= e.index) }
	case 5:
		f.mu.Lock()
		defer f.mu.Unlock()
		f.cut = nil
	case 6:
		f.mu.Lock()
		defer f.mu.Unlock()
		f.lost = 0.3 - f.lost
	}
}
