package reservation

import (
	"math"
	"time"

	"gooseberrypin.example/router/rendezvous"
	"gooseberrypin.example/router/upstream"
)

const (
	// contendedTime is how long after a refusal of an engine memory counts as scarce.
	contendedTime = time.Second
	// largeFactor times the mean size is the size from which a generation is large. About a tenth is.
	largeFactor = 1.6
	// maxCredit is the number of paced attempts that a queue saves up while it makes fewer. Higher standings spend them at
	// shorter intervals, so that all entries together ask no more often.
	maxCredit = 10
	// sizeWeight is the weight of a new size in the mean: some 20 generations, which an entry gets in 10 s.
	sizeWeight = 0.05
	// largeDivisor divides the engines: while memory is scarce, one in so many is left to large generations, because engines
	// grant freed memory to whoever fits into it first.
	largeDivisor = 8
	// largeKey is the name by which all entries choose the same engines for large generations.
	largeKey = "large-generations"
	// otherChance is the chance with which another generation considers one of these engines all the same, so that their
	// memory is used when there are no large ones.
	otherChance = 1.0 / 32
	// largeRefresh is how often these engines are chosen anew.
	largeRefresh = time.Second
)

type (
	// pacing is what a queue in which standing is in force knows of the competition.
	pacing struct {
		// last is the time of the last paced attempt, and refused that of the last refusal of an engine.
		last, refused time.Time
		// credit is the number of paced attempts that were saved up at the time of the last one.
		credit float64
		// meanSize is the mean of the tokens of recent waiters.
		meanSize float64
		// large contains the engines that are left to large generations, as chosen at a time from a number of members.
		large   map[string]bool
		chosen  time.Time
		members int
	}
)

func (p *pacing) addSize(tokens int) {
	if p.meanSize == 0 {
		p.meanSize = float64(tokens)
	}
	p.meanSize += sizeWeight * (float64(tokens) - p.meanSize)
}

// creditAt returns the number of paced attempts that may be made at once: one for each interval without one, at most
// maxCredit.
func (p *pacing) creditAt(now time.Time, interval time.Duration) float64 {
	return min(maxCredit, p.credit+float64(now.Sub(p.last))/float64(max(1, interval)))
}

// spend records a paced attempt.
func (p *pacing) spend(now time.Time, interval time.Duration) {
	p.credit, p.last = max(0, p.creditAt(now, interval)-1), now
}

func (p *pacing) contended(now time.Time) bool {
	return !p.refused.IsZero() && now.Sub(p.refused) < contendedTime
}

// unpaced returns the number of a waiter's attempts that are not paced. While memory is scarce, lower standings have fewer.
func (q *Queue) unpaced(t *ticket, now time.Time) int {
	if !t.Standing.InForce || t.Resumed || !q.pacing.contended(now) {
		return unpacedAttempts
	}
	return max(1, int(unpacedAttempts/max(1, t.Standing.AttemptFactor(t.class(now) == late))))
}

// mayAttemptAt returns the earliest time of the next attempt for a waiter. Where standing is in force, a lower standing
// makes its paced attempts more rarely.
func (q *Queue) mayAttemptAt(t *ticket, now time.Time) time.Time {
	isLate := t.class(now) == late
	if t.Standing.InForce {
		if t.attempts < q.unpaced(t, now) {
			return now
		}
		if missing := 1 - q.pacing.creditAt(now, q.attemptInterval); missing > 0 {
			return now.Add(time.Duration(math.Ceil(missing * float64(q.attemptInterval))))
		}
		factor := 1.0
		if !t.Resumed {
			factor = t.Standing.AttemptFactor(isLate)
		}
		return q.pacing.last.Add(time.Duration(factor * float64(q.attemptInterval)))
	}
	at := now
	if isLate && now.Sub(q.lastLateAttempt) < lateAttemptInterval {
		at = q.lastLateAttempt.Add(lateAttemptInterval)
	}
	if t.attempts >= unpacedAttempts && q.nextAttempt.After(at) {
		at = q.nextAttempt
	}
	return at
}

// leavesToLarge reports whether a waiter leaves an engine to the large generations of all entries.
func (q *Queue) leavesToLarge(t *ticket, m *upstream.Member, now time.Time) bool {
	if !t.Standing.InForce || t.Resumed || !q.pacing.contended(now) || float64(t.Tokens) >= largeFactor*q.pacing.meanSize {
		return false
	}
	return q.pacing.large[m.ID] && q.random.Float64() >= otherChance
}

// chooseLarge chooses the engines that are left to large generations.
func (p *pacing) chooseLarge(members []*upstream.Member, now time.Time) {
	if !p.contended(now) || p.members == len(members) && now.Sub(p.chosen) < largeRefresh {
		return
	}
	names := make([]string, 0, len(members))
	for _, m := range members {
		names = append(names, m.ID)
	}
	p.large, p.chosen, p.members = make(map[string]bool), now, len(members)
	for _, id := range rendezvous.Rank(largeKey, names, len(names)/largeDivisor) {
		p.large[id] = true
	}
}

// refuseOutranked refuses the waiters that others of a higher standing have come before, if by the pace of the last grants
// they get no memory before they would be refused for their lateness. The caller holds the lock and has ranked the waiters.
func (q *Queue) refuseOutranked(now time.Time) {
	if q.grants.interval == 0 || !standingInForce(q.waiting) {
		return
	}
	kept := q.waiting[:0]
	first := q.waiting[0]
	for _, t := range q.waiting {
		wait := q.predictedWait(len(kept))
		if !t.reserving && !t.Resumed && t.Standing.Compare(first.Standing) > 0 && now.Add(wait).After(t.ExpiresIfContended) {
			t.result <- result{grant: Grant{Attempts: t.attempts, Denial: Outranked}}
			continue
		}
		kept = append(kept, t)
	}
	clear(q.waiting[len(kept):])
	q.waiting = kept
}
