// Package pace limits the work in flight at each upstream. The limit rises while answers arrive in time and falls when they
// slow down or fail, compared with the upstream's own answers without a queue. It counts the work of all entries, which share
// it.
package pace

import (
	"math"
	"slices"
	"strconv"
	"sync"
	"time"

	"gooseberrypin.example/router/event"
	"gooseberrypin.example/router/rendezvous"
	"gooseberrypin.example/router/speed"
	"gooseberrypin.example/router/upstream"
)

const (
	// tolerance is how many times longer than without a queue answers may take before the limit falls, beside their usual
	// deviation.
	tolerance = 1.03
	// maxFall bounds the part of the limit that one slow answer takes away, and failureFall is that of a failed one.
	maxFall     = 0.03
	failureFall = 0.1
	// riseShare is the part by which the limit rises in the time of one answer, if it is more than one.
	riseShare = 0.05
	// maxAhead times the limit of all entries is the highest estimate of one of them.
	maxAhead = 2
	// usedShare is the part of this entry's share of a limit that must be in flight, over about loadTime, for the limit to
	// rise.
	usedShare = 0.85
	loadTime  = 500 * time.Millisecond
	// unusedShare is the part of this entry's share below which its answers count as those without a queue.
	unusedShare = 0.5
	// unusedWeight is the weight of an answer in the time without a queue while the limit is not used, and usedWeight
	// otherwise, when answers may have waited. fallenWeight is its weight after the limit has fallen by half: answers that
	// are slow with little in flight show that the upstream itself has slowed down.
	unusedWeight = 0.02
	usedWeight   = 0.0005
	fallenWeight = 0.02
	// learnedAnswers is the number of the first answers that all have the same weight.
	learnedAnswers = 20
	// latencyWeight is the weight of an answer in the smoothed time, and maxOutlier times that time the most that a single
	// answer counts as.
	latencyWeight = 0.1
	maxOutlier    = 3
	// minLimit is the lowest limit: some entry may always try an idle upstream.
	minLimit = 1
	maxLimit = 100_000
	// minKnown is the number of upstreams from which on their median is the first limit of another one. A single one may be
	// in trouble.
	minKnown = 2
	// startShare is the part of that median: at their limits, the others have a short queue already.
	startShare = 0.85
	// slotTime is how long an entry keeps its part of a share that is no whole number. It then passes to other entries.
	slotTime = 250 * time.Millisecond
	// retention is how long an upstream without answers or reports is kept.
	retention     = 30 * time.Second
	sweepInterval = time.Second
	// maxUpstreams bounds the upstreams that limits are kept of.
	maxUpstreams = 4096
	// fallenFactor times its highest value is how far a limit has to fall for a log line.
	fallenFactor = 0.5
	// recoveredFactor times its highest value is the limit at which it has recovered.
	recoveredFactor = 0.9

	// InTime means that an answer arrived in time while the limit was used.
	InTime Cause = "in_time"
	// Slow means that answers take longer than without a queue.
	Slow Cause = "slow"
	// Failed means that an answer failed.
	Failed Cause = "failed"
	// Unused means that answers arrive in time and the limit is not used.
	Unused Cause = "unused"
)

type (
	// Cause is why a limit changed last.
	Cause string

	// Limiter holds the limits of upstreams. A nil limiter allows everything. It is safe for concurrent use.
	Limiter struct {
		entry   string
		entries func() int
		log     event.Log

		mu        sync.Mutex
		limits    map[uint64]*limit
		lastSweep time.Time
	}

	// Option configures a limiter.
	Option func(*Limiter)

	// limit is what the limiter holds of one upstream.
	limit struct {
		upstream upstream.Upstream
		// own is this entry's estimate, from answerCount answers. It is used with the reports of other entries.
		own         float64
		answerCount int
		answeredAt  time.Time
		cause       Cause
		// base is the time of an answer without a queue, deviation its usual deviation, and latency the smoothed time of the
		// last answers, in nanoseconds for a unit of work.
		base, deviation, latency float64
		// load is the mean number of this entry's requests in flight.
		load    float64
		reports []Report
		// highest is the highest limit since the last log line, and fallen whether that line said that it has fallen.
		highest float64
		fallen  bool
	}
)

// NewLimiter returns a limiter of the entry with a name. entries returns the number of entries that share the limits.
func NewLimiter(entry string, entries func() int, opts ...Option) *Limiter {
	l := &Limiter{entry: entry, entries: entries, log: event.Discard(), limits: make(map[uint64]*limit)}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// WithLog sets the log.
func WithLog(log event.Log) Option {
	return func(l *Limiter) { l.log = log }
}

// Allowed returns the members at which this entry may begin further work. When all of them are at their limits, it returns
// those without any work of this entry, so that an idle upstream always gets a trial, and otherwise none.
func (l *Limiter) Allowed(members []*upstream.Member, now time.Time) []*upstream.Member {
	if l == nil {
		return members
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var allowed, unused []*upstream.Member
	for _, m := range members {
		running := float64(m.Load().Requests)
		if running < l.cap(m.Upstream, now) {
			allowed = append(allowed, m)
		}
		if running == 0 {
			unused = append(unused, m)
		}
	}
	if len(allowed) == 0 {
		return unused
	}
	return allowed
}

// Peek returns a limiter with the limits as they are now, whose use changes nothing in this one.
func (l *Limiter) Peek() *Limiter {
	if l == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	duplicate := NewLimiter(l.entry, l.entries)
	for key, s := range l.limits {
		held := *s
		duplicate.limits[key] = &held
	}
	return duplicate
}

// Limit returns the limit on the work in flight of all entries at an upstream, and how much this entry may have in flight.
// Without a limiter both are 0.
func (l *Limiter) Limit(u upstream.Upstream, now time.Time) (all, own float64) {
	if l == nil {
		return 0, 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limit(u, now), l.cap(u, now)
}

// cap returns how much work this entry may have in flight at an upstream: its share of the limit, rounded up in some slots
// and down in others, so that the shares of all entries add up to the limit. The caller holds the lock.
func (l *Limiter) cap(u upstream.Upstream, now time.Time) float64 {
	share := l.limit(u, now) / float64(max(1, l.entries()))
	whole, fraction := math.Modf(share)
	// Incarnations have other names, so each has its own order of entries.
	slot := strconv.FormatInt(now.UnixNano()/int64(slotTime), 10)
	if float64(rendezvous.Score(u.Incarnation()+"/"+slot, l.entry)) < fraction*math.MaxUint64 {
		whole++
	}
	return whole
}

// limit returns the limit of an upstream in work of all entries. The caller holds the lock.
func (l *Limiter) limit(u upstream.Upstream, now time.Time) float64 {
	if s, found := l.limits[speed.Key(u)]; found {
		s.upstream = u
		if mean, known := s.mean(now); known {
			return mean
		}
	}
	return l.start(u, now)
}

// start returns the first limit of an upstream: nearly the median of its pool and phase. Without that, it is what the upstream
// states that it runs concurrently, or one for each entry. The caller holds the lock.
func (l *Limiter) start(u upstream.Upstream, now time.Time) float64 {
	var known []float64
	for _, s := range l.limits {
		if s.upstream.Pool == u.Pool && s.upstream.Phase == u.Phase {
			if mean, found := s.mean(now); found {
				known = append(known, mean)
			}
		}
	}
	switch {
	case len(known) >= minKnown:
		slices.Sort(known)
		return startShare * known[len(known)/2]
	case u.Slots > 0:
		return float64(u.Slots)
	}
	return float64(max(1, l.entries()))
}

// Answered records an answer of an upstream that took a time for a number of units of work: tokens, or 1 for a call. The work
// still counts as in flight.
func (l *Limiter) Answered(m *upstream.Member, units int, took time.Duration, now time.Time) {
	if l == nil || units <= 0 || took <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.known(m.Upstream, now)
	if s == nil {
		return
	}
	perUnit := float64(took) / float64(units)
	if s.base == 0 {
		s.base, s.latency = perUnit, perUnit
	}
	perUnit = min(perUnit, maxOutlier*s.latency)
	s.latency += latencyWeight * (perUnit - s.latency)
	s.load = s.load*math.Exp(-now.Sub(s.answeredAt).Seconds()/loadTime.Seconds()) + took.Seconds()/loadTime.Seconds()
	mean, known := s.mean(now)
	if !known {
		mean = s.own
	}
	share := mean / float64(max(1, l.entries()))
	inTime, used := (tolerance*s.base+s.deviation)/s.latency, s.load >= usedShare*share
	s.learnBase(perUnit, s.load < unusedShare*share)
	switch {
	case inTime < 1:
		s.own, s.cause = s.own*(1-min(maxFall, 1-inTime)), Slow
	case used:
		// The answers to the work that is in flight at one time together raise the limit by riseShare.
		s.own, s.cause = min(maxAhead*mean, s.own+max(1, riseShare*s.own)/max(1, share)), InTime
	default:
		s.cause = Unused
	}
	l.updated(s, now)
}

// learnBase adds an answer to the time without a queue and its deviation.
func (s *limit) learnBase(perUnit float64, unused bool) {
	weight := usedWeight
	switch {
	case s.answerCount < learnedAnswers:
		weight = 1 / float64(s.answerCount+1)
	case s.own <= fallenFactor*s.highest:
		weight = fallenWeight
	case unused:
		weight = unusedWeight
	}
	s.base += weight * (perUnit - s.base)
	s.deviation += weight * (math.Abs(perUnit-s.base) - s.deviation)
}

// Failed records that an upstream gave no answer.
func (l *Limiter) Failed(m *upstream.Member, now time.Time) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.known(m.Upstream, now); s != nil {
		s.own, s.cause = s.own*(1-failureFall), Failed
		l.updated(s, now)
	}
}

// known returns the limit of an upstream, which it creates with the first one. It returns nil if there are too many. The
// caller holds the lock.
func (l *Limiter) known(u upstream.Upstream, now time.Time) *limit {
	l.sweep(now)
	key := speed.Key(u)
	s, found := l.limits[key]
	if !found {
		if len(l.limits) >= maxUpstreams {
			return nil
		}
		s = &limit{}
		l.limits[key] = s
	}
	if s.answerCount == 0 {
		start, known := s.mean(now)
		if !known {
			start = l.start(u, now)
		}
		s.own, s.highest = start, start
	}
	s.upstream = u
	return s
}

// updated bounds a limit after an answer and logs when it has fallen or recovered. The caller holds the lock.
func (l *Limiter) updated(s *limit, now time.Time) {
	s.own = min(max(s.own, minLimit), maxLimit)
	s.answerCount++
	s.answeredAt = now
	if !s.fallen {
		s.highest = max(s.highest, s.own)
	}
	verdict := event.PaceRecovered
	switch {
	case !s.fallen && s.own <= fallenFactor*s.highest:
		s.fallen, verdict = true, event.PaceFell
	case s.fallen && s.own >= recoveredFactor*s.highest:
		s.fallen = false
	default:
		return
	}
	l.log.Info(verdict, "upstream", s.upstream.ID, "pool", s.upstream.Pool, "limit", math.Round(s.own), "highest", math.Round(s.highest), "cause", string(s.cause))
	if !s.fallen {
		s.highest = s.own
	}
}

// sweep removes the upstreams without answers and reports. The caller holds the lock.
func (l *Limiter) sweep(now time.Time) {
	if now.Sub(l.lastSweep) < sweepInterval {
		return
	}
	l.lastSweep = now
	for key, s := range l.limits {
		s.reports = slices.DeleteFunc(s.reports, func(r Report) bool { return now.Sub(r.Observed) > retention })
		if len(s.reports) == 0 && now.Sub(s.answeredAt) > retention {
			delete(l.limits, key)
		}
	}
}
