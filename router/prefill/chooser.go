package prefill

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	defaultTokenCost   = 25 * time.Microsecond
	defaultHalfLife    = 2 * time.Second
	defaultIndexBlocks = 1024
	recentChoices      = 64
)

type (
	// Hint is a dated report of an upstream's load. It may be wrong.
	Hint struct {
		Upstream   string
		QueueDelay time.Duration
		Accepting  bool
		At         time.Time
	}

	// Choice is the upstream chosen for a prompt.
	Choice struct {
		Upstream string
		// Predicted is the time until the prefill ends, Delay until it starts.
		Predicted    time.Duration
		Delay        time.Duration
		CachedTokens int
	}

	// Option sets an option of a chooser.
	Option func(c *Chooser)

	// Chooser chooses the upstream that ends a prompt's prefill first. It is safe for concurrent use.
	Chooser struct {
		mu          sync.Mutex
		random      *rand.Rand
		strategy    Strategy
		tokenCost   time.Duration
		halfLife    time.Duration
		indexBlocks int
		upstreams   map[string]*upstream
	}

	upstream struct {
		hint   Hint
		hinted bool
		// busyUntil is when the work known of is done.
		busyUntil time.Time
		recent    []choice
		cached    *index
	}

	choice struct {
		at   time.Time
		cost time.Duration
	}
)

// NewChooser returns a chooser that draws from random.
func NewChooser(random *rand.Rand, opts ...Option) *Chooser {
	c := &Chooser{
		random:      random,
		strategy:    BestOfAll{},
		tokenCost:   defaultTokenCost,
		halfLife:    defaultHalfLife,
		indexBlocks: defaultIndexBlocks,
		upstreams:   make(map[string]*upstream),
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// WithStrategy sets how candidates are compared.
func WithStrategy(s Strategy) Option {
	return func(c *Chooser) { c.strategy = s }
}

// WithTokenCost sets the time that an upstream needs for an uncached token.
func WithTokenCost(cost time.Duration) Option {
	return func(c *Chooser) { c.tokenCost = cost }
}

// WithHalfLife sets the age at which a hint has half its weight.
func WithHalfLife(age time.Duration) Option {
	return func(c *Chooser) { c.halfLife = age }
}

// WithIndexBlocks bounds the prefixes remembered for an upstream.
func WithIndexBlocks(blocks int) Option {
	return func(c *Chooser) { c.indexBlocks = blocks }
}

// Observe takes a hint, unless a newer one is known. The chooser's own choices since
// then are counted on top of it.
func (c *Chooser) Observe(h Hint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := c.upstream(h.Upstream)
	if u.hinted && h.At.Before(u.hint.At) {
		return
	}
	u.hint = h
	u.hinted = true
	u.replay()
}

// ObserveCache takes a report that an upstream has cached blocks, after a prefill or
// from a cache event. A choice alone caches nothing, as it may be withdrawn.
func (c *Chooser) ObserveCache(name string, blocks []uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.upstream(name).cached.add(blocks)
}

// Forget drops all that is known of an upstream.
func (c *Chooser) Forget(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.upstreams, name)
}

// Choose returns the candidate that is predicted to end the prefill first, or false
// when none accepts work. It counts the choice as work of that upstream.
func (c *Chooser) Choose(p Prompt, candidates []string, now time.Time) (Choice, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	best, found := c.cheapest(p, narrow(c.strategy, p, candidates, c.random), now)
	if !found {
		best, found = c.cheapest(p, candidates, now)
	}
	if found {
		c.take(p, best, now)
	}
	return best, found
}

// Withdraw takes back a choice whose prefill will not run.
func (c *Chooser) Withdraw(p Prompt, made Choice) {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := c.upstream(made.Upstream)
	cost := time.Duration(p.Tokens-made.CachedTokens) * c.tokenCost
	for i := len(u.recent) - 1; i >= 0; i-- {
		if u.recent[i].cost == cost {
			u.recent = slices.Delete(u.recent, i, i+1)
			u.replay()
			return
		}
	}
}

func (c *Chooser) cheapest(p Prompt, candidates []string, now time.Time) (best Choice, found bool) {
	if len(candidates) == 0 {
		return best, false
	}
	offset := c.random.IntN(len(candidates))
	for i := range candidates {
		name := candidates[(i+offset)%len(candidates)]
		u := c.upstream(name)
		if u.hinted && !u.hint.Accepting {
			continue
		}
		option := c.predict(p, name, u, now)
		if !found || option.Predicted < best.Predicted {
			best, found = option, true
		}
	}
	return best, found
}

func (c *Chooser) predict(p Prompt, name string, u *upstream, now time.Time) Choice {
	cached := u.cached.cachedTokens(p)
	delay := u.delay(c.halfLife, now)
	return Choice{
		Upstream:     name,
		Predicted:    delay + time.Duration(p.Tokens-cached)*c.tokenCost,
		Delay:        delay,
		CachedTokens: cached,
	}
}

func (c *Chooser) take(p Prompt, taken Choice, now time.Time) {
	u := c.upstream(taken.Upstream)
	if len(u.recent) == recentChoices {
		u.recent = slices.Delete(u.recent, 0, 1)
	}
	made := choice{at: now, cost: time.Duration(p.Tokens-taken.CachedTokens) * c.tokenCost}
	u.recent = append(u.recent, made)
	u.work(made)
}

func (c *Chooser) upstream(name string) *upstream {
	u, found := c.upstreams[name]
	if !found {
		u = &upstream{cached: newIndex(c.indexBlocks)}
		c.upstreams[name] = u
	}
	return u
}

// replay puts the choices made since the hint on top of it.
func (u *upstream) replay() {
	u.busyUntil = u.hint.At.Add(u.hint.QueueDelay)
	for _, made := range u.recent {
		if made.at.After(u.hint.At) {
			u.work(made)
		}
	}
}

func (u *upstream) work(made choice) {
	if u.busyUntil.Before(made.at) {
		u.busyUntil = made.at
	}
	u.busyUntil = u.busyUntil.Add(made.cost)
}

// delay is the predicted queue delay. The hint loses weight with its age.
func (u *upstream) delay(halfLife time.Duration, now time.Time) time.Duration {
	left := max(0, u.busyUntil.Sub(now))
	if !u.hinted || left == 0 {
		return left
	}
	age := max(0, now.Sub(u.hint.At))
	weight := math.Exp2(-float64(age) / float64(halfLife))
	return time.Duration(float64(left) * weight)
}
