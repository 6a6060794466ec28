package reservation

import (
	"time"

	"gooseberrypin.example/router/upstream"
)

type (
	// engineMemory caches the outcomes of the attempts at one engine.
	engineMemory struct {
		// reserving reports whether an attempt is in flight. There is at most one for each engine.
		reserving bool
		// refusedTokens is the smallest request that the engine refused. Requests of that size or more are not
		// sent before retryAt. Zero means that none was refused; after a failed attempt it is 1, so that
		// requests of all sizes wait.
		refusedTokens int
		retryAt       time.Time
		// fullTokens and fullUntil are the memory that the engine refused last, and until when it is likely to have less
		// free. freedUntil is until when it is likely to have the memory of a stream of this entry that ended there. They
		// are used only where engines differ in speed.
		fullTokens int
		fullUntil  time.Time
		freedUntil time.Time
	}
)

// mayHaveMemory reports whether an attempt for a waiter may start at an engine, one of a number of members.
func (q *Queue) mayHaveMemory(t *ticket, m *upstream.Member, members int, now time.Time) bool {
	o, _ := q.obstacle(t, m, members, now)
	return o == NoObstacle
}

// obstacle returns why no attempt for a waiter may start at an engine, one of a number of members, and until when if that is
// known.
func (q *Queue) obstacle(t *ticket, m *upstream.Member, members int, now time.Time) (Obstacle, time.Time) {
	engine := q.engineMemory(m.ID)
	switch {
	case engine.reserving:
		return AttemptInFlight, time.Time{}
	case m.ID == t.Avoid && members > 1:
		return Avoided, time.Time{}
	case q.leavesToLarge(t, m, now):
		return LeftToLarge, time.Time{}
	case engine.refusedTokens > 0 && t.Tokens >= engine.refusedTokens && now.Before(engine.retryAt):
		return LacksMemory, engine.retryAt
	}
	return NoObstacle, time.Time{}
}

func (q *Queue) engineMemory(id string) *engineMemory {
	engine, found := q.engines[id]
	if !found {
		engine = &engineMemory{}
		q.engines[id] = engine
	}
	return engine
}

// pruneEngines removes the cached outcomes of engines that left the pool.
func (q *Queue) pruneEngines(members []*upstream.Member) {
	if len(q.engines) <= len(members) {
		return
	}
	present := make(map[string]bool, len(members))
	for _, m := range members {
		present[m.ID] = true
	}
	for id, engine := range q.engines {
		if !present[id] && !engine.reserving {
			delete(q.engines, id)
		}
	}
}
