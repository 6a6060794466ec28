package decode

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	recentChoices     = 64
	defaultStreamLife = 5 * time.Second
	lifeWeight        = 0.05
	// minRoom is the expected number of free streams from which a full engine is asked again.
	minRoom = 0.25
)

type (
	// Hint is a dated report of an engine's memory and pace. It may be wrong.
	Hint struct {
		Upstream   string
		FreePieces int
		Running    int
		Limit      int
		Accepting  bool
		At         time.Time
	}

	// Chooser chooses the engine with the most room for a stream. It is safe for concurrent use.
	Chooser struct {
		mu        sync.Mutex
		random    *rand.Rand
		strategy  Strategy
		life      time.Duration
		upstreams map[string]*upstream
	}

	// Option sets an option of a chooser.
	Option func(c *Chooser)

	upstream struct {
		hint   Hint
		hinted bool
		// tried tells that the engine got a stream before anybody had told of it.
		tried bool
		// recent are the chooser's own choices, which a late hint does not count.
		recent []change
		// taken sums them up.
		taken change
	}

	change struct {
		at      time.Time
		pieces  int
		streams int
	}
)

// NewChooser returns a chooser that draws from random.
func NewChooser(random *rand.Rand, opts ...Option) *Chooser {
	c := &Chooser{random: random, strategy: BestOfAll{}, life: defaultStreamLife, upstreams: make(map[string]*upstream)}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// WithStrategy sets how candidates are compared.
func WithStrategy(s Strategy) Option {
	return func(c *Chooser) { c.strategy = s }
}

// Observe takes a hint, unless a newer one is known.
func (c *Chooser) Observe(h Hint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := c.upstream(h.Upstream)
	if u.hinted && h.At.Before(u.hint.At) {
		return
	}
	u.hint = h
	u.hinted = true
	u.forget(h.At)
}

// Release counts a stream of the chooser's own that ended, before any hint tells so.
func (c *Chooser) Release(name string, pieces int, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.upstream(name).add(change{at: now, pieces: -pieces, streams: -1})
}

// RecordStreamDuration learns how long a stream lives, from its reservation to its end.
func (c *Chooser) RecordStreamDuration(life time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.life += time.Duration(lifeWeight * float64(life-c.life))
}

// PredictedWait is the predicted time until a stream gets room while others wait ahead of it.
func (c *Chooser) PredictedWait(ahead int, candidates []string, now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	room, running := 0.0, 0
	for _, name := range candidates {
		u := c.upstream(name)
		if !u.hinted {
			return 0
		}
		if !u.hint.Accepting {
			continue
		}
		room += max(0, u.room(c.life, now))
		running += u.hint.Running
	}
	missing := float64(ahead+1) - room
	if missing <= 0 {
		return 0
	}
	return time.Duration(missing * float64(c.life) / float64(max(1, running)))
}

// Load returns how many streams the candidates are known to hold, and how many they take.
func (c *Chooser) Load(candidates []string) (running, limit int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range candidates {
		u := c.upstream(name)
		if u.hint.Accepting {
			running += u.hint.Running + u.taken.streams
			limit += u.hint.Limit
		}
	}
	return running, limit
}

// Forget drops all that is known of an upstream.
func (c *Chooser) Forget(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.upstreams, name)
}

// Choose returns the candidate with the most room, leaving out those to avoid, or
// false when none has room. It counts the choice as work of that upstream.
func (c *Chooser) Choose(pieces int, candidates, avoid []string, now time.Time) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	usable := make([]string, 0, len(candidates))
	for _, name := range candidates {
		if !slices.Contains(avoid, name) && c.upstream(name).fits(pieces, c.life, now) {
			usable = append(usable, name)
		}
	}
	best, found := c.roomiest(narrow(c.strategy, usable, c.random), now)
	if found {
		u := c.upstream(best)
		u.tried = true
		u.add(change{at: now, pieces: pieces, streams: 1})
	}
	return best, found
}

func (c *Chooser) roomiest(candidates []string, now time.Time) (best string, found bool) {
	if len(candidates) == 0 {
		return "", false
	}
	offset := c.random.IntN(len(candidates))
	most := 0.0
	for i := range candidates {
		name := candidates[(i+offset)%len(candidates)]
		room := c.upstream(name).room(c.life, now)
		if !found || room > most {
			best, most, found = name, room, true
		}
	}
	return best, found
}

func (c *Chooser) upstream(name string) *upstream {
	u, found := c.upstreams[name]
	if !found {
		u = &upstream{}
		c.upstreams[name] = u
	}
	return u
}

func (u *upstream) add(made change) {
	if len(u.recent) == recentChoices {
		u.forget(u.recent[0].at)
	}
	u.recent = append(u.recent, made)
	u.taken.pieces += made.pieces
	u.taken.streams += made.streams
}

// forget drops the changes up to a time, which the hint counts.
func (u *upstream) forget(until time.Time) {
	u.recent = slices.DeleteFunc(u.recent, func(made change) bool { return !made.at.After(until) })
	u.taken = change{}
	for _, made := range u.recent {
		u.taken.pieces += made.pieces
		u.taken.streams += made.streams
	}
}

// fits tells whether the hint leaves room. An engine without a hint is worth a try.
func (u *upstream) fits(pieces int, life time.Duration, now time.Time) bool {
	if !u.hinted {
		return true
	}
	if !u.hint.Accepting || u.hint.FreePieces-u.taken.pieces < pieces {
		return false
	}
	return u.hint.Limit == 0 || u.room(life, now) >= minRoom
}

// unknownRoom is the room of an engine that nobody has told of: it gets one stream, whose reservation tells
// of it. If that is refused, engines that are known come first.
func (u *upstream) unknownRoom() float64 {
	if u.tried {
		return -float64(u.taken.streams)
	}
	return math.Inf(1)
}

// room is the expected number of free streams. A hint loses weight with age: of the
// streams that it counts, some have ended since.
func (u *upstream) room(life time.Duration, now time.Time) float64 {
	if !u.hinted {
		return u.unknownRoom()
	}
	if u.hint.Limit == 0 {
		return float64(u.hint.FreePieces - u.taken.pieces)
	}
	age := max(0, now.Sub(u.hint.At))
	ended := float64(u.hint.Running) * min(1, float64(age)/float64(life))
	return float64(u.hint.Limit-u.hint.Running-u.taken.streams) + ended
}
