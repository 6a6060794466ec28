package migration_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrypin.example/router/migration"
)

const (
	simEngines, simSlowEngines = 42, 28
	simSlots                   = 9
	simStep                    = 50 * time.Millisecond
	simTime                    = 120 * time.Second
	simPerSecond               = 26
	simCopy                    = 150 * time.Millisecond
	simHandover                = 100 * time.Millisecond
	maxEvents                  = 160
)

type (
	simEngine struct {
		pause   time.Duration
		running int
	}

	simStream struct {
		engine, destination *simEngine
		length, received    float64
		estimate            float64
		deadline            time.Duration
		progress            migration.Progress
		// resumesAt is when a moved stream continues, and copiedAt when its copy is complete.
		copiedAt, resumesAt time.Duration
		moved               bool
	}

	// simResult counts streams by their end.
	simResult struct {
		begun, streams, inTime, cut, moved, cutAfterMove, full int
	}
)

func (r simResult) String() string {
	return fmt.Sprintf("%d streams, %d in time, %d cut off at the deadline, %d moved, of these %d cut off, %d without a free slot", r.streams, r.inTime, r.cut, r.moved, r.cutAfterMove, r.full)
}

// simulate serves streams at 42 engines, of which 28 take 90 to 220 ms for an event. A stream begins at the faster of two random
// engines with a free slot.
func simulate(seed uint64, moves bool) simResult {
	random := rand.New(rand.NewPCG(seed, seed))
	var engines []*simEngine
	for n := range simEngines {
		pause := 37 + 7*random.Float64()
		if n < simSlowEngines {
			pause = 90 + 130*random.Float64()
		}
		engines = append(engines, &simEngine{pause: time.Duration(pause * float64(time.Millisecond))})
	}
	free := func() *simEngine {
		var drawn *simEngine
		for range 2 {
			if e := engines[random.IntN(simEngines)]; e.running < simSlots && (drawn == nil || e.pause < drawn.pause) {
				drawn = e
			}
		}
		return drawn
	}
	planner := migration.NewPlanner()
	var r simResult
	var streams []*simStream
	epoch := time.Unix(0, 0)
	for now := time.Duration(0); now < simTime; now += simStep {
		for range int(simPerSecond*simStep.Seconds() + random.Float64()) {
			e := free()
			if e == nil {
				r.full++
				continue
			}
			length := min(maxEvents, max(8, 58*math.Exp(0.6*random.NormFloat64())))
			e.running++
			planner.Began()
			r.begun++
			streams = append(streams, &simStream{
				engine: e, length: length, estimate: length * math.Exp(0.5*random.NormFloat64()),
				deadline: now + 11500*time.Millisecond + time.Duration(random.IntN(2000))*time.Millisecond,
			})
		}
		kept := streams[:0]
		for _, s := range streams {
			s.step(now, epoch)
			ended := s.received >= s.length
			if ended || now >= s.deadline {
				r.count(s, ended)
				s.engine.running--
				if s.destination != nil {
					s.destination.running--
				}
				continue
			}
			kept = append(kept, s)
			if moves && now%(250*time.Millisecond) == 0 {
				s.plan(planner, engines, random, now)
			}
		}
		streams = kept
	}
	return r
}

func (r *simResult) count(s *simStream, ended bool) {
	r.streams++
	if s.moved {
		r.moved++
	}
	switch {
	case ended:
		r.inTime++
	default:
		r.cut++
		if s.moved {
			r.cutAfterMove++
		}
	}
}

// step advances a stream to a time.
func (s *simStream) step(now time.Duration, epoch time.Time) {
	if s.destination != nil && now >= s.copiedAt {
		s.engine.running--
		s.engine, s.destination = s.destination, nil
	}
	if now < s.resumesAt && now >= s.copiedAt {
		return
	}
	before := math.Floor(s.received)
	s.received += simStep.Seconds() / s.engine.pause.Seconds()
	for range int(math.Floor(s.received) - before) {
		s.progress.Received(epoch.Add(now), 0)
	}
}

func (s *simStream) plan(p *migration.Planner, engines []*simEngine, random *rand.Rand, now time.Duration) {
	pause, known := s.progress.Pause()
	if !known || s.moved {
		return
	}
	stream := migration.Stream{Received: int(s.received), Estimate: s.estimate, Max: maxEvents, Pause: pause, Remaining: s.deadline - now}
	var worthwhile []*simEngine
	for _, e := range engines {
		if e != s.engine && e.running < simSlots && p.IsWorthwhile(stream, migration.Destination{Pause: e.pause}) {
			worthwhile = append(worthwhile, e)
		}
	}
	if len(worthwhile) == 0 || !p.Reserve() {
		return
	}
	s.destination, s.moved = worthwhile[random.IntN(len(worthwhile))], true
	s.destination.running++
	s.copiedAt = now + simCopy
	s.resumesAt = s.copiedAt + simHandover
}

// With 28 of 42 engines slow, moves save half of the streams that would be cut off at their deadlines, and at most the stated
// share of streams moves.
func TestMovesSaveStreamsThatWouldNotEndInTime(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(5) {
		before, after := simulate(seed, false), simulate(seed, true)
		t.Logf("seed %d before: %v", seed, before)
		t.Logf("seed %d after:  %v", seed, after)
		is.True(before.cut > 50)
		is.True(2*after.cut <= before.cut)
		is.True(float64(after.moved) <= 0.15*float64(after.begun))
	}
}
