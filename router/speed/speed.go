// Package speed learns how fast the engines of a pool work, from the times that they take to answer. An entry sends each
// engine only a few prompts in ten seconds, so entries share their samples by gossip.
package speed

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"gooseberrypin.example/router/event"
	"gooseberrypin.example/router/rendezvous"
	"gooseberrypin.example/router/upstream"
)

const (
	// DefaultUnevenFactor is the default of the factor by which an engine has to be slower than the faster ones of its
	// pool to be judged slow. Differences in load alone stay below it.
	DefaultUnevenFactor = 1.5
	// MaxShared bounds the samples in one gossip message.
	MaxShared = 64
	// maxSamples bounds the samples that are kept for an engine. In a busy pool they cover some seconds.
	maxSamples = 16
	// maxEngines bounds the engines that samples are kept of.
	maxEngines = 4096
	// bestInterval is the length of the intervals of which the shortest time per token is kept, and bestIntervals their number.
	// Together they are longer than the queue of a burst, in which no prompt shows the speed of its engine.
	bestInterval  = 2 * time.Second
	bestIntervals = 4
	// retention is how long a sample is kept.
	retention = 30 * time.Second
	// sweepInterval is how often expired samples are removed.
	sweepInterval = time.Second
	// minPrefillTokens is the shortest prompt that gives a sample. The time of a shorter one is mostly that of its
	// messages.
	minPrefillTokens = 256
	// maxPerToken bounds the time per token of a sample.
	maxPerToken = time.Second
	// keyBits is the number of bits of the hash that names an engine in gossip. Two of 2,100 servers have the same hash
	// with a probability of one in a hundred million.
	keyBits = 48
)

type (
	// Sample is the time in which an engine worked on a number of tokens. A prompt's time includes its wait in the queue
	// of the engine.
	Sample struct {
		// Engine names the incarnation of the engine and its phase; see Key.
		Engine uint64
		// ID tells the samples of one engine apart.
		ID       uint32
		Tokens   int
		PerToken time.Duration
		Observed time.Time
	}

	// Table holds the latest samples of each engine. It is safe for concurrent use.
	Table struct {
		factor float64
		log    event.Log

		mu        sync.Mutex
		engines   map[uint64]*engine
		views     map[role]*View
		lastSweep time.Time
	}

	// Option configures a table.
	Option func(*Table)

	// engine is what the table holds of one engine.
	engine struct {
		// samples are ordered from the newest to the oldest.
		samples []Sample
		// bests are the shortest times per token of the latest intervals.
		bests [bestIntervals]best
		// slow is whether the engine was judged slow. differsSince is since when its samples speak against that verdict;
		// zero if they do not.
		slow         bool
		differsSince time.Time
	}

	// best is the shortest time per token in an interval.
	best struct {
		interval int64
		perToken time.Duration
	}
)

// NewTable returns an empty table. factor is how many times slower than the faster engines of its pool an engine has to be
// to be judged slow. With a factor of 0, the table learns nothing and judges no engine.
func NewTable(factor float64, opts ...Option) *Table {
	t := &Table{factor: factor, log: event.Discard(), engines: make(map[uint64]*engine), views: make(map[role]*View)}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// WithLog sets the log.
func WithLog(log event.Log) Option {
	return func(t *Table) { t.log = log }
}

// Key returns the name of an incarnation of an engine in samples. An engine that changes its phase gets another name.
func Key(u upstream.Upstream) uint64 {
	return rendezvous.Score(u.Phase.String(), u.Incarnation()) & (1<<keyBits - 1)
}

// Record adds a sample of this entry: the engine worked on a number of tokens for a time. Short prompts are ignored.
func (t *Table) Record(u upstream.Upstream, tokens int, took time.Duration, now time.Time) {
	if t == nil || tokens <= 0 || u.Phase == upstream.PhasePrefill && tokens < minPrefillTokens {
		return
	}
	t.Merge([]Sample{{Engine: Key(u), ID: rand.Uint32(), Tokens: tokens, PerToken: took / time.Duration(tokens), Observed: now}}, now)
}

// Merge adds samples of other entries. The table keeps the newest ones of each engine, so the order in which samples
// arrive, and samples that arrive twice, make no difference.
func (t *Table) Merge(samples []Sample, now time.Time) {
	if t == nil || t.factor <= 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	for _, s := range samples {
		if s.Tokens <= 0 || s.PerToken <= 0 || s.PerToken > maxPerToken || now.Sub(s.Observed) > retention {
			continue
		}
		if s.Observed.After(now) {
			s.Observed = now
		}
		e, found := t.engines[s.Engine]
		if !found {
			if len(t.engines) >= maxEngines {
				continue
			}
			e = &engine{}
			t.engines[s.Engine] = e
		}
		e.add(s)
	}
}

// interval returns the number of the interval that a time is in.
func interval(at time.Time) int64 {
	return at.UnixNano() / int64(bestInterval)
}

// add adds a sample to the newest ones. Of two copies of a sample it keeps the older one: gossip adds the time of its
// messages.
func (e *engine) add(s Sample) {
	if i := slices.IndexFunc(e.samples, func(known Sample) bool { return known.ID == s.ID }); i >= 0 {
		if !s.Observed.Before(e.samples[i].Observed) {
			return
		}
		e.samples = slices.Delete(e.samples, i, i+1)
	}
	if b, number := &e.bests[interval(s.Observed)%bestIntervals], interval(s.Observed); number > b.interval || number == b.interval && s.PerToken < b.perToken {
		*b = best{number, s.PerToken}
	}
	e.samples = insertNewest(e.samples, s, maxSamples)
}

// insertNewest inserts a sample into a list that is ordered from the newest to the oldest, and keeps a number of the newest.
func insertNewest(samples []Sample, s Sample, keep int) []Sample {
	i, _ := slices.BinarySearchFunc(samples, s, Sample.compare)
	if i >= keep {
		return samples
	}
	samples = slices.Insert(samples, i, s)
	return samples[:min(len(samples), keep)]
}

// compare orders samples from the newest to the oldest.
func (s Sample) compare(other Sample) int {
	return cmp.Or(other.Observed.Compare(s.Observed), cmp.Compare(s.ID, other.ID), cmp.Compare(s.Engine, other.Engine))
}

// Shared returns samples to send to other entries, at most MaxShared, the most useful first: the newest one of each engine,
// then the second newest ones, and so on.
func (t *Table) Shared(now time.Time) []Sample {
	if t == nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	shared := make([]Sample, 0, MaxShared+1)
	round := make([]Sample, 0, MaxShared+1)
	for rank := 0; rank < maxSamples && len(shared) < MaxShared; rank++ {
		round = round[:0]
		for _, e := range t.engines {
			if rank < len(e.samples) {
				round = insertNewest(round, e.samples[rank], MaxShared-len(shared))
			}
		}
		shared = append(shared, round...)
	}
	return shared
}

// sweep removes the samples older than retention. The caller holds the lock.
func (t *Table) sweep(now time.Time) {
	if now.Sub(t.lastSweep) < sweepInterval {
		return
	}
	t.lastSweep = now
	for key, e := range t.engines {
		e.samples = slices.DeleteFunc(e.samples, func(s Sample) bool { return now.Sub(s.Observed) > retention })
		if len(e.samples) == 0 {
			delete(t.engines, key)
		}
	}
}
