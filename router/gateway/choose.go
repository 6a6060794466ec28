package gateway

import (
	"math/rand/v2"
	"time"

	"gooseberrypin.example/router/upstream"
)

const (
	// remoteRequests is what another data centre costs in the choice of a plain service, in
	// requests in flight.
	remoteRequests = 1
	// remoteTokens is what a prefill in another data centre than the decode engine costs in
	// the choice, in prompt tokens: the transfer takes twice as long.
	remoteTokens = 1000
)

type (
	// chooser chooses among members; near names a data centre.
	chooser func(members []*upstream.Member, near string, tried map[string]bool, random *rand.Rand) *upstream.Member
)

// chooseService returns the member with the fewest requests of this process in flight,
// near ones first, or nil. It answers uneven speeds and servers that hang.
func chooseService(members []*upstream.Member, dataCentre string, tried map[string]bool, random *rand.Rand) *upstream.Member {
	return least(members, tried, random, func(m *upstream.Member) float64 {
		load := float64(m.Load().Requests)
		if m.DataCentre != dataCentre {
			load += remoteRequests
		}
		return load
	})
}

// choosePrefill returns the prefill engine with the fewest prompt tokens in flight, near the
// decode engine first, or nil.
func choosePrefill(members []*upstream.Member, dataCentre string, tried map[string]bool, random *rand.Rand) *upstream.Member {
	return least(members, tried, random, func(m *upstream.Member) float64 {
		load := float64(m.Load().Tokens)
		if m.DataCentre != dataCentre {
			load += remoteTokens
		}
		return load
	})
}

// least returns a member with the lowest cost that was not tried; equals are drawn at random.
func least(members []*upstream.Member, tried map[string]bool, random *rand.Rand, cost func(*upstream.Member) float64) *upstream.Member {
	var best *upstream.Member
	lowest, equals := 0.0, 0
	for _, m := range members {
		if tried[m.ID] {
			continue
		}
		switch c := cost(m); {
		case best == nil || c < lowest:
			best, lowest, equals = m, c, 1
		case c == lowest:
			equals++
			if random.IntN(equals) == 0 {
				best = m
			}
		}
	}
	return best
}

// pick runs a choice under the lock of the random source.
func (g *Gateway) pick(choice chooser, members []*upstream.Member, near string, tried map[string]bool) *upstream.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return choice(members, near, tried, g.random)
}

// services returns the members of a plain service. When all are ejected it returns them
// nevertheless: a refused try costs less than no try.
func (g *Gateway) services(pool string) []*upstream.Member {
	if ready := g.directory.Ready(pool, upstream.PhaseNone, time.Now()); len(ready) > 0 {
		return ready
	}
	return g.directory.Published(pool, upstream.PhaseNone)
}
