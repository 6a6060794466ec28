package gateway

import (
	"slices"
	"sync"
	"time"

	"gooseberrypin.example/router/contention"
	"gooseberrypin.example/router/ingress"
	"gooseberrypin.example/router/quota"
)

const (
	// generationRetryAfterFactor times the latency target is the retry delay of a refused generation where standing is not in
	// force.
	generationRetryAfterFactor = 1.5
)

type (
	// poolOrder caches the ranks of the requests for a pool by a table.
	poolOrder struct {
		mu    sync.Mutex
		table *ingress.Table
		ranks []int
		units map[string]int
	}
)

// WithContention makes generations compete for scarce decode memory by their standing. By default they do not.
func WithContention() Option {
	return func(g *Gateway) { g.contention = true }
}

// WithCustomerLoads sets the function that returns the loads of customers at all entries, and the time of which they are.
// By default they are not known, and all customers count as within their fair shares.
func WithCustomerLoads(loads func() ([]quota.CustomerLoad, time.Time)) Option {
	return func(g *Gateway) { g.shares = contention.NewShares(loads) }
}

// newStanding returns the place of the generation among those that compete for the decode memory of the pool. It is in force
// with WithContention, if there are customers or the routes of the pool have different priorities.
func (n *generation) newStanding() contention.Standing {
	if !n.gateway.contention {
		return contention.Standing{}
	}
	ranks, units := n.poolState.order.of(n.table, n.pool.Name)
	if !n.table.HasCustomers() && len(ranks) < 2 {
		return contention.Standing{}
	}
	place, _ := slices.BinarySearch(ranks, n.rank())
	s := contention.Standing{InForce: true, Rank: place, Ranks: len(ranks)}
	if within := n.partWithinShare(units); within < 1 {
		s.BeyondShare = n.random().draw() >= within
	}
	return s
}

// partWithinShare returns the part of the customer's requests that are within its fair share, among the customers with the
// same unit.
func (n *generation) partWithinShare(units map[string]int) float64 {
	if n.customer == nil || n.gateway.shares == nil {
		return 1
	}
	return n.gateway.shares.WithinPart(n.customer.Name, n.table, func(name string) int { return units[name] })
}

// withinShare returns the chance with which the generation counts as within its customer's fair share; 1 where that does not
// matter.
func (n *generation) withinShare() float64 {
	if !n.record.Standing.InForce {
		return 1
	}
	_, units := n.poolState.order.of(n.table, n.pool.Name)
	return n.partWithinShare(units)
}

// retryAfter returns the retry delay for the caller of a refused generation.
func (n *generation) retryAfter() time.Duration {
	if s := n.record.Standing; s.InForce {
		return s.RetryAfter(n.route.TargetLatency, time.Until(n.request.deadline(n.route)), n.random().draw())
	}
	return time.Duration(generationRetryAfterFactor * float64(n.route.TargetLatency))
}

// of returns the ranks of the requests for a pool and the units of the customers.
func (o *poolOrder) of(t *ingress.Table, pool string) (ranks []int, units map[string]int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.table != t {
		o.table, o.ranks, o.units = t, t.Ranks(pool), make(map[string]int)
		for _, c := range t.Configuration.Customers {
			o.units[c.Name] = int(c.Quota.Unit)
		}
	}
	return o.ranks, o.units
}
