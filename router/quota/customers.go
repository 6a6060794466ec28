package quota

import (
	"cmp"
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"gooseberrypin.example/router/event"
)

const (
	// maxQuotaWait bounds the time that a request waits for the allocator.
	maxQuotaWait = 100 * time.Millisecond
	// demandTime is the time over which the demand of a customer is averaged.
	demandTime = time.Second
	// minDemandPart times the rate of a customer is the demand below which it counts as none.
	minDemandPart = 1e-3
	// targetTolerance is the part of its target by which an entry may hold more or less without reporting it.
	targetTolerance = 0.1
	// ownPartTime is the time for which an entry without an allocator saves up its own part of a quota. The part starts
	// empty, so all entries together spend no more than the rate since they lost the allocator.
	ownPartTime = time.Second
)

type (
	// Customers decides for one entry whether requests of customers are within their quotas. It is safe for concurrent use.
	Customers struct {
		address   string
		process   int64
		members   CustomerMembers
		peers     CustomerPeers
		allocator *Allocator
		limits    func() CustomerLimits
		log       event.Log
		observe   func(customer string, o Outcome, amount float64)
		// wake holds a value while requests wait for the allocator.
		wake chan struct{}

		mu      sync.Mutex
		version int64
		states  map[string]*customerState
		link    allocatorLink
	}

	// CustomerPeers sends reports to other entries.
	CustomerPeers interface {
		Report(ctx context.Context, address string, r CustomerReport) (CustomerAnswer, error)
	}

	// CustomersOption configures a Customers.
	CustomersOption func(*Customers)

	// customerState is what this entry has of one customer's quota.
	customerState struct {
		limit CustomerLimit
		// held is the amount that this entry may grant, negative after requests that exceeded it. share is the latest answer
		// of the allocator; known is whether the allocator knows the customer.
		held  float64
		share CustomerShare
		known bool
		// ownPart is used instead without an allocator.
		ownPart bucket
		// deniedUntil is until when the allocator has nothing more to grant.
		deniedUntil time.Time
		retries     retryTimes
		// want is the amount that waiting requests need. answered is closed at the next answer; nil if no request waits.
		want     float64
		answered chan struct{}
		// asked and taken are the amounts asked for and granted since the last report; demand and granted are their averages.
		asked, taken    float64
		demand, granted float64
		// reported is whether the allocator has a demand of this customer.
		reported bool
		// skipped is the number of reports since the last one that named the customer.
		skipped int
	}
)

// NewCustomers returns the quotas of customers at the entry at an address. limits returns the quotas of the configuration in
// force; the entry's own allocator answers when this entry is the owner.
func NewCustomers(address string, members CustomerMembers, peers CustomerPeers, allocator *Allocator, limits func() CustomerLimits, opts ...CustomersOption) *Customers {
	now := time.Now()
	c := &Customers{
		address: address, process: now.UnixNano(), members: members, peers: peers, allocator: allocator, limits: limits,
		log: event.Discard(), observe: func(string, Outcome, float64) {},
		wake: make(chan struct{}, 1), states: make(map[string]*customerState),
		link: allocatorLink{interval: reportInterval, earlyGap: minEarlyGap, lost: true, lostSince: now, averaged: now},
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// WithCustomerLog sets the log.
func WithCustomerLog(log event.Log) CustomersOption {
	return func(c *Customers) { c.log = log }
}

// WithCustomerObserver sets the function that receives the outcome and the amount of each request.
func WithCustomerObserver(observe func(customer string, o Outcome, amount float64)) CustomersOption {
	return func(c *Customers) { c.observe = observe }
}

// Take decides whether a request of a customer may be sent. It may wait for the allocator, for maxQuotaWait at most. A
// request that then does not run gives its amount back with Return.
func (c *Customers) Take(ctx context.Context, customer string, amount float64) Decision {
	c.mu.Lock()
	s := c.state(customer)
	if s == nil || s.limit.PerSecond <= 0 {
		if s != nil {
			s.asked += amount
			s.taken += amount
		}
		c.mu.Unlock()
		return Allowed{}
	}
	c.checkLost(time.Now())
	s.asked += amount
	deadline := time.Now().Add(maxQuotaWait)
	for {
		d := c.decide(s, amount)
		if d != nil || ctx.Err() != nil || !c.mayAsk(time.Now(), deadline) {
			defer c.mu.Unlock()
			return c.settle(s, amount, d)
		}
		if s.answered == nil {
			s.answered = make(chan struct{})
		}
		answered := s.answered
		s.want += amount
		c.mu.Unlock()
		c.requestReport()
		wait(ctx, answered, deadline)
		c.mu.Lock()
		s.want = max(0, s.want-amount)
	}
}

// wait waits until an answer arrives, the deadline passes or ctx is done.
func wait(ctx context.Context, answered <-chan struct{}, deadline time.Time) {
	timeout := time.NewTimer(time.Until(deadline))
	defer timeout.Stop()
	select {
	case <-ctx.Done():
	case <-answered:
	case <-timeout.C:
	}
}

// Return gives back the amount of a request that did not run.
func (c *Customers) Return(customer string, amount float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.state(customer)
	if s == nil {
		return
	}
	s.taken -= amount
	if s.limit.PerSecond <= 0 || c.ownPart(s) {
		return
	}
	// Requests may wait long before they are refused. What they return together must not exceed what the entry may hold.
	s.held = max(s.held, min(s.held+amount, s.share.Target))
}

// Charge counts a further send of a request that was allowed. It is not refused; what exceeds the quota is missing later.
func (c *Customers) Charge(customer string, amount float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.state(customer)
	if s == nil {
		return
	}
	s.taken += amount
	if s.limit.PerSecond <= 0 {
		return
	}
	if c.ownPart(s) {
		s.ownPart.level -= amount
		return
	}
	s.held -= amount
}

// LoadsAt returns the loads of all customers in the fleet, as the allocator stated them last, and the time of its statement.
func (c *Customers) LoadsAt() ([]CustomerLoad, time.Time) {
	loads := c.Loads()
	c.mu.Lock()
	defer c.mu.Unlock()
	return loads, c.link.answered
}

// Loads returns the loads of all customers in the fleet, as the allocator stated them last.
func (c *Customers) Loads() []CustomerLoad {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]CustomerLoad, 0, len(c.states))
	for name, s := range c.states {
		list = append(list, CustomerLoad{Name: name, Demand: s.share.Demand, Granted: s.share.Granted})
	}
	return list
}

// States returns what this entry has of the quotas of all customers, ordered by name.
func (c *Customers) States() []CustomerState {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.updateLimits()
	list := make([]CustomerState, 0, len(c.states))
	for name, s := range c.states {
		state := CustomerState{
			Name: name, PerSecond: s.limit.PerSecond, Burst: s.limit.Burst, Held: s.held, Granted: s.granted, Demand: s.demand,
			FleetGranted: s.share.Granted, FleetDemand: s.share.Demand, FleetRemaining: s.share.Available, Allocator: c.link.address,
		}
		if c.ownPart(s) {
			state.Held, state.Allocator = s.ownPart.level, ""
		}
		list = append(list, state)
	}
	slices.SortFunc(list, func(a, b CustomerState) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// state returns what this entry has of a customer's quota, or nil for a customer without one. The caller holds the lock.
func (c *Customers) state(customer string) *customerState {
	c.updateLimits()
	return c.states[customer]
}

// updateLimits takes over the quotas of the configuration in force. The caller holds the lock.
func (c *Customers) updateLimits() {
	limits := c.limits()
	if limits.Version == c.version {
		return
	}
	c.version = limits.Version
	previous := c.states
	c.states = make(map[string]*customerState, len(limits.Limits))
	for _, l := range limits.Limits {
		s, found := previous[l.Name]
		if !found {
			s = &customerState{ownPart: bucket{updated: time.Now()}}
		}
		if found && (l.PerSecond != s.limit.PerSecond || l.Burst != s.limit.Burst) {
			c.log.Info(event.CustomerQuotaChanged, "customer", l.Name, "per_second", l.PerSecond, "burst", l.Burst,
				"previous_per_second", s.limit.PerSecond, "previous_burst", s.limit.Burst, "version", limits.Version)
		}
		s.limit = l
		c.states[l.Name] = s
	}
}

// decide decides by what this entry holds. It returns nil if the allocator is to be asked. The caller holds the lock.
func (c *Customers) decide(s *customerState, amount float64) Decision {
	now := time.Now()
	switch {
	case c.ownPart(s):
		return c.takeOwnPart(s, amount, now)
	case s.held >= amount, s.held > 0 && s.held-amount >= -s.share.Debt:
		s.held -= amount
		return Allowed{}
	case now.Before(s.deniedUntil):
		available := max(s.deniedUntil.Sub(now), untilAmount(amount-s.held, s.share.PerSecond))
		return Denied{RetryAfter: s.retries.next(available, amount, max(s.share.PerSecond, minPerSecond), now)}
	}
	return nil
}

// settle counts the outcome of a request. A request without a decision is denied until the next answer of the allocator.
// The caller holds the lock.
func (c *Customers) settle(s *customerState, amount float64, d Decision) Decision {
	if d == nil {
		d = c.denyUnasked(s, amount, time.Now())
	}
	own := c.ownPart(s)
	switch d.(type) {
	case Allowed:
		s.taken += amount
		c.observe(s.limit.Name, outcome(own, ShareGranted, Granted), amount)
	case Denied:
		c.observe(s.limit.Name, outcome(own, ShareRefused, Refused), amount)
	}
	return d
}

// mayAsk reports whether a request may wait for the allocator, until a deadline at most. The caller holds the lock.
func (c *Customers) mayAsk(now, deadline time.Time) bool {
	return now.Add(c.link.nextEarly(now)).Before(deadline)
}

// denyUnasked denies a request for which the allocator can't be asked in time. The caller holds the lock.
func (c *Customers) denyUnasked(s *customerState, amount float64, now time.Time) Decision {
	available := max(c.link.nextEarly(now), untilAmount(amount-s.held, s.share.PerSecond))
	return Denied{RetryAfter: s.retries.next(available, amount, max(s.share.PerSecond, minPerSecond), now)}
}

// ownPart reports whether this entry uses its own part of a quota. The caller holds the lock.
func (c *Customers) ownPart(s *customerState) bool {
	return c.link.lost || !s.known
}

// takeOwnPart takes an amount of this entry's own part of a quota. The caller holds the lock.
func (c *Customers) takeOwnPart(s *customerState, amount float64, now time.Time) Decision {
	perSecond := c.refillOwnPart(s, now)
	if s.ownPart.level >= amount {
		s.ownPart.level -= amount
		return Allowed{}
	}
	return Denied{RetryAfter: s.retries.next(s.ownPart.until(amount, perSecond), amount, perSecond, now)}
}

// refillOwnPart adds what has accumulated of this entry's own part of a quota, and returns its rate. The caller holds the
// lock.
func (c *Customers) refillOwnPart(s *customerState, now time.Time) float64 {
	perSecond := s.limit.PerSecond / float64(max(1, c.members.Divisor()))
	s.ownPart.refill(perSecond, max(perSecond*ownPartTime.Seconds(), 1), now)
	return perSecond
}

func outcome(own bool, share, granted Outcome) Outcome {
	if own {
		return share
	}
	return granted
}

// untilAmount returns the time until an amount is available at a rate, at most maxRetryAfter.
func untilAmount(amount, perSecond float64) time.Duration {
	if amount <= 0 {
		return 0
	}
	return seconds(min(maxRetryAfter.Seconds(), amount/max(perSecond, minPerSecond)))
}

// idle reports whether there is no demand that the allocator does not know of.
func (s *customerState) idle() bool {
	return s.demand == 0 && !s.reported && s.want == 0
}

// average updates the averages of the demand and of what was granted, after a time.
func (s *customerState) average(elapsed time.Duration) {
	if elapsed <= 0 {
		return
	}
	weight := 1 - math.Exp(-elapsed.Seconds()/demandTime.Seconds())
	s.demand += weight * (s.asked/elapsed.Seconds() - s.demand)
	s.granted += weight * (s.taken/elapsed.Seconds() - s.granted)
	if s.asked == 0 && s.demand < minDemandPart*s.limit.PerSecond {
		s.demand, s.granted = 0, 0
	}
	s.asked, s.taken = 0, 0
}
