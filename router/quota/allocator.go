package quota

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// reportInterval is the least time between two reports of an entry without waiting requests.
	reportInterval = 500 * time.Millisecond
	// reportSpacing times the number of entries is the least interval. It bounds the allocator to 62 reports a second, some
	// tenth of 0.144 of a core.
	reportSpacing = 16 * time.Millisecond
	// minEarlyGap is the least time between two reports of an entry whose requests wait. When the allocator gets more than
	// maxEarly of them within earlyMemory, it is also earlySpacing times the number of such entries, which bounds the
	// allocator to 100 of them a second.
	minEarlyGap  = 20 * time.Millisecond
	maxEarly     = 50
	earlySpacing = 10 * time.Millisecond
	earlyMemory  = time.Second
	// reporterIntervals is the number of intervals without a report after which an entry counts as cut off. It is less than
	// grantIntervals, so that the entry uses its own part only after its grants were replaced.
	reporterIntervals = 3
	// evenPart and demandPart are the parts of the capacity that entries hold: all the same, and by their demand. centralPart
	// is granted only to entries whose requests wait. evenPart shrinks as the usual demand approaches the rate, so that entries
	// with demand get it, down to minEvenPart; demandPart is held completely from there on.
	evenPart    = 0.6
	minEvenPart = 0.1
	demandPart  = 0.4
	centralPart = 0.2
	// usualTime is the time over which the demand is averaged that evenPart follows. One large request of a small customer
	// exceeds its rate for a second; over a shorter time it would make all entries give back what they hold.
	usualTime = 4 * time.Second
	// refreshInterval is how often the reporting entries are counted.
	refreshInterval = 50 * time.Millisecond
	// joinGrace is how long after its start an allocator divides by the assumed number of entries: it has not met all yet.
	joinGrace = 3 * time.Second
	// maxOthers bounds an answer to 2 KB for customers that the report does not name.
	maxOthers = 32
)

type (
	// Allocator divides the quotas of all customers among the entries that report to it. It is safe for concurrent use.
	//
	// Of each customer it has an amount that all entries together may spend, which grows at the customer's rate up to a
	// capacity. Parts of it are held by the entries, the rest is free. What an entry held counts as spent when it falls
	// silent, so the sum over all entries stays within the bound whatever becomes of entries and messages.
	Allocator struct {
		process int64
		members CustomerMembers
		limits  func() CustomerLimits
		bounds  CustomerBounds
		started time.Time

		mu        sync.Mutex
		version   int64
		customers map[string]*pool
		reporters map[string]*reporter
		refreshed time.Time
		// coverage is the part of the known entries that report here, those that came recently counted by takeoverFactor.
		coverage float64
		entries  int
		// waiting is the number of entries whose requests waited within earlyMemory, and early the number of their reports,
		// averaged over earlyMemory until earlyCounted.
		waiting      int
		early        float64
		earlyCounted time.Time
	}

	// CustomerMembers knows the entries of the fleet.
	CustomerMembers interface {
		// Owners returns the addresses of the entries to report to, the first one that is reachable.
		Owners(name string, n int) []string
		// KnownCount returns the number of entries that may be running, this one included.
		KnownCount() int
		// Divisor returns the number of entries among which a quota is divided when nobody else can be asked.
		Divisor() int
	}

	// pool is the quota of one customer.
	pool struct {
		limit    CustomerLimit
		division division
		// free is what no entry holds. Its level is negative after entries spent more than they were granted.
		free bucket
		// held, demand and granted are the sums over the reporters.
		held, demand, granted float64
		// usual is the demand averaged over usualTime.
		usual float64
	}

	// reporter is an entry that reports to the allocator.
	reporter struct {
		process  int64
		number   int64
		joined   time.Time
		reported time.Time
		early    time.Time
		parts    map[string]*part
	}

	// part is what one reporter has of a customer's quota.
	part struct {
		CustomerUse
		// grant is the amount in the answer to the last report, included in Held.
		grant float64
		// debt is the amount by which the entry may exceed what it holds.
		debt float64
	}
)

// NewAllocator returns the allocator of an entry. limits returns the quotas of the configuration in force.
func NewAllocator(members CustomerMembers, limits func() CustomerLimits, bounds CustomerBounds) *Allocator {
	now := time.Now()
	return &Allocator{
		process: now.UnixNano(), members: members, limits: limits, bounds: bounds, started: now,
		customers: make(map[string]*pool), reporters: make(map[string]*reporter),
	}
}

// Report answers the report of an entry. It returns false without a configuration, and for a report that arrives after a
// later one of the same process.
func (a *Allocator) Report(r CustomerReport) (CustomerAnswer, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if !a.updateLimits() {
		return CustomerAnswer{}, false
	}
	e, found := a.reporters[r.Entry]
	if found && e.process == r.Process && r.Number <= e.number {
		return CustomerAnswer{}, false
	}
	if found && e.process != r.Process {
		a.forget(e)
		found = false
	}
	if !found {
		e = &reporter{process: r.Process, joined: now, parts: make(map[string]*part)}
		a.reporters[r.Entry] = e
		a.refreshed = time.Time{}
	}
	switch {
	case r.Allocator != a.process:
		// The entry holds grants of another allocator, which may still grant the rate. Whether it has received the last
		// answer from here is unknown.
		e.joined = now
	case r.Applied != e.number:
		a.reclaim(e)
	}
	e.number, e.reported = r.Number, now
	if r.Early {
		a.countEarly(1, now)
		e.early = now
	}
	a.refresh(now)
	answer := CustomerAnswer{
		Allocator: a.process,
		Interval:  a.interval(),
		EarlyGap:  a.earlyGap(now),
		Customers: make([]CustomerShare, 0, len(r.Customers)),
	}
	for _, p := range e.parts {
		p.grant = 0
	}
	for _, use := range r.Customers {
		c, found := a.customers[use.Name]
		if !found {
			continue
		}
		answer.Customers = append(answer.Customers, a.answer(c, e, use, now))
	}
	answer.Others = a.otherLoads(r)
	return answer, true
}

// otherLoads returns the largest loads of customers that a report does not name. The caller holds the lock.
func (a *Allocator) otherLoads(r CustomerReport) []CustomerLoad {
	var others []CustomerLoad
	for name, c := range a.customers {
		if c.demand > 0 && !slices.ContainsFunc(r.Customers, func(u CustomerUse) bool { return u.Name == name }) {
			others = append(others, CustomerLoad{Name: name, Demand: math.Round(c.demand), Granted: math.Round(c.granted)})
		}
	}
	slices.SortFunc(others, func(a, b CustomerLoad) int {
		return cmp.Or(cmp.Compare(b.Demand, a.Demand), cmp.Compare(a.Name, b.Name))
	})
	return others[:min(len(others), maxOthers)]
}

// Limits returns the quotas of the configuration in force.
func (a *Allocator) Limits() CustomerLimits {
	return a.limits()
}

// Loads returns the load of each customer at the entries that report here.
func (a *Allocator) Loads() []CustomerLoad {
	a.mu.Lock()
	defer a.mu.Unlock()
	list := make([]CustomerLoad, 0, len(a.customers))
	for name, c := range a.customers {
		list = append(list, CustomerLoad{Name: name, Demand: c.demand, Granted: c.granted})
	}
	return list
}

// answer settles what an entry reports about a customer, and grants what it lacks. The caller holds the lock.
func (a *Allocator) answer(c *pool, e *reporter, use CustomerUse, now time.Time) CustomerShare {
	p, found := e.parts[use.Name]
	if !found {
		p = &part{}
		e.parts[use.Name] = p
	}
	// The time since the last report adds nothing beyond the capacity, as the entry may have spent what it held just now.
	covered := min(1, c.division.partition*a.coverage)
	c.fill(covered, now)
	// What the entry has given back is free again. What it held and holds no longer is spent.
	c.free.level += min(use.Returned, max(0, p.Held-use.Held))
	c.replace(p, use)
	c.free.level = min(c.free.level, covered*c.division.capacity-c.held)
	share := CustomerShare{Name: use.Name, Demand: c.demand, Granted: c.granted, Available: c.free.level + c.held}
	if c.limit.PerSecond <= 0 {
		return share
	}
	capacity, perSecond := covered*c.division.capacity, covered*c.division.perSecond
	demandShare := use.Demand / max(c.demand, c.division.perSecond)
	even := max(minEvenPart, evenPart*(1-c.usual/c.division.perSecond))
	// Shortly after a start little has accumulated, of which most must stay free for entries whose requests wait.
	share.Target = even*max(0, share.Available)/float64(a.entries) + demandPart*capacity*demandShare
	share.Debt = c.division.debt / float64(a.entries)
	share.PerSecond = perSecond * max(use.Demand/max(c.demand, perSecond), 1/float64(a.entries))
	top := min(share.Target-use.Held, c.free.level-centralPart*share.Available)
	// Grants are whole units, so that amounts need no rounding on their way.
	share.Grant = max(0, math.Floor(max(top, min(math.Ceil(use.Want-use.Held), c.free.level))))
	share.Short = use.Want > use.Held+share.Grant
	c.free.level -= share.Grant
	c.held += share.Grant
	p.Held += share.Grant
	p.grant, p.debt = share.Grant, share.Debt
	return share
}

// replace replaces what a reporter has reported before about a customer.
func (c *pool) replace(p *part, use CustomerUse) {
	c.held += use.Held - p.Held
	c.demand += use.Demand - p.Demand
	c.granted += use.Granted - p.Granted
	p.CustomerUse = use
}

// fill adds what accumulated since the last call, for a part of the customer's rate and capacity.
func (c *pool) fill(covered float64, now time.Time) {
	if elapsed := now.Sub(c.free.updated); !c.free.updated.IsZero() && elapsed > 0 {
		c.usual += (1 - math.Exp(-elapsed.Seconds()/usualTime.Seconds())) * (c.demand - c.usual)
	}
	c.free.refill(covered*c.division.perSecond, covered*c.division.capacity-c.held, now)
	c.free.level = min(c.free.level, covered*c.division.capacity-c.held)
}

// reclaim frees the grants of the last answer to an entry, which it has not received and does not use any more. The caller
// holds the lock.
func (a *Allocator) reclaim(e *reporter) {
	for name, p := range e.parts {
		if c, found := a.customers[name]; found {
			c.free.level += p.grant
			c.held -= p.grant
		}
		p.Held -= p.grant
	}
}

// forget removes what an entry held: it counts as spent, and so does the debt that the entry may have made. The caller
// holds the lock.
func (a *Allocator) forget(e *reporter) {
	for name, p := range e.parts {
		if c, found := a.customers[name]; found {
			c.replace(p, CustomerUse{})
			c.free.level -= p.debt
		}
	}
	clear(e.parts)
}

// interval returns the time between two reports of an entry. The caller holds the lock.
func (a *Allocator) interval() time.Duration {
	return max(reportInterval, time.Duration(a.entries)*reportSpacing)
}

// earlyGap returns the time between two reports of an entry whose requests wait. The caller holds the lock.
func (a *Allocator) earlyGap(now time.Time) time.Duration {
	a.countEarly(0, now)
	if a.early <= maxEarly {
		return minEarlyGap
	}
	return max(minEarlyGap, time.Duration(a.waiting)*earlySpacing)
}

// countEarly counts reports of entries whose requests wait. The caller holds the lock.
func (a *Allocator) countEarly(reports float64, now time.Time) {
	a.early = a.early*math.Exp(-now.Sub(a.earlyCounted).Seconds()/earlyMemory.Seconds()) + reports
	a.earlyCounted = now
}

// refresh counts the entries that report, and forgets those that are silent. The caller holds the lock.
func (a *Allocator) refresh(now time.Time) {
	if now.Sub(a.refreshed) < refreshInterval {
		return
	}
	a.refreshed = now
	a.entries = max(1, a.members.KnownCount())
	if now.Sub(a.started) < joinGrace {
		a.entries = max(a.entries, a.members.Divisor())
	}
	weight := 0.0
	a.waiting = 0
	for address, e := range a.reporters {
		switch {
		case now.Sub(e.reported) > reporterIntervals*a.interval():
			a.forget(e)
			delete(a.reporters, address)
			continue
		case now.Sub(e.joined) < takeoverTime:
			weight += takeoverFactor
		default:
			weight++
		}
		if now.Sub(e.early) < earlyMemory {
			a.waiting++
		}
	}
	a.entries = max(a.entries, len(a.reporters))
	a.coverage = weight / float64(a.entries)
}

// updateLimits takes over the quotas of the configuration in force. It returns false if there is none. The caller holds the
// lock.
func (a *Allocator) updateLimits() bool {
	limits := a.limits()
	if limits.Version == 0 {
		return false
	}
	if limits.Version == a.version {
		return true
	}
	a.version = limits.Version
	previous := a.customers
	a.customers = make(map[string]*pool, len(limits.Limits))
	for _, l := range limits.Limits {
		c, found := previous[l.Name]
		if !found {
			c = &pool{}
		}
		c.limit, c.division = l, a.bounds.divide(l)
		a.customers[l.Name] = c
	}
	for _, e := range a.reporters {
		for name := range e.parts {
			if _, found := a.customers[name]; !found {
				delete(e.parts, name)
			}
		}
	}
	return true
}
