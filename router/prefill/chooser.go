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
	maxRecentChoices   = 64
)

type (
	// Hint is a timestamped load report of an upstream. It may be outdated or wrong.
	Hint struct {
		Upstream string
		// QueueDelay is the predicted time until a new prefill would start.
		QueueDelay time.Duration
		// Accepting reports whether the upstream accepts new work.
		Accepting bool
		// At is when the load was measured.
		At time.Time
	}

	// Choice is the upstream chosen for a prompt.
	Choice struct {
		Upstream string
		// Predicted is the time until the prefill is complete. It includes Delay.
		Predicted time.Duration
		// Delay is the time until the prefill starts.
		Delay time.Duration
		// CachedTokens is the length of the prompt's prefix that the upstream is expected to have cached.
		CachedTokens int
	}

	// Option configures a Chooser.
	Option func(c *Chooser)

	// Chooser chooses the upstream that is predicted to complete a prompt's prefill first. It is safe for
	// concurrent use.
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
		hint    Hint
		hasHint bool
		// busyUntil is when the work in the hint and in the later choices is predicted to be complete.
		busyUntil time.Time
		// recent are this chooser's last choices of the upstream, at most maxRecentChoices.
		recent   []choice
		prefixes *index
	}

	choice struct {
		at time.Time
		// cost is the predicted duration of the prefill.
		cost time.Duration
	}
)

// NewChooser returns a chooser with no load reports. It uses random to break ties and to draw candidates.
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

// WithStrategy sets which candidates are compared. The default is BestOfAll.
func WithStrategy(s Strategy) Option {
	return func(c *Chooser) { c.strategy = s }
}

// WithTokenCost sets the prefill time of one uncached token. The default is 25 µs.
func WithTokenCost(cost time.Duration) Option {
	return func(c *Chooser) { c.tokenCost = cost }
}

// WithHalfLife sets the age at which a hint has half its weight. The default is 2 s.
func WithHalfLife(age time.Duration) Option {
	return func(c *Chooser) { c.halfLife = age }
}

// WithIndexBlocks sets the maximum number of cached blocks that are recorded for each upstream. The default is 1024.
func WithIndexBlocks(blocks int) Option {
	return func(c *Chooser) { c.indexBlocks = blocks }
}

// Observe records a hint, unless a newer one of the same upstream is recorded. The chooser's own choices
// since the hint's time are added to its queue delay.
func (c *Chooser) Observe(h Hint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := c.upstream(h.Upstream)
	if u.hasHint && h.At.Before(u.hint.At) {
		return
	}
	u.hint = h
	u.hasHint = true
	u.recomputeBusyUntil()
}

// ObserveCache records that an upstream has cached blocks, as known from a complete prefill or a cache event.
// Choose does not record blocks, because its choice may be withdrawn.
func (c *Chooser) ObserveCache(name string, blocks []uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.upstream(name).prefixes.add(blocks)
}

// Forget removes the hint, the choices and the cached blocks of an upstream.
func (c *Chooser) Forget(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.upstreams, name)
}

// Choose returns the candidate that is predicted to complete the prefill first, or false when none accepts
// work. It first compares the candidates that the strategy selects, then all of them if none of those
// accepts work. The choice is counted as work of its upstream.
func (c *Chooser) Choose(p Prompt, candidates []string, now time.Time) (Choice, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	best, found := c.cheapest(p, narrow(c.strategy, p, candidates, c.random), now)
	if !found {
		best, found = c.cheapest(p, candidates, now)
	}
	if found {
		c.recordChoice(p, best, now)
	}
	return best, found
}

// Withdraw removes the work of a choice whose prefill will not run.
func (c *Chooser) Withdraw(p Prompt, made Choice) {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := c.upstream(made.Upstream)
	cost := time.Duration(p.Tokens-made.CachedTokens) * c.tokenCost
	for i := len(u.recent) - 1; i >= 0; i-- {
		if u.recent[i].cost == cost {
			u.recent = slices.Delete(u.recent, i, i+1)
			u.recomputeBusyUntil()
			return
		}
	}
}

// cheapest returns the accepting candidate with the lowest predicted time. The scan starts at a random
// candidate, which breaks ties.
func (c *Chooser) cheapest(p Prompt, candidates []string, now time.Time) (best Choice, found bool) {
	if len(candidates) == 0 {
		return best, false
	}
	offset := c.random.IntN(len(candidates))
	for i := range candidates {
		name := candidates[(i+offset)%len(candidates)]
		u := c.upstream(name)
		if u.hasHint && !u.hint.Accepting {
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
	cached := u.prefixes.prefixTokens(p)
	delay := u.delay(c.halfLife, now)
	return Choice{
		Upstream:     name,
		Predicted:    delay + time.Duration(p.Tokens-cached)*c.tokenCost,
		Delay:        delay,
		CachedTokens: cached,
	}
}

func (c *Chooser) recordChoice(p Prompt, chosen Choice, now time.Time) {
	u := c.upstream(chosen.Upstream)
	if len(u.recent) == maxRecentChoices {
		u.recent = slices.Delete(u.recent, 0, 1)
	}
	made := choice{at: now, cost: time.Duration(p.Tokens-chosen.CachedTokens) * c.tokenCost}
	u.recent = append(u.recent, made)
	u.addWork(made)
}

func (c *Chooser) upstream(name string) *upstream {
	u, found := c.upstreams[name]
	if !found {
		u = &upstream{prefixes: newIndex(c.indexBlocks)}
		c.upstreams[name] = u
	}
	return u
}

// recomputeBusyUntil adds the choices made after the hint to the hint's queue delay.
func (u *upstream) recomputeBusyUntil() {
	u.busyUntil = u.hint.At.Add(u.hint.QueueDelay)
	for _, made := range u.recent {
		if made.at.After(u.hint.At) {
			u.addWork(made)
		}
	}
}

func (u *upstream) addWork(made choice) {
	if u.busyUntil.Before(made.at) {
		u.busyUntil = made.at
	}
	u.busyUntil = u.busyUntil.Add(made.cost)
}

// delay returns the predicted queue delay. The hint's weight decays with its age, halving every halfLife.
func (u *upstream) delay(halfLife time.Duration, now time.Time) time.Duration {
	remaining := max(0, u.busyUntil.Sub(now))
	if !u.hasHint || remaining == 0 {
		return remaining
	}
	age := max(0, now.Sub(u.hint.At))
	weight := math.Exp2(-float64(age) / float64(halfLife))
	return time.Duration(float64(remaining) * weight)
}
