package ingress

import (
	"slices"
)

const (
	// enginePriorities is the number of priorities that engines distinguish, from 0 to 9.
	enginePriorities = 10
)

type (
	// priorities orders requests by the priority of their customer, and then by that of their route.
	priorities struct {
		// customers and routes contain the distinct priorities of customers and of streaming routes in ascending order.
		// Both are empty without customers. Requests of other routes are not ordered.
		customers, routes []int
	}
)

// newPriorities returns the order of a configuration.
func newPriorities(c *Configuration) priorities {
	p := priorities{}
	if len(c.Customers) == 0 {
		return p
	}
	for _, customer := range c.Customers {
		p.customers = append(p.customers, customer.Priority)
	}
	for _, r := range c.Routes {
		if _, streaming := r.Kind.(Streaming); streaming {
			p.routes = append(p.routes, r.Priority)
		}
	}
	slices.Sort(p.customers)
	slices.Sort(p.routes)
	p.customers, p.routes = slices.Compact(p.customers), slices.Compact(p.routes)
	return p
}

// Rank returns the place of a request in the order of the customer's priority and then the route's. 0 is the most urgent.
// A request without a customer has the place of the least urgent customers. If no customers are in force, the rank is the
// priority of the route.
func (t *Table) Rank(c *Customer, r *Route) int {
	p := t.priorities
	if len(p.customers) == 0 {
		return r.Priority
	}
	customer := len(p.customers) - 1
	if c != nil {
		customer = position(p.customers, c.Priority)
	}
	return customer*max(1, len(p.routes)) + position(p.routes, r.Priority)
}

// Ranks returns the ranks that requests for streams of a pool may have, in ascending order.
func (t *Table) Ranks(pool string) []int {
	var ranks []int
	for i := range t.Configuration.Routes {
		r := &t.Configuration.Routes[i]
		if _, streaming := r.Kind.(Streaming); !streaming || !slices.ContainsFunc(r.Shares, func(s Share) bool { return s.Pool == pool }) {
			continue
		}
		if len(t.priorities.customers) == 0 {
			ranks = append(ranks, r.Priority)
		}
		for n := range t.priorities.customers {
			ranks = append(ranks, n*max(1, len(t.priorities.routes))+position(t.priorities.routes, r.Priority))
		}
	}
	slices.Sort(ranks)
	return slices.Compact(ranks)
}

// EnginePriority returns the priority from 0 to 9 that engines receive for a rank. A higher rank never has a lower priority,
// and ranks have different priorities if there are at most ten.
func (t *Table) EnginePriority(rank int) int {
	p := t.priorities
	if ranks := len(p.customers) * max(1, len(p.routes)); ranks > enginePriorities {
		rank = rank * enginePriorities / ranks
	}
	return min(max(rank, 0), enginePriorities-1)
}

// position returns the position of a priority in a sorted list, or that of the next one if it is not in the list.
func position(sorted []int, priority int) int {
	n, _ := slices.BinarySearch(sorted, priority)
	return min(n, max(0, len(sorted)-1))
}
