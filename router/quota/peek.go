package quota

import (
	"time"
)

type (
	// CustomerPeek is what Take would decide about a request of a customer, as far as this entry knows without asking the
	// allocator.
	CustomerPeek struct {
		// Limit is the quota in force; its PerSecond is 0 if there is none.
		Limit CustomerLimit
		// Held is what this entry may grant without asking. OwnPart reports whether it is this entry's own part of the quota,
		// as there is no allocator.
		Held    float64
		OwnPart bool
		// Asks reports whether the request would wait for the allocator. The decision is then an estimate by its last answer.
		Asks     bool
		Decision Decision
	}
)

// Peek returns what Take would decide about a request of a customer. It takes nothing, asks nobody and changes nothing.
func (c *Customers) Peek(customer string, amount float64) CustomerPeek {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	s, found := c.duplicate(customer, now)
	if !found || s.limit.PerSecond <= 0 {
		return CustomerPeek{Limit: s.limit, Decision: Allowed{}}
	}
	p := CustomerPeek{Limit: s.limit, Held: s.held, OwnPart: c.ownPart(&s)}
	if p.OwnPart {
		c.refillOwnPart(&s, now)
		p.Held = s.ownPart.level
	}
	p.Decision = c.decide(&s, amount)
	switch {
	case p.Decision != nil:
	case !c.mayAsk(now, now.Add(maxQuotaWait)):
		p.Decision = c.denyUnasked(&s, amount, now)
	default:
		p.Asks, p.Decision = true, c.estimateAnswer(&s, amount, now)
	}
	return p
}

// duplicate returns a copy of what this entry has of a customer's quota, as Take would find it, or false for a customer
// without one. The caller holds the lock.
func (c *Customers) duplicate(customer string, now time.Time) (customerState, bool) {
	limits := c.limits()
	for _, l := range limits.Limits {
		if l.Name != customer {
			continue
		}
		s := customerState{ownPart: bucket{updated: now}}
		if known, found := c.states[customer]; found {
			s = *known
		}
		s.limit = l
		if c.silent(now) {
			s.useOwnPart(now)
		}
		return s, true
	}
	return customerState{}, false
}

// estimateAnswer decides about a request as after an answer of the allocator that leaves what its last one left, and what
// has become available since. It changes s. The caller holds the lock.
func (c *Customers) estimateAnswer(s *customerState, amount float64, now time.Time) Decision {
	available := s.share.Available + s.limit.PerSecond*now.Sub(c.link.answered).Seconds()
	if amount <= available {
		return Allowed{}
	}
	s.deniedUntil = now.Add(shortGaps * c.link.earlyGap)
	return c.decide(s, amount)
}
