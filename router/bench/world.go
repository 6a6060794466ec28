package bench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"gooseberrypin.example/router/rendezvous"
)

const (
	// naiveStallBound is when a naive router gives a transfer up.
	naiveStallBound = 2 * time.Second
	// arrivalsAfter keeps the load up behind the measured time.
	arrivalsAfter = 5 * time.Second
)

type (
	// world is one run of a case under a policy.
	world struct {
		clock *clock
		// end is when the measured time ends.
		end          time.Duration
		random       *rand.Rand
		policy       Policy
		scene        Case
		capacity     float64
		sizes        []size
		requests     []*request
		keepers      []*keeper
		prefills     map[string]*prefillServer
		decodes      map[string]*decodeServer
		prefillNames []string
		decodeNames  []string
		tally        *tally
	}
)

// Run runs a case under a policy with a seed, and returns what was measured for a time
// after the warm-up. It waits on the runtime's clock, so it belongs into a synctest bubble.
func Run(scene Case, policy Policy, seed uint64, measured time.Duration) Result {
	w := newWorld(scene, policy, seed)
	w.end = warmUp + measured
	w.arrivals(seed)
	w.reports()
	w.checks()
	w.scheduleStorms()
	w.scheduleLosses()
	w.clock.runUntil(w.end + drain)
	return w.result(seed)
}

func newWorld(scene Case, policy Policy, seed uint64) *world {
	w := &world{
		clock:    newClock(),
		random:   source(seed, "faults"),
		policy:   policy,
		scene:    scene,
		sizes:    newWorkload(source(seed, "sizes")).draw(drawn),
		prefills: make(map[string]*prefillServer),
		decodes:  make(map[string]*decodeServer),
		tally:    newTally(),
	}
	w.capacity = capacity(w.sizes)
	for i := range entries {
		name := fmt.Sprintf("entry-%d", i)
		w.keepers = append(w.keepers, newKeeper(w, name, source(seed, name)))
	}
	for i := range prefillServers {
		name := fmt.Sprintf("prefill-%d", i)
		w.prefills[name] = newPrefillServer(w, name, source(seed, name))
		w.prefillNames = append(w.prefillNames, name)
	}
	for i := range decodeServers {
		name := fmt.Sprintf("decode-%d", i)
		w.decodes[name] = newDecodeServer(w, name)
		w.decodeNames = append(w.decodeNames, name)
	}
	return w
}

// source returns the random numbers of one purpose.
func source(seed uint64, purpose string) *rand.Rand {
	return rand.New(rand.NewPCG(seed, rendezvous.Score("bench", purpose)))
}

// arrivals schedules Poisson arrivals of all partners. The greedy partner's are drawn
// apart, so that the others' are the same with and without it.
func (w *world) arrivals(seed uint64) {
	total := 0.0
	for i := range partners {
		total += 1 / float64(i+1)
	}
	first := 0
	if w.scene.greedy > 0 || w.scene.Name == greedyAbsent {
		first = 1
		total--
		w.stream(0, w.scene.greedy, seed)
	}
	for i := first; i < partners; i++ {
		w.stream(i, w.scene.load/float64(i+1)/total, seed)
	}
}

// stream schedules the arrivals of one partner at a rate in capacities.
func (w *world) stream(i int, load float64, seed uint64) {
	if load == 0 {
		return
	}
	name := fmt.Sprintf("partner-%02d", i)
	w.next(name, load*w.capacity, source(seed, name), 0)
}

// next schedules the next arrival of a partner, n before it.
func (w *world) next(partner string, rate float64, random *rand.Rand, n int) {
	wait := time.Duration(random.ExpFloat64() / rate * float64(time.Second))
	w.clock.after(wait, func() {
		at := w.clock.passed
		if at > w.end+arrivalsAfter {
			return
		}
		key := fmt.Sprintf("%s/%d", partner, n)
		r := &request{
			key:      key,
			partner:  partner,
			size:     w.sizes[random.IntN(len(w.sizes))],
			keeper:   w.keepers[rendezvous.Score("keeper", key)%entries],
			measured: at >= warmUp && at < w.end,
		}
		w.requests = append(w.requests, r)
		w.send(r)
		w.next(partner, rate, random, n+1)
	})
}

// reports sends each server's load to all keepers, late.
func (w *world) reports() {
	for _, name := range w.decodeNames {
		h := w.decodes[name].hint()
		w.clock.after(reportLag, func() {
			for _, k := range w.keepers {
				k.observeDecode(h)
			}
		})
	}
	for _, name := range w.prefillNames {
		h := w.prefills[name].hint()
		w.clock.after(reportLag, func() {
			for _, k := range w.keepers {
				k.prefills.Observe(h)
			}
		})
	}
	w.clock.after(reportInterval, w.reports)
}

// checks looks for engines that make no steps.
func (w *world) checks() {
	if w.policy.naive {
		return
	}
	for _, name := range w.decodeNames {
		w.decodes[name].check()
	}
	w.clock.after(stepCheck, w.checks)
}

// publishCache tells all keepers what a server has cached, late and with losses.
func (w *world) publishCache(name string, blocks []uint64) {
	for _, k := range w.keepers {
		if w.random.Float64() >= cacheEventLoss {
			w.clock.after(cacheEventLag, func() { k.prefills.ObserveCache(name, blocks) })
		}
	}
}

func (w *world) scheduleStorms() {
	if !w.scene.storm {
		return
	}
	for at := stormStart; at+stormLength < w.end; at += stormEvery {
		w.clock.after(at, func() {
			for _, name := range w.decodeNames[:stormServers] {
				w.decodes[name].stalled = w.clock.now.Add(stormLength)
			}
		})
	}
}

func (w *world) scheduleLosses() {
	if !w.scene.faults {
		return
	}
	for at := lossEvery; at < w.end; at += lossEvery {
		s := w.decodes[w.decodeNames[w.random.IntN(decodeServers)]]
		w.clock.after(at, s.lose)
		w.clock.after(at+lossLength, s.reset)
	}
}

// stallBound is the time without progress after which a transfer is given up.
func (w *world) stallBound() time.Duration {
	if w.policy.naive {
		return naiveStallBound
	}
	return linkStallAfter
}

// computed counts the tokens of a prefill.
func (w *world) computed(a *attempt, tokens int) {
	a.computed += tokens
	a.counted = w.measuring()
	w.tally.computed(a, tokens)
}

// settle counts what was wasted by an attempt that ended.
func (w *world) settle(a *attempt) {
	w.tally.settle(a)
}

func (w *world) measuring() bool {
	t := w.clock.passed
	return t >= warmUp && t < w.end
}
