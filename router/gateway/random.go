package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"gooseberrypin.example/router/ingress"
	"gooseberrypin.example/router/upstream"
)

type (
	// randomness is a source of random choices. It is safe for concurrent use.
	randomness struct {
		mu     sync.Mutex
		random *rand.Rand
		// fixed is what draw returns instead of a random number, if it is not nil.
		fixed *float64
	}
)

func newRandomness(seed uint64) *randomness {
	return &randomness{random: rand.New(rand.NewPCG(seed, seed))}
}

// newRand returns a new generator that this one seeds.
func (r *randomness) newRand() *rand.Rand {
	r.mu.Lock()
	defer r.mu.Unlock()
	return rand.New(rand.NewPCG(r.random.Uint64(), r.random.Uint64()))
}

// draw returns a random number from 0 to 1.
func (r *randomness) draw() float64 {
	if r.fixed != nil {
		return *r.fixed
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.Float64()
}

// spread extends a retry delay by up to as much again, so that callers do not return at the same time.
func (r *randomness) spread(retryAfter time.Duration) time.Duration {
	return retryAfter + time.Duration(r.draw()*float64(retryAfter))
}

// pickPool draws the pool for a request of a route.
func (r *randomness) pickPool(route *ingress.Route) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return route.Pick(r.random)
}

// pick calls a chooser with the generator.
func (r *randomness) pick(choose chooser, members []*upstream.Member, dataCentre string, tried map[string]bool) *upstream.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return choose(members, dataCentre, tried, r.random)
}
