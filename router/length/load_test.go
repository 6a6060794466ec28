package length_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrypin.example/router/length"
)

const (
	loadEngines = 10
	loadMemory  = 31_384
	loadTick    = 10 * time.Millisecond
	loadTime    = 40 * time.Second
	// loadTarget is the longest wait for memory with which a stream begins on time, and maxPause the longest pause of one that
	// is on time.
	loadTarget = 700 * time.Millisecond
	maxPause   = 300 * time.Millisecond
	// tokensPerTick are generated for each stream, and readPerTick are read again of one that was preempted.
	tokensPerTick = 3.5
	readPerTick   = 166.0
)

type (
	// loadStream is a generation.
	loadStream struct {
		arrived        time.Duration
		prompt, output float64
		stated         int
		reserved       float64
		// holdsToEnd is whether the reservation counts until the stream ends, and not only until it begins.
		holdsToEnd bool
		generated  float64
		// unread is what an engine still has to read of a stream that was preempted, which has no memory while evicted is true.
		unread  float64
		evicted bool
		paused  time.Duration
		late    bool
	}

	// loadOutcome counts what callers get, and the preemptions.
	loadOutcome struct{ requests, onTime, late, refused, preempted int }
)

// used returns the memory that a stream takes.
func (s *loadStream) used() float64 {
	switch {
	case s.evicted:
		return 0
	case s.holdsToEnd:
		return max(s.reserved, s.prompt+s.generated)
	}
	return s.prompt + s.generated
}

func usedBy(engine []*loadStream) float64 {
	sum := 0.0
	for _, s := range engine {
		sum += s.used()
	}
	return sum
}

// playBursts plays bursts of up to twice what the engines hold. holdsToEnd is as in loadStream. reserve returns the tokens to reserve for an output, and
// record receives those that are complete.
func playBursts(seed uint64, holdsToEnd bool, reserve func(stated int) int, record func(stated, output int)) loadOutcome {
	random, choice := rand.New(rand.NewPCG(seed, 7)), rand.New(rand.NewPCG(seed, 8))
	engines := make([][]*loadStream, loadEngines)
	var waiting []*loadStream
	var out loadOutcome
	for now := time.Duration(0); now < loadTime; now += loadTick {
		perSecond := 14.0
		if now%(10*time.Second) > 6*time.Second {
			perSecond = 40
		}
		for range int(perSecond*loadTick.Seconds() + random.Float64()) {
			s := &loadStream{arrived: now, holdsToEnd: holdsToEnd, prompt: min(6600, 2900*math.Exp(0.5*random.NormFloat64())), output: max(14, min(2380, 790*math.Exp(0.7*random.NormFloat64())))}
			s.stated = int(s.output * math.Exp(0.5*random.NormFloat64()))
			s.reserved = s.prompt + float64(min(2380, reserve(s.stated)))
			waiting = append(waiting, s)
			out.requests++
		}
		for i := range engines {
			engines[i] = runEngine(engines[i], record, &out)
		}
		waiting = slices.DeleteFunc(waiting, func(s *loadStream) bool {
			if now-s.arrived > loadTarget {
				out.refused++
				return true
			}
			for _, i := range choice.Perm(loadEngines)[:4] {
				if usedBy(engines[i])+s.reserved <= loadMemory {
					engines[i] = append(engines[i], s)
					return true
				}
			}
			return false
		})
	}
	return out
}

// runEngine runs the streams of an engine for a tick. If they exceed its memory, the newest of those that outgrew their
// reservations are preempted, and read again once there is room.
func runEngine(engine []*loadStream, record func(stated, output int), out *loadOutcome) []*loadStream {
	for _, s := range engine {
		switch {
		case s.evicted && usedBy(engine)+s.prompt+s.generated <= loadMemory:
			s.evicted, s.unread = false, s.prompt+s.generated
			s.paused += loadTick
		case s.evicted:
			s.paused += loadTick
		case s.unread > 0:
			s.unread -= readPerTick
			s.paused += loadTick
		default:
			s.late = s.late || s.paused > maxPause
			s.paused = 0
			s.generated += tokensPerTick
		}
	}
	engine = slices.DeleteFunc(engine, func(s *loadStream) bool {
		if s.evicted || s.generated < s.output {
			return false
		}
		if record(s.stated, int(s.output)); s.late {
			out.late++
		} else {
			out.onTime++
		}
		return true
	})
	for i := len(engine) - 1; i >= 0 && usedBy(engine) > loadMemory; i-- {
		if s := engine[i]; !s.evicted && s.prompt+s.generated > s.reserved {
			s.evicted = true
			out.preempted++
		}
	}
	return engine
}

// Load: bursts of up to twice what decode memory holds, with outputs that are often longer than callers state. With reservations
// by what was learned, at least as many streams are on time, and fewer are late or preempted, whether engines count a reservation
// until its stream begins or until it ends: their interface does not say.
func TestLearnedReservationsUnderBursts(t *testing.T) {
	for name, holdsToEnd := range map[string]bool{"until the stream begins": false, "until the stream ends": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var fixed, learned loadOutcome
			for seed := range uint64(8) {
				fixed.add(playBursts(seed, holdsToEnd, func(stated int) int { return int(1.3*float64(stated)) + 100 }, func(int, int) {}))
				e := length.NewEstimator()
				learned.add(playBursts(seed, holdsToEnd, func(stated int) int { return e.Quantile(stated, 0.13) }, e.Record))
			}
			t.Logf("fixed:   %+v", fixed)
			t.Logf("learned: %+v", learned)
			is.True(learned.onTime >= fixed.onTime)
			is.True(learned.late < fixed.late)
			is.True(learned.preempted < fixed.preempted)
		})
	}
}

func (o *loadOutcome) add(other loadOutcome) {
	o.requests += other.requests
	o.onTime += other.onTime
	o.late += other.late
	o.refused += other.refused
	o.preempted += other.preempted
}
