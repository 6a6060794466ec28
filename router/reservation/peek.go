package reservation

import (
	"context"
	"math/rand/v2"
	"time"

	"gooseberrypin.example/router/speed"
	"gooseberrypin.example/router/upstream"
)

const (
	// NoObstacle means that an attempt may start at an engine.
	NoObstacle Obstacle = ""
	// AttemptInFlight means that an attempt of this entry at the engine is in flight.
	AttemptInFlight Obstacle = "attempt_in_flight"
	// Avoided means that the generation has failed at the engine.
	Avoided Obstacle = "avoided"
	// LeftToLarge means that the engine is left to large generations.
	LeftToLarge Obstacle = "left_to_large"
	// LacksMemory means that the engine has refused as much memory, or did not answer, and is not asked for a time.
	LacksMemory Obstacle = "lacks_memory"
)

type (
	// Obstacle is why no attempt for a waiter may start at an engine.
	Obstacle string

	// Candidate is an engine that a waiter may be granted memory at.
	Candidate struct {
		Member *upstream.Member
		// Weight is the weight with which the engine is drawn; 0 if another one comes before it.
		Weight   float64
		Obstacle Obstacle
		// Until is when the obstacle LacksMemory ends.
		Until time.Time
	}

	// Forecast is what a new waiter would find in a queue.
	Forecast struct {
		// Waiting is the number of waiters, and Ahead that of those that come before the new one.
		Waiting, Ahead int
		// Denial is why the waiter would be refused at once.
		Denial Denial
		// Attempts reports whether an attempt for the waiter would start at once. Otherwise Wait is the predicted time until it
		// gets memory; 0 if nothing is known of it.
		Attempts   bool
		Wait       time.Duration
		Candidates []Candidate
	}
)

// Peek returns what a new waiter would find, with what is known of the speeds of the engines. It decides as Wait does, on a
// copy of the queue, so that it starts no attempt and changes nothing.
func (q *Queue) Peek(w Waiter, speeds *speed.View, now time.Time) Forecast {
	t := &ticket{Waiter: w, ctx: context.Background(), result: make(chan result, 1)}
	before := q.duplicate(speeds)
	after := before.duplicate(speeds)
	f := Forecast{Waiting: len(before.waiting), Candidates: before.candidates(t, speeds, now)}
	after.add(t)
	for _, a := range after.plan(now) {
		f.Attempts = f.Attempts || a.ticket == t
	}
	select {
	case r := <-t.result:
		f.Denial = r.grant.Denial
		return f
	default:
	}
	for n, other := range after.waiting {
		if other == t {
			f.Ahead = n
		}
	}
	if !f.Attempts {
		f.Wait = after.predictedWait(f.Ahead)
	}
	if after.cannotMeetTarget(t, now) {
		f.Denial = PredictedLate
	}
	return f
}

// duplicate returns a copy of the queue that makes no attempts. Its random choices are its own.
func (q *Queue) duplicate(speeds *speed.View) *Queue {
	q.mu.Lock()
	defer q.mu.Unlock()
	d := &Queue{
		members: q.members, recheckInterval: q.recheckInterval, random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		entries: q.entries, speeds: func() *speed.View { return speeds }, memoryTokens: q.memoryTokens, started: q.started,
		engines: make(map[string]*engineMemory, len(q.engines)), waiting: make([]*ticket, 0, len(q.waiting)+1),
		grants: q.grants, lastLateAttempt: q.lastLateAttempt, attemptInterval: q.attemptInterval, nextAttempt: q.nextAttempt, pacing: q.pacing,
	}
	for id, engine := range q.engines {
		known := *engine
		d.engines[id] = &known
	}
	for _, t := range q.waiting {
		waiter := *t
		waiter.result = make(chan result, 1)
		d.waiting = append(d.waiting, &waiter)
	}
	return d
}

// candidates returns the engines of the pool as a waiter finds them.
func (q *Queue) candidates(t *ticket, speeds *speed.View, now time.Time) []Candidate {
	members := q.members()
	weights := make(map[string]float64, len(members))
	if speeds.Uneven() {
		suitable, _ := q.mostSuitable(t, members, speeds, now)
		for _, m := range suitable {
			weights[m.ID] = speedWeight(m, speeds)
		}
	} else {
		for _, m := range q.leastUsed(t, members, now) {
			weights[m.ID] = 1
		}
	}
	list := make([]Candidate, 0, len(members))
	for _, m := range members {
		c := Candidate{Member: m, Weight: weights[m.ID]}
		if c.Weight == 0 {
			c.Obstacle, c.Until = q.obstacle(t, m, len(members), now)
		}
		list = append(list, c)
	}
	return list
}
