package reservation

import (
	"math/rand/v2"
	"time"

	"gooseberrypin.example/router/speed"
	"gooseberrypin.example/router/upstream"
)

const (
	// justFreed is the suitability of an engine where a stream of this entry has just ended. It is used only while memory is scarce:
	// otherwise an entry with few streams would send all of them to the same engines.
	justFreed suitability = iota
	// unknown is that of an engine of which nothing speaks against an attempt.
	unknown
	// likelyFull is that of an engine that refused as much memory recently.
	likelyFull
	// tooSlow is that of an engine at which the stream would end after the deadline or pause for too long.
	tooSlow

	// longShare is the share of the remaining time above which the output of a waiter is long: it goes to the faster one of
	// two engines, while short outputs may go to slower ones.
	longShare = 0.5
	// freedTime is how long an engine is preferred after a stream of this entry has ended there: about as long as a stream
	// takes. Most likely no other entry has used all of that memory since.
	freedTime = 4 * time.Second
	// scarceTime is how long after a refusal, or after the start, memory counts as scarce: longer than the calm between two bursts. In a
	// trial with 4 s, the engines of a busy pool refused 6 % more for each grant.
	scarceTime = 10 * time.Second
)

type (
	// suitability orders engines for a waiter. Lower ones come first.
	suitability int
)

// WithSpeeds sets the function that returns what is known of the speeds of the engines, and the memory of an engine in
// tokens. Where engines differ, waiters are placed by it. By default nothing is known.
func WithSpeeds(speeds func() *speed.View, memoryTokens int) Option {
	return func(q *Queue) { q.speeds, q.memoryTokens = speeds, memoryTokens }
}

// chooseBySpeed returns an engine that may have enough free memory, or nil.
func (q *Queue) chooseBySpeed(t *ticket, members []*upstream.Member, speeds *speed.View, now time.Time) *upstream.Member {
	suitable, _ := q.mostSuitable(t, members, speeds, now)
	return q.drawOfTwo(t, suitable, speeds, now)
}

// Destination returns an engine to which a stream may move, or nil: one that is likely to have enough free memory, and at
// which the stream would end before its deadline. It is drawn as for a waiter, so that entries do not all choose the same one.
// Where engines do not differ there is none.
func (q *Queue) Destination(w Waiter, members []*upstream.Member, now time.Time) *upstream.Member {
	q.mu.Lock()
	defer q.mu.Unlock()
	speeds := q.speeds()
	if !speeds.Uneven() {
		return nil
	}
	t := &ticket{Waiter: w}
	suitable, s := q.mostSuitable(t, members, speeds, now)
	if s >= likelyFull {
		return nil
	}
	m := q.drawOfTwo(t, suitable, speeds, now)
	if m != nil {
		q.engineMemory(m.ID).freedUntil = time.Time{}
	}
	return m
}

// Refused records that an engine had no memory for a stream that was to move to it.
func (q *Queue) Refused(w Waiter, m *upstream.Member, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.recordRefusal(&ticket{Waiter: w}, m, now)
}

// mostSuitable returns the most suitable engines of those that may have enough free memory, and their suitability.
func (q *Queue) mostSuitable(t *ticket, members []*upstream.Member, speeds *speed.View, now time.Time) ([]*upstream.Member, suitability) {
	var suitable []*upstream.Member
	best := tooSlow
	for _, m := range members {
		if !q.mayHaveMemory(t, m, len(members), now) {
			continue
		}
		s := q.suitability(t, m, speeds, now)
		if s < best {
			best, suitable = s, suitable[:0]
		}
		if s == best {
			suitable = append(suitable, m)
		}
	}
	return suitable, best
}

// drawOfTwo draws two engines at random, with weights of the inverse of their time per token: an engine frees memory in
// proportion to its speed. It returns the faster one for a long stream, and else the one with fewer tokens of this entry.
func (q *Queue) drawOfTwo(t *ticket, suitable []*upstream.Member, speeds *speed.View, now time.Time) *upstream.Member {
	first, second := drawBySpeed(suitable, speeds, q.random), drawBySpeed(suitable, speeds, q.random)
	switch {
	case first == nil || first == second:
		return first
	case t.isLong(max(speeds.PerToken(first), speeds.PerToken(second)), now):
		if speeds.PerToken(second) < speeds.PerToken(first) {
			return second
		}
	case second.Load().Tokens < first.Load().Tokens:
		return second
	}
	return first
}

// suitability returns how suitable an engine is for a waiter.
func (q *Queue) suitability(t *ticket, m *upstream.Member, speeds *speed.View, now time.Time) suitability {
	perToken := speeds.PerToken(m)
	engine := q.engineMemory(m.ID)
	switch {
	case t.MaxTokenTime > 0 && perToken > t.MaxTokenTime, !t.Deadline.IsZero() && now.Add(t.runTime(perToken)).After(t.Deadline):
		return tooSlow
	case engine.fullTokens > 0 && t.Tokens >= engine.fullTokens && now.Before(engine.fullUntil):
		return likelyFull
	case now.Before(engine.freedUntil) && q.memoryIsScarce(now):
		return justFreed
	}
	return unknown
}

// memoryIsScarce reports whether an engine refused memory lately, or may have done so before this entry started.
func (q *Queue) memoryIsScarce(now time.Time) bool {
	return now.Sub(q.started) < scarceTime || now.Sub(q.pacing.refused) < scarceTime
}

// runTime returns the expected time from a grant to the end of the stream at an engine.
func (w *Waiter) runTime(perToken time.Duration) time.Duration {
	return w.Startup + time.Duration(w.OutputTokens)*perToken
}

// isLong reports whether the stream would take a large share of the time until its deadline.
func (w *Waiter) isLong(perToken time.Duration, now time.Time) bool {
	return !w.Deadline.IsZero() && float64(w.runTime(perToken)) > longShare*float64(w.Deadline.Sub(now))
}

// drawBySpeed returns a random member, or nil if there is none. A member that is twice as fast is drawn twice as often.
func drawBySpeed(members []*upstream.Member, speeds *speed.View, random *rand.Rand) *upstream.Member {
	var drawn *upstream.Member
	total := 0.0
	for _, m := range members {
		weight := speedWeight(m, speeds)
		if total += weight; random.Float64()*total <= weight {
			drawn = m
		}
	}
	return drawn
}

// speedWeight returns the weight with which an engine is drawn.
func speedWeight(m *upstream.Member, speeds *speed.View) float64 {
	return 1 / float64(max(1, speeds.PerToken(m)))
}

// recordFull records that an engine refused memory to a waiter. Until about that much memory is free again, by the time in
// which its streams end one after the other, other engines are tried first.
func (q *Queue) recordFull(engine *engineMemory, t *ticket, m *upstream.Member, now time.Time) {
	speeds := q.speeds()
	if !speeds.Uneven() || q.memoryTokens <= 0 {
		return
	}
	turnover := float64(t.Tokens) / float64(q.memoryTokens) * float64(t.runTime(speeds.PerToken(m)))
	engine.fullTokens, engine.fullUntil = t.Tokens, now.Add(time.Duration(turnover))
}
