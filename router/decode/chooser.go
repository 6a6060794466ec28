package decode

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	maxRecentChanges        = 64
	defaultStreamDuration   = 5 * time.Second
	streamDurationSmoothing = 0.05
	// minFreeStreams is the expected number of free streams from which an engine at its limit is chosen again.
	minFreeStreams = 0.25
)

type (
	// Hint is a timestamped load report of an engine. It may be outdated or wrong.
	Hint struct {
		Upstream string
		// FreePieces is the number of free pieces of memory.
		FreePieces int
		// Running is the number of streams, reserved or running.
		Running int
		// Limit is the maximum number of streams. Zero means that it is unknown.
		Limit int
		// Accepting reports whether the engine accepts new streams.
		Accepting bool
		// At is when the load was measured.
		At time.Time
	}

	// Chooser chooses the engine with the most expected free streams. It is safe for concurrent use.
	Chooser struct {
		mu       sync.Mutex
		random   *rand.Rand
		strategy Strategy
		// streamDuration is the smoothed time from a stream's reservation to its end.
		streamDuration time.Duration
		upstreams      map[string]*upstream
	}

	// Option configures a Chooser.
	Option func(c *Chooser)

	upstream struct {
		hint    Hint
		hasHint bool
		// tried reports whether the chooser has chosen the engine.
		tried bool
		// recentChanges are the streams that this chooser placed or released after the hint's time, at most
		// maxRecentChanges.
		recentChanges []change
		// unreported is the sum of recentChanges.
		unreported change
	}

	// change is a change of an engine's reserved memory and streams.
	change struct {
		at      time.Time
		pieces  int
		streams int
	}
)

// NewChooser returns a chooser with no load reports. It uses random to break ties and to draw candidates.
func NewChooser(random *rand.Rand, opts ...Option) *Chooser {
	c := &Chooser{random: random, strategy: BestOfAll{}, streamDuration: defaultStreamDuration, upstreams: make(map[string]*upstream)}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// WithStrategy sets which candidates are compared. The default is BestOfAll.
func WithStrategy(s Strategy) Option {
	return func(c *Chooser) { c.strategy = s }
}

// Observe records a hint, unless a newer one of the same engine is recorded.
func (c *Chooser) Observe(h Hint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := c.upstream(h.Upstream)
	if u.hasHint && h.At.Before(u.hint.At) {
		return
	}
	u.hint = h
	u.hasHint = true
	u.dropReported(h.At)
}

// Place records that a stream with a number of pieces was placed at an engine without Choose.
func (c *Chooser) Place(name string, pieces int, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.upstream(name).add(change{at: now, pieces: pieces, streams: 1})
}

// Release records that a stream of this chooser has ended and freed pieces, before a hint reports it.
func (c *Chooser) Release(name string, pieces int, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.upstream(name).add(change{at: now, pieces: -pieces, streams: -1})
}

// RecordStreamDuration updates the smoothed stream duration with that of a completed stream, from its reservation to
// its end.
func (c *Chooser) RecordStreamDuration(streamDuration time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.streamDuration += time.Duration(streamDurationSmoothing * float64(streamDuration-c.streamDuration))
}

// PredictedWait returns the predicted time until a stream can be placed at one of the candidates while a number of
// streams wait ahead of it. It returns zero when a candidate has no hint.
func (c *Chooser) PredictedWait(ahead int, candidates []string, now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	capacity, running := 0.0, 0
	for _, name := range candidates {
		u := c.upstream(name)
		if !u.hasHint {
			return 0
		}
		if !u.hint.Accepting {
			continue
		}
		capacity += max(0, u.freeCapacity(c.streamDuration, now))
		running += u.hint.Running
	}
	missing := float64(ahead+1) - capacity
	if missing <= 0 {
		return 0
	}
	return time.Duration(missing * float64(c.streamDuration) / float64(max(1, running)))
}

// Load returns the number of streams at the accepting candidates, as reported and with this chooser's own, and
// the sum of their limits.
func (c *Chooser) Load(candidates []string) (running, limit int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range candidates {
		u := c.upstream(name)
		if u.hint.Accepting {
			running += u.hint.Running + u.unreported.streams
			limit += u.hint.Limit
		}
	}
	return running, limit
}

// Forget removes the hint and the recorded streams of an upstream.
func (c *Chooser) Forget(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.upstreams, name)
}

// Choose returns the candidate with the most expected free streams, except those to avoid, or false when none
// has enough free memory and streams. The stream and its pieces are counted at the chosen upstream.
func (c *Chooser) Choose(pieces int, candidates, avoid []string, now time.Time) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	usable := make([]string, 0, len(candidates))
	for _, name := range candidates {
		if !slices.Contains(avoid, name) && c.upstream(name).fits(pieces, c.streamDuration, now) {
			usable = append(usable, name)
		}
	}
	best, found := c.withMostCapacity(narrow(c.strategy, usable, c.random), now)
	if found {
		u := c.upstream(best)
		u.tried = true
		u.add(change{at: now, pieces: pieces, streams: 1})
	}
	return best, found
}

// withMostCapacity returns the candidate with the most free capacity. The scan starts at a random candidate, which
// breaks ties.
func (c *Chooser) withMostCapacity(candidates []string, now time.Time) (best string, found bool) {
	if len(candidates) == 0 {
		return "", false
	}
	offset := c.random.IntN(len(candidates))
	most := 0.0
	for i := range candidates {
		name := candidates[(i+offset)%len(candidates)]
		capacity := c.upstream(name).freeCapacity(c.streamDuration, now)
		if !found || capacity > most {
			best, most, found = name, capacity, true
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

// add records a change. When the history is full, it removes the oldest changes.
func (u *upstream) add(made change) {
	if len(u.recentChanges) == maxRecentChanges {
		u.dropReported(u.recentChanges[0].at)
	}
	u.recentChanges = append(u.recentChanges, made)
	u.unreported.pieces += made.pieces
	u.unreported.streams += made.streams
}

// dropReported removes the changes up to a time, because a hint of that time includes them.
func (u *upstream) dropReported(until time.Time) {
	u.recentChanges = slices.DeleteFunc(u.recentChanges, func(made change) bool { return !made.at.After(until) })
	u.unreported = change{}
	for _, made := range u.recentChanges {
		u.unreported.pieces += made.pieces
		u.unreported.streams += made.streams
	}
}

// fits reports whether the engine accepts work and is expected to have enough free memory and streams. It returns
// true for an engine without a hint.
func (u *upstream) fits(pieces int, streamDuration time.Duration, now time.Time) bool {
	if !u.hasHint {
		return true
	}
	if !u.hint.Accepting || u.hint.FreePieces-u.unreported.pieces < pieces {
		return false
	}
	return u.hint.Limit == 0 || u.freeCapacity(streamDuration, now) >= minFreeStreams
}

// capacityWithoutHint returns the free capacity of an engine without a hint. Such an engine gets one stream before all
// others, because the answer to the reservation carries a hint. After that, engines with hints are preferred.
func (u *upstream) capacityWithoutHint() float64 {
	if u.tried {
		return -float64(u.unreported.streams)
	}
	return math.Inf(1)
}

// freeCapacity returns the expected number of free streams, or of free pieces when the limit is unknown. The
// expectation includes the streams that have ended since the hint's time, in proportion to its age. For an engine
// without a hint it returns capacityWithoutHint.
func (u *upstream) freeCapacity(streamDuration time.Duration, now time.Time) float64 {
	if !u.hasHint {
		return u.capacityWithoutHint()
	}
	if u.hint.Limit == 0 {
		return float64(u.hint.FreePieces - u.unreported.pieces)
	}
	age := max(0, now.Sub(u.hint.At))
	ended := float64(u.hint.Running) * min(1, float64(age)/float64(streamDuration))
	return float64(u.hint.Limit-u.hint.Running-u.unreported.streams) + ended
}
