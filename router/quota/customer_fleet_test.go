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

	"gooseberrypin.example/router/quota"
)

const (
	hotCustomer = "hot"
	// meanAmount is the mean amount of a request in tokens.
	meanAmount = 3400
	// startTime is the time between the start of the entries and the first requests.
	startTime = 4 * time.Second
	// calmCalls is the number of reports a second that an entry may send in calm conditions.
	calmCalls = 2.5
	// targetCalls is the target for calmCalls.
	targetCalls = 2
	// maxWait is how long a request may wait for another entry, and maxCalmWait how long in calm conditions: one call,
	// which takes two milliseconds here.
	maxWait     = 100 * time.Millisecond
	maxCalmWait = 5 * time.Millisecond
)

var (
	platformBounds = quota.CustomerBounds{Window: 8 * time.Second, Overage: 0.25, Slack: 140_000}
	largeCustomer  = quota.CustomerLimit{Name: hotCustomer, PerSecond: 161_288, Burst: 161_288}
)

type (
	// customerGrant is a request of a customer at an entry.
	customerGrant struct {
		at       time.Time
		entry    int
		customer string
		amount   float64
		granted  bool
		waited   time.Duration
	}

	// calmOutcome is what requests and entries did in calm conditions. perEntry is the number of reports a second of an entry, and
	// beyond the number of requests larger than an even part of the bound of a window: if each entry granted one without
	// asking, they would exceed the bound.
	calmOutcome struct {
		requests, waited, refused, beyond int
		longest                           time.Duration
		perEntry                          float64
	}

	// customerCase is a load of one customer on a fleet.
	customerCase struct {
		limit  quota.CustomerLimit
		bounds quota.CustomerBounds
		// load is the demand at each entry as a part of the quota; later is the demand from moveAt on, if set.
		load, later []float64
		moveAt      time.Duration
		// amounts are the amounts of requests; nil selects random ones around meanAmount.
		amount func(*rand.Rand) float64
		// disturb runs when the load begins.
		disturb func(f *fleet)
		length  time.Duration
		// least is the least part of the smaller of quota and demand that is granted; calm is whether all is granted.
		least float64
		calm  bool
	}
)

func (f *fleet) customerLimits() quota.CustomerLimits {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.quotas
}

func (e *entry) Report(ctx context.Context, address string, r quota.CustomerReport) (quota.CustomerAnswer, error) {
	e.fleet.mu.Lock()
	e.reports++
	e.fleet.mu.Unlock()
	to, err := e.reach(ctx, address)
	if err != nil {
		return quota.CustomerAnswer{}, err
	}
	e.fleet.mu.Lock()
	if e.fleet.refuses != nil && e.fleet.refuses(e, to) {
		e.fleet.mu.Unlock()
		return quota.CustomerAnswer{}, errUnreachable
	}
	to.answered++
	allocator := to.allocator
	e.fleet.mu.Unlock()
	answer, ok := allocator.Report(r)
	if !ok {
		return quota.CustomerAnswer{}, errUnreachable
	}
	// The answer may be lost although the report was taken.
	if _, err := to.reach(ctx, e.address); err != nil {
		return quota.CustomerAnswer{}, err
	}
	return answer, nil
}

// ask sends a request of a customer to the entry.
func (e *entry) ask(customer string, amount float64) {
	f := e.fleet
	f.mu.Lock()
	customers := e.customers
	idle := e.frozen || e.down
	f.mu.Unlock()
	if idle {
		return
	}
	began := time.Now()
	_, granted := customers.Take(context.Background(), customer, amount).(quota.Allowed)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.grants = append(f.grants, customerGrant{at: time.Now(), entry: e.index, customer: customer, amount: amount, granted: granted, waited: time.Since(began)})
}

// askLoad sends requests of a customer with a demand in units a second until ctx is done.
func (e *entry) askLoad(ctx context.Context, customer string, perSecond, mean float64, random *rand.Rand, amount func(*rand.Rand) float64) {
	for perSecond > 0 {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(random.ExpFloat64() * mean / perSecond * float64(time.Second))):
		}
		size := amount(random)
		go e.ask(customer, size)
	}
}

// worstAmount returns the largest granted amount of a customer in a window.
func (f *fleet) worstAmount(customer string, window time.Duration) float64 {
	worst, sum, oldest := 0.0, 0.0, 0
	var list []customerGrant
	for _, g := range f.grants {
		if g.customer != customer || !g.granted {
			continue
		}
		list = append(list, g)
		sum += g.amount
		for !list[oldest].at.After(g.at.Add(-window)) {
			sum -= list[oldest].amount
			oldest++
		}
		worst = max(worst, sum)
	}
	return worst
}

// newCustomerFleet starts a number of entries with the quota of a customer.
func newCustomerFleet(entries int, bounds quota.CustomerBounds, limits ...quota.CustomerLimit) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(1, 1)), bounds: bounds, quotas: quota.CustomerLimits{Version: 1, Limits: limits}}
	for i := range entries {
		f.entries = append(f.entries, &entry{fleet: f, index: i, address: fmt.Sprintf("10.0.%d.%d:1", i/200, i%200)})
	}
	for _, e := range f.entries {
		e.start()
	}
	return f
}

// stopAll ends the processes of all entries and waits for the reports in flight.
func (f *fleet) stopAll() {
	for _, e := range f.entries {
		e.kill()
	}
	time.Sleep(time.Second)
	// The caller reads what the goroutines that have ended wrote under the lock.
	f.mu.Lock()
	defer f.mu.Unlock()
}

// allocatorEntry returns the entry that divides the quotas of customers.
func (f *fleet) allocatorEntry() *entry {
	group, _, _ := f.entries[0].process()
	address := group.Owners("customer-quotas", 1)[0]
	return f.entries[slices.IndexFunc(f.entries, func(e *entry) bool { return e.address == address })]
}

func (f *fleet) cutHalf(half int, length time.Duration) {
	f.mu.Lock()
	f.cut = func(from, to int) bool { return (from < half) != (to < half) }
	f.mu.Unlock()
	time.Sleep(length)
	f.mu.Lock()
	f.cut = nil
	f.mu.Unlock()
}

func (tt customerCase) run(t *testing.T) {
	f := newCustomerFleet(len(tt.load), tt.bounds, tt.limit)
	time.Sleep(startTime)
	if tt.amount == nil {
		tt.amount = func(r *rand.Rand) float64 { return 400 + min(20_000, r.ExpFloat64()*(meanAmount-400)) }
	}
	if tt.length == 0 {
		tt.length = 24 * time.Second
	}
	ctx, cancel := context.WithTimeout(t.Context(), tt.length)
	defer cancel()
	began := time.Now()
	f.mu.Lock()
	for _, e := range f.entries {
		e.reports, e.answered = 0, 0
	}
	f.mu.Unlock()
	if tt.disturb != nil {
		go tt.disturb(f)
	}
	var senders sync.WaitGroup
	for i, e := range f.entries {
		random := rand.New(rand.NewPCG(uint64(i), 2))
		senders.Go(func() {
			first := ctx
			if tt.later != nil {
				var stop context.CancelFunc
				first, stop = context.WithTimeout(ctx, tt.moveAt)
				defer stop()
			}
			e.askLoad(first, hotCustomer, tt.load[i]*tt.limit.PerSecond, meanOf(tt.amount), random, tt.amount)
			if tt.later != nil {
				time.Sleep(time.Until(began.Add(tt.moveAt)))
				e.askLoad(ctx, hotCustomer, tt.later[i]*tt.limit.PerSecond, meanOf(tt.amount), random, tt.amount)
			}
		})
	}
	senders.Wait()
	time.Sleep(time.Second)
	f.stopAll()
	tt.check(t, f)
}

// check checks what the entries granted. No process runs any more.
func (tt customerCase) check(t *testing.T, f *fleet) {
	asked, granted, waited, refused, longest, reports, answered := 0.0, 0.0, 0, 0, time.Duration(0), 0, 0
	for _, g := range f.grants {
		asked += g.amount
		if g.granted {
			granted += g.amount
		} else {
			refused++
		}
		if g.waited > 0 {
			waited++
		}
		longest = max(longest, g.waited)
	}
	for _, e := range f.entries {
		reports += e.reports
		answered = max(answered, e.answered)
	}
	wanted := min(asked, tt.limit.PerSecond*tt.length.Seconds())
	worst, allowed := f.worstAmount(hotCustomer, tt.bounds.Window), tt.bounds.Allowed(tt.limit)
	perEntry := float64(reports) / tt.length.Seconds() / float64(len(f.entries))
	t.Logf("worst window %.2f of the bound; granted %.3f of %.0f; %d of %d requests refused, %d waited, %v at most; %.2f reports a second and entry, %.0f at the busiest allocator",
		worst/allowed, granted/wanted, wanted, refused, len(f.grants), waited, longest, perEntry, float64(answered)/tt.length.Seconds())
	if worst > allowed {
		t.Errorf("%.0f granted within %v, allowed %.0f", worst, tt.bounds.Window, allowed)
	}
	if granted < tt.least*wanted {
		t.Errorf("%.0f granted, of %.0f within the quota", granted, wanted)
	}
	if longest > maxWait {
		t.Errorf("a request waited for %v", longest)
	}
	if tt.calm && (refused > 0 || perEntry > calmCalls || longest > maxCalmWait) {
		t.Errorf("%d requests refused in calm conditions, %v waited, %.2f reports a second and entry", refused, longest, perEntry)
	}
}

func meanOf(amount func(*rand.Rand) float64) float64 {
	r, sum := rand.New(rand.NewPCG(7, 7)), 0.0
	const n = 4000
	for range n {
		sum += amount(r)
	}
	return sum / n
}

// All entries together grant a customer its quota, and never more than the bounds allow in a window.
func TestCustomerQuotaHoldsForAFleet(t *testing.T) {
	evenly := func(entries int, total float64) []float64 {
		return slices.Repeat([]float64{total / float64(entries)}, entries)
	}
	only := func(entries, at int, total float64) []float64 {
		load := make([]float64, entries)
		load[at] = total
		return load
	}
	one := func(*rand.Rand) float64 { return 1 }
	noSlack := quota.CustomerBounds{Window: 8 * time.Second, Overage: 0.25}
	small := quota.CustomerLimit{Name: hotCustomer, PerSecond: 20_000, Burst: 20_000}
	requests := quota.CustomerLimit{Name: hotCustomer, PerSecond: 200, Burst: 200}
	tests := map[string]customerCase{
		"calm, 5 entries":                 {limit: largeCustomer, load: evenly(5, 0.4), least: 1, calm: true},
		"calm, 22 entries":                {limit: largeCustomer, load: evenly(22, 0.4), least: 1, calm: true},
		"calm, 30 entries":                {limit: largeCustomer, load: evenly(30, 0.4), least: 1, calm: true},
		"calm, small customer":            {limit: small, load: evenly(22, 0.3), least: 0.99},
		"calm, requests":                  {limit: requests, bounds: noSlack, load: evenly(22, 0.4), amount: one, least: 1},
		"hot everywhere, 5 entries":       {limit: largeCustomer, load: evenly(5, 2.4), least: 0.9},
		"hot everywhere, 22 entries":      {limit: largeCustomer, load: evenly(22, 2.4), least: 0.9},
		"hot at one entry of 22":          {limit: largeCustomer, load: only(22, 3, 2.4), least: 0.9},
		"hot at one entry of 5":           {limit: largeCustomer, load: only(5, 3, 2.4), least: 0.9},
		"hot, small customer":             {limit: small, load: evenly(22, 2.4), least: 0.9},
		"hot, requests, no slack":         {limit: requests, bounds: noSlack, load: evenly(22, 2.4), amount: one, least: 0.9},
		"moves to another entry":          {limit: largeCustomer, load: only(22, 3, 0.9), later: only(22, 5, 0.9), moveAt: 8 * time.Second, least: 0.95},
		"103 entries":                     {limit: largeCustomer, load: evenly(103, 2.4), least: 0.9},
		"103 entries, hot at five":        {limit: largeCustomer, load: append(slices.Repeat([]float64{0.5}, 5), make([]float64, 98)...), least: 0.9},
		"the allocator dies":              {limit: largeCustomer, load: evenly(6, 2.4), least: 0.8, disturb: func(f *fleet) { time.Sleep(8 * time.Second); f.allocatorEntry().kill() }},
		"the allocator freezes":           {limit: largeCustomer, load: evenly(6, 2.4), least: 0.75, disturb: func(f *fleet) { time.Sleep(8 * time.Second); freeze(f, f.allocatorEntry(), 5*time.Second) }},
		"the allocator freezes, no slack": {limit: requests, bounds: noSlack, amount: one, load: evenly(6, 2.4), least: 0.75, disturb: func(f *fleet) { time.Sleep(8 * time.Second); freeze(f, f.allocatorEntry(), 5*time.Second) }},
		"the allocator leaves": {limit: largeCustomer, load: evenly(6, 2.4), least: 0.8, disturb: func(f *fleet) {
			time.Sleep(8 * time.Second)
			e := f.allocatorEntry()
			group, _, _ := e.process()
			group.Leave(context.Background())
			time.Sleep(3 * time.Second)
			e.kill()
		}},
		"the allocator restarts again and again": {limit: largeCustomer, load: evenly(6, 2.4), least: 0.4, disturb: func(f *fleet) {
			time.Sleep(4 * time.Second)
			e := f.allocatorEntry()
			for range 4 {
				e.kill()
				time.Sleep(time.Second)
				e.start()
				time.Sleep(3 * time.Second)
			}
		}},
		"half of the entries are cut off":           {limit: largeCustomer, load: evenly(6, 2.4), least: 0.7, disturb: func(f *fleet) { time.Sleep(2 * time.Second); f.cutHalf(3, 14*time.Second) }},
		"half of the entries are cut off, no slack": {limit: requests, bounds: noSlack, amount: one, load: evenly(6, 2.4), least: 0.7, disturb: func(f *fleet) { time.Sleep(2 * time.Second); f.cutHalf(3, 14*time.Second) }},
		"cut off again and again": {limit: requests, bounds: noSlack, amount: one, load: evenly(6, 2.4), least: 0.5, disturb: func(f *fleet) {
			for range 5 {
				time.Sleep(time.Second)
				f.cutHalf(3, 3*time.Second)
			}
		}},
		"all entries are killed": {limit: largeCustomer, load: evenly(6, 2.4), least: 0.7, disturb: func(f *fleet) {
			time.Sleep(8 * time.Second)
			for _, e := range f.entries {
				e.kill()
			}
			time.Sleep(200 * time.Millisecond)
			for _, e := range f.entries {
				e.start()
			}
		}},
		"all entries are killed again and again": {limit: requests, bounds: noSlack, amount: one, load: evenly(6, 2.4), disturb: func(f *fleet) {
			for range 10 {
				time.Sleep(2 * time.Second)
				for _, e := range f.entries {
					e.kill()
				}
				time.Sleep(100 * time.Millisecond)
				for _, e := range f.entries {
					e.start()
				}
			}
		}},
		"messages are lost": {limit: largeCustomer, load: evenly(6, 2.4), least: 0.8, disturb: func(f *fleet) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.lost = 0.1
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if tt.bounds == (quota.CustomerBounds{}) {
				tt.bounds = platformBounds
			}
			synctest.Test(t, tt.run)
		})
	}
}
