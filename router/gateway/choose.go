package gateway

import (
	"math/rand/v2"
	"slices"
	"time"

	"gooseberrypin.example/router/upstream"
)

const (
	// remoteCostRequests is added to the requests in flight of a plain service in another data centre when
	// upstreams are compared.
	remoteCostRequests = 1
	// remoteCostTokens is added to the prompt tokens in flight of a prefill engine in another data centre
	// than the decode engine when upstreams are compared: the KV transfer takes twice as long.
	remoteCostTokens = 1000
)

type (
	// chooser returns the best member that was not tried, or nil. It prefers the given data centre.
	chooser func(members []*upstream.Member, dataCentre string, tried map[string]bool, random *rand.Rand) *upstream.Member

	// cost returns what a member costs. The one with the lowest cost is chosen.
	cost func(*upstream.Member) float64
)

// chooseService returns the member with the fewest requests of this process in flight, or nil. It prefers
// members in the data centre. The number of requests in flight accounts for servers of different speed and
// servers that hang.
func chooseService(members []*upstream.Member, dataCentre string, tried map[string]bool, random *rand.Rand) *upstream.Member {
	return leastCost(members, tried, random, serviceCost(dataCentre))
}

// serviceCost returns the cost by which plain services are compared in a data centre.
func serviceCost(dataCentre string) cost {
	return func(m *upstream.Member) float64 {
		load := float64(m.Load().Requests)
		if m.DataCentre != dataCentre {
			load += remoteCostRequests
		}
		return load
	}
}

// choosePrefill returns the prefill engine with the fewest prompt tokens of this process in flight, or nil.
// It prefers engines in the data centre, which is that of the decode engine.
func choosePrefill(members []*upstream.Member, dataCentre string, tried map[string]bool, random *rand.Rand) *upstream.Member {
	return leastCost(members, tried, random, prefillCost(dataCentre))
}

// prefillCost returns the cost by which prefill engines are compared for a decode engine in a data centre.
func prefillCost(dataCentre string) cost {
	return func(m *upstream.Member) float64 {
		load := float64(m.Load().Tokens)
		if m.DataCentre != dataCentre {
			load += remoteCostTokens
		}
		return load
	}
}

// leastCost returns the member with the lowest cost that was not tried, or nil. It chooses at random among
// members of equal cost.
func leastCost(members []*upstream.Member, tried map[string]bool, random *rand.Rand, of cost) *upstream.Member {
	var best *upstream.Member
	for n, m := range cheapest(members, tried, of) {
		if n == 0 || random.IntN(n+1) == 0 {
			best = m
		}
	}
	return best
}

// cheapest returns the members with the lowest cost that were not tried.
func cheapest(members []*upstream.Member, tried map[string]bool, of cost) []*upstream.Member {
	var best []*upstream.Member
	lowest := 0.0
	for _, m := range members {
		if tried[m.ID] {
			continue
		}
		c := of(m)
		if len(best) == 0 || c < lowest {
			best, lowest = best[:0], c
		}
		if c == lowest {
			best = append(best, m)
		}
	}
	return best
}

// services returns the members of a plain service that are not ejected. If all are ejected, it returns those that have
// not asked for a pause: a send that may be rejected is better than none. If all have asked for one, it returns none, and
// the time until the first one may be sent a request.
func (g *Gateway) services(pool string) ([]*upstream.Member, time.Duration) {
	now := time.Now()
	if ready := g.directory.Ready(pool, upstream.PhaseNone, now); len(ready) > 0 {
		return ready, 0
	}
	members := g.directory.Published(pool, upstream.PhaseNone)
	backoff := func(m *upstream.Member) time.Duration { return m.Backoff(now) }
	if shortest := shortestWait(members, backoff); shortest > 0 {
		return nil, shortest
	}
	return slices.DeleteFunc(members, func(m *upstream.Member) bool { return backoff(m) > 0 }), 0
}

// shortestWait returns the shortest of the waits of members. It is 0 if one of them has none, or if there are no members.
func shortestWait(members []*upstream.Member, wait func(*upstream.Member) time.Duration) time.Duration {
	shortest := time.Duration(0)
	for n, m := range members {
		if w := wait(m); n == 0 || w < shortest {
			shortest = w
		}
	}
	return shortest
}
