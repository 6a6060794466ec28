package quota_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gooseberrypin.example/router/event"
	"gooseberrypin.example/router/membership"
	"gooseberrypin.example/router/quota"
)

const (
	limitWindow   = 4 * time.Second
	limitedServer = "d1"
	// joinTime is how long the entries run before the upstream states a limit, and graceTime how long after that the
	// limit must be kept.
	joinTime  = 15 * time.Second
	graceTime = 3 * time.Second
	// loadTime is how long the entries send requests after graceTime.
	loadTime = 24 * time.Second
)

var (
	errUnreachable = errors.New("unreachable")
)

type (
	// fleet is a number of entries with a simulated network before one upstream that states a limit.
	fleet struct {
		mu       sync.Mutex
		random   *rand.Rand
		entries  []*entry
		cut      func(from, to int) bool
		lost     float64
		arrivals []arrival
		asked    int
		// perSecond is the limit that the upstream states; 0 stands for none.
		perSecond float64
		// quotas are the quotas of customers, within bounds.
		quotas quota.CustomerLimits
		bounds quota.CustomerBounds
		grants []customerGrant
		// refuses is whether an entry does not understand the reports of another one; nil if all do.
		refuses func(from, to *entry) bool
	}

	entry struct {
		fleet     *fleet
		index     int
		address   string
		stop      context.CancelFunc
		group     *membership.Group
		table     *quota.Table
		limiter   *quota.Limiter
		allocator *quota.Allocator
		customers *quota.Customers
		frozen    bool
		down      bool
		// reports counts the reports that this entry sent, and answered those that it answered.
		reports, answered int
	}

	arrival struct {
		at    time.Time
		entry int
	}
)

// start starts the process of an entry anew.
func (e *entry) start() {
	f := e.fleet
	var seeds []string
	for _, other := range f.entries[:min(3, len(f.entries))] {
		seeds = append(seeds, other.address)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	e.group = membership.NewGroup(e.address, seeds, e, event.Discard(), membership.WithAssumedEntries(25), membership.WithDelegate(e))
	e.table = quota.NewTable(event.Discard())
	e.limiter = quota.NewLimiter(e.address, e.table, e.group, e)
	e.allocator = quota.NewAllocator(e.group, f.customerLimits, f.bounds)
	e.customers = quota.NewCustomers(e.address, e.group, e, e.allocator, f.customerLimits)
	ctx, cancel := context.WithCancel(context.Background())
	e.stop, e.down = cancel, false
	go e.group.Run(ctx)
	go e.customers.Run(ctx)
}

// kill ends the process of an entry.
func (e *entry) kill() {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	e.down = true
	e.stop()
}

// process returns the parts of the running process, or of the last one.
func (e *entry) process() (*membership.Group, *quota.Table, *quota.Limiter) {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	return e.group, e.table, e.limiter
}

func (e *entry) AddLocalState(u *membership.Update) {
	_, table, _ := e.process()
	u.Limits = table.Shared(time.Now())
}

func (e *entry) MergeRemoteState(u membership.Update) bool {
	_, table, _ := e.process()
	return table.Merge(u.Limits, u.Sender(), time.Now())
}

// reach returns the entry at an address once a message from e has arrived there.
func (e *entry) reach(ctx context.Context, address string) (*entry, error) {
	time.Sleep(time.Millisecond)
	f := e.fleet
	f.mu.Lock()
	i := slices.IndexFunc(f.entries, func(other *entry) bool { return other.address == address })
	to := f.entries[i]
	silent := e.frozen || to.frozen || f.cut != nil && f.cut(e.index, i) || f.random.Float64() < f.lost
	down := to.down
	f.mu.Unlock()
	if silent {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if down {
		return nil, errUnreachable
	}
	return to, nil
}

func (e *entry) Exchange(ctx context.Context, address string, u membership.Update) (membership.Update, error) {
	to, err := e.reach(ctx, address)
	if err != nil {
		return membership.Update{}, err
	}
	group, _, _ := to.process()
	return group.Exchange(u), nil
}

func (e *entry) Acquire(ctx context.Context, address string, r quota.Request) (quota.Grant, error) {
	e.fleet.mu.Lock()
	e.fleet.asked++
	e.fleet.mu.Unlock()
	to, err := e.reach(ctx, address)
	if err != nil {
		return quota.Grant{}, err
	}
	_, _, limiter := to.process()
	return limiter.Acquire(r), nil
}

// send tries to send one request to the upstream.
func (e *entry) send() {
	f := e.fleet
	f.mu.Lock()
	idle := e.frozen || e.down
	f.mu.Unlock()
	if idle {
		return
	}
	group, table, limiter := e.process()
	if _, denied := limiter.Take(context.Background(), limitedServer).(quota.Denied); denied {
		return
	}
	f.mu.Lock()
	perSecond := f.perSecond
	f.arrivals = append(f.arrivals, arrival{at: time.Now(), entry: e.index})
	f.mu.Unlock()
	time.Sleep(5 * time.Millisecond)
	if perSecond == 0 {
		table.Observe(limitedServer, quota.Unlimited{}, time.Now())
		return
	}
	if table.Observe(limitedServer, quota.Limited{PerSecond: perSecond}, time.Now()) {
		group.TriggerBroadcast()
	}
}

// sendLoad sends requests to the upstream at random times until ctx is done.
func (e *entry) sendLoad(ctx context.Context, perSecond float64, random *rand.Rand) {
	for perSecond > 0 {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))):
		}
		go e.send()
	}
}

// worstWindow returns the largest number of requests in a window that ends at from or later.
func (f *fleet) worstWindow(from time.Time, counts func(arrival) bool) int {
	worst, oldest := 0, 0
	var times []time.Time
	for _, a := range f.arrivals {
		if !counts(a) {
			continue
		}
		times = append(times, a.at)
		for !times[oldest].After(a.at.Add(-limitWindow)) {
			oldest++
		}
		if !a.at.Before(from) {
			worst = max(worst, len(times)-oldest)
		}
	}
	return worst
}

// The requests of all entries together stay within the limit, and the upstream gets nearly what it allows.
func TestLimitHoldsForAFleet(t *testing.T) {
	evenly := func(entries int, total float64) []float64 {
		return slices.Repeat([]float64{total / float64(entries)}, entries)
	}
	owner := func(f *fleet) *entry {
		group, _, _ := f.entries[0].process()
		address := group.Owner(limitedServer)
		i := slices.IndexFunc(f.entries, func(e *entry) bool { return e.address == address })
		return f.entries[i]
	}
	tests := map[string]struct {
		perSecond float64
		// load is the number of requests a second at each entry.
		load []float64
		// disturb runs after graceTime.
		disturb func(f *fleet)
		// least is the share of the limit that the upstream gets at least.
		least float64
		// excused excludes the requests of the quota's owner at the start.
		excused bool
	}{
		"one entry":                 {perSecond: 3, load: []float64{20}, least: 0.9},
		"three entries":             {perSecond: 3, load: evenly(3, 20), least: 0.9},
		"all load at one of four":   {perSecond: 3, load: []float64{0, 20, 0, 0}, least: 0.9},
		"uneven":                    {perSecond: 5, load: []float64{30, 2, 0.5, 0.1}, least: 0.9},
		"high limit":                {perSecond: 200, load: []float64{300, 100, 20}, least: 0.9},
		"limit of zero":             {perSecond: 0.0001, load: evenly(4, 20), least: 0},
		"25 entries":                {perSecond: 3, load: evenly(25, 30), least: 0.8},
		"103 entries":               {perSecond: 20, load: evenly(103, 66), least: 0.8},
		"103 entries, load at five": {perSecond: 20, load: append(slices.Repeat([]float64{20}, 5), make([]float64, 98)...), least: 0.8},
		"the owner freezes":         {perSecond: 4, load: evenly(4, 40), least: 0.6, disturb: func(f *fleet) { freeze(f, owner(f), 4*time.Second) }},
		"the owner is lost":         {perSecond: 4, load: evenly(4, 40), least: 0.6, disturb: func(f *fleet) { owner(f).kill() }},
		"the owner restarts again and again": {perSecond: 4, load: evenly(4, 40), least: 0.5, excused: true, disturb: func(f *fleet) {
			e := owner(f)
			for range 4 {
				e.kill()
				time.Sleep(time.Second)
				e.start()
				time.Sleep(4 * time.Second)
			}
		}},
		"the owner leaves": {perSecond: 4, load: evenly(4, 40), least: 0.7, disturb: func(f *fleet) {
			e := owner(f)
			group, _, _ := e.process()
			group.Leave(context.Background())
			time.Sleep(3 * time.Second)
			e.kill()
		}},
		"one entry is cut off": {perSecond: 4, load: evenly(4, 40), least: 0.7, disturb: func(f *fleet) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.cut = func(from, to int) bool { return (from == 0) != (to == 0) }
		}},
		"half of the entries are cut off for a time": {perSecond: 4, load: evenly(6, 60), least: 0.7, disturb: func(f *fleet) {
			f.mu.Lock()
			f.cut = func(from, to int) bool { return (from < 3) != (to < 3) }
			f.mu.Unlock()
			time.Sleep(14 * time.Second)
			f.mu.Lock()
			f.cut = nil
			f.mu.Unlock()
		}},
		"messages are lost": {perSecond: 4, load: evenly(4, 40), least: 0.7, disturb: func(f *fleet) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.lost = 0.2
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fleet{random: rand.New(rand.NewPCG(1, 1))}
				for i := range tt.load {
					f.entries = append(f.entries, &entry{fleet: f, index: i, address: fmt.Sprintf("10.0.0.%d:1", i)})
				}
				for _, e := range f.entries {
					e.start()
				}
				time.Sleep(joinTime)
				ctx, cancel := context.WithTimeout(t.Context(), graceTime+loadTime)
				defer cancel()
				f.mu.Lock()
				f.perSecond = tt.perSecond
				f.mu.Unlock()
				stated := time.Now()
				var senders sync.WaitGroup
				for i, e := range f.entries {
					random := rand.New(rand.NewPCG(uint64(i), 2))
					senders.Go(func() { e.sendLoad(ctx, tt.load[i], random) })
				}
				first := owner(f).index
				time.Sleep(graceTime)
				f.mu.Lock()
				askedBefore := f.asked
				f.mu.Unlock()
				if tt.disturb != nil {
					go tt.disturb(f)
				}
				senders.Wait()
				time.Sleep(time.Second)
				f.mu.Lock()
				asked := f.asked - askedBefore
				f.mu.Unlock()
				counts := func(a arrival) bool {
					return a.at.After(stated.Add(time.Second)) && (!tt.excused || a.entry != first)
				}
				window, got := f.worstWindow(stated.Add(graceTime), counts), 0
				for _, a := range f.arrivals {
					if a.at.After(stated.Add(graceTime)) {
						got++
					}
				}
				most, allowed := 1.5*tt.perSecond*limitWindow.Seconds()+5, tt.perSecond*loadTime.Seconds()
				t.Logf("worst window %d of %.0f; %d requests of %.0f; %.1f calls a second between entries", window, most, got, allowed, float64(asked)/loadTime.Seconds())
				if float64(window) > most {
					t.Errorf("%d requests within %v, allowed %.0f", window, limitWindow, most)
				}
				if float64(got) < tt.least*allowed {
					t.Errorf("%d requests, of %.0f that the limit allows", got, allowed)
				}
				for _, e := range f.entries {
					e.kill()
				}
			})
		})
	}
}

// freeze makes an entry silent for a time. It sends nothing either.
func freeze(f *fleet, e *entry, length time.Duration) {
	set := func(frozen bool) {
		f.mu.Lock()
		defer f.mu.Unlock()
		e.frozen = frozen
	}
	set(true)
	time.Sleep(length)
	set(false)
}
