package bench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"gooseberrypin.example/router/rendezvous"
)

const (
	// naiveTransferStallTimeout is the time after which the naive policy cancels a stalled transfer.
	naiveTransferStallTimeout = 2 * time.Second
	// arrivalsAfterEnd is how long requests keep arriving after the measured time, so that the load on the last
	// measured requests does not drop.
	arrivalsAfterEnd = 5 * time.Second
)

type (
	// simulation is one run of a case under a policy.
	simulation struct {
		clock *clock
		// end is the end of the measured time, since the start of the run.
		end          time.Duration
		random       *rand.Rand
		policy       Policy
		benchCase    Case
		capacity     float64
		sizes        []size
		requests     []*request
		entries      []*entry
		prefills     map[string]*prefillServer
		decodes      map[string]*decodeServer
		prefillNames []string
		decodeNames  []string
		measurements *measurements
	}
)

// Run simulates a case under a policy and returns the measurements over the time measured, which begins after the
// warm-up. Runs with the same seed have the same result. Run sleeps on the runtime's clock and must be called in a
// synctest bubble.
func Run(benchCase Case, policy Policy, seed uint64, measured time.Duration) Result {
	sm := newSimulation(benchCase, policy, seed)
	sm.end = warmUp + measured
	sm.scheduleArrivals(seed)
	sm.sendLoadReports()
	sm.checkDecodeServers()
	sm.scheduleStorms()
	sm.scheduleCrashes()
	sm.clock.runUntil(sm.end + drainTime)
	return sm.result(seed)
}

// newSimulation returns a simulation without scheduled events.
func newSimulation(benchCase Case, policy Policy, seed uint64) *simulation {
	sm := &simulation{
		clock:        newClock(),
		random:       randomSource(seed, "faults"),
		policy:       policy,
		benchCase:    benchCase,
		sizes:        newWorkload(randomSource(seed, "sizes")).draw(sizeSamples),
		prefills:     make(map[string]*prefillServer),
		decodes:      make(map[string]*decodeServer),
		measurements: newMeasurements(),
	}
	sm.capacity = capacity(sm.sizes)
	for i := range entryCount {
		name := fmt.Sprintf("entry-%d", i)
		sm.entries = append(sm.entries, newEntry(sm, name, randomSource(seed, name)))
	}
	for i := range prefillServerCount {
		name := fmt.Sprintf("prefill-%d", i)
		sm.prefills[name] = newPrefillServer(sm, name, randomSource(seed, name))
		sm.prefillNames = append(sm.prefillNames, name)
	}
	for i := range decodeServerCount {
		name := fmt.Sprintf("decode-%d", i)
		sm.decodes[name] = newDecodeServer(sm, name)
		sm.decodeNames = append(sm.decodeNames, name)
	}
	return sm
}

// randomSource returns the random source for one purpose, such as the arrivals of a partner. Sources of different
// purposes are independent.
func randomSource(seed uint64, purpose string) *rand.Rand {
	return rand.New(rand.NewPCG(seed, rendezvous.Score("bench", purpose)))
}

// scheduleArrivals schedules Poisson arrivals for all partners. The rates of the partners are proportional to 1/1, 1/2,
// 1/3 and so on. The greedy partner has a rate of its own, so that the arrivals of the other partners are the same with
// and without it.
func (sm *simulation) scheduleArrivals(seed uint64) {
	total := 0.0
	for i := range partnerCount {
		total += 1 / float64(i+1)
	}
	first := 0
	if sm.benchCase.greedy > 0 || sm.benchCase.Name == greedyBaseline {
		first = 1
		total--
		sm.schedulePartner(0, sm.benchCase.greedy, seed)
	}
	for i := first; i < partnerCount; i++ {
		sm.schedulePartner(i, sm.benchCase.load/float64(i+1)/total, seed)
	}
}

// schedulePartner schedules the arrivals of the partner with index i. The load is a multiple of the capacity.
func (sm *simulation) schedulePartner(i int, load float64, seed uint64) {
	if load == 0 {
		return
	}
	name := fmt.Sprintf("partner-%02d", i)
	sm.scheduleNextArrival(name, load*sm.capacity, randomSource(seed, name), 0)
}

// scheduleNextArrival schedules the arrival of a partner's request with index n and then of the requests after it. The
// rate is in requests per second.
func (sm *simulation) scheduleNextArrival(partner string, rate float64, random *rand.Rand, n int) {
	wait := time.Duration(random.ExpFloat64() / rate * float64(time.Second))
	sm.clock.after(wait, func() {
		at := sm.clock.elapsed
		if at > sm.end+arrivalsAfterEnd {
			return
		}
		key := fmt.Sprintf("%s/%d", partner, n)
		r := &request{
			key:      key,
			partner:  partner,
			size:     sm.sizes[random.IntN(len(sm.sizes))],
			entry:    sm.entries[rendezvous.Score("keeper", key)%entryCount],
			measured: at >= warmUp && at < sm.end,
		}
		sm.requests = append(sm.requests, r)
		sm.send(r)
		sm.scheduleNextArrival(partner, rate, random, n+1)
	})
}

// sendLoadReports sends the load of each server to all entries with the delay reportDelay. It repeats every
// reportInterval.
func (sm *simulation) sendLoadReports() {
	for _, name := range sm.decodeNames {
		h := sm.decodes[name].hint()
		sm.clock.after(reportDelay, func() {
			for _, e := range sm.entries {
				e.observeDecode(h)
			}
		})
	}
	for _, name := range sm.prefillNames {
		h := sm.prefills[name].hint()
		sm.clock.after(reportDelay, func() {
			for _, e := range sm.entries {
				e.prefills.Observe(h)
			}
		})
	}
	sm.clock.after(reportInterval, sm.sendLoadReports)
}

// checkDecodeServers checks the reservations and the progress of each decode server. It repeats every checkInterval.
func (sm *simulation) checkDecodeServers() {
	if sm.policy.naive {
		return
	}
	for _, name := range sm.decodeNames {
		sm.decodes[name].check()
	}
	sm.clock.after(checkInterval, sm.checkDecodeServers)
}

// publishCache sends the cached blocks of a prefill server to all entries with the delay cacheEventDelay. A fraction of
// the messages, cacheEventLossFraction, is lost.
func (sm *simulation) publishCache(name string, blocks []uint64) {
	for _, e := range sm.entries {
		if sm.random.Float64() >= cacheEventLossFraction {
			sm.clock.after(cacheEventDelay, func() { e.prefills.ObserveCache(name, blocks) })
		}
	}
}

// scheduleStorms schedules the storms of a case: during a storm, the engines of stalledServerCount decode servers
// complete no step.
func (sm *simulation) scheduleStorms() {
	if !sm.benchCase.storm {
		return
	}
	for at := stormStart; at+stormDuration < sm.end; at += stormInterval {
		sm.clock.after(at, func() {
			for _, name := range sm.decodeNames[:stalledServerCount] {
				sm.decodes[name].stalledUntil = sm.clock.now.Add(stormDuration)
			}
		})
	}
}

// scheduleCrashes schedules the crashes of a case: every crashInterval a random decode server crashes and restarts
// after restartDelay.
func (sm *simulation) scheduleCrashes() {
	if !sm.benchCase.faults {
		return
	}
	for at := crashInterval; at < sm.end; at += crashInterval {
		s := sm.decodes[sm.decodeNames[sm.random.IntN(decodeServerCount)]]
		sm.clock.after(at, s.crash)
		sm.clock.after(at+restartDelay, s.reset)
	}
}

// transferStallTimeout returns the time without progress after which a transfer is cancelled.
func (sm *simulation) transferStallTimeout() time.Duration {
	if sm.policy.naive {
		return naiveTransferStallTimeout
	}
	return linkStallTimeout
}

// recordPrefill records the number of prompt tokens that were computed for an attempt.
func (sm *simulation) recordPrefill(a *attempt, tokens int) {
	a.computedTokens += tokens
	a.measured = sm.measuring()
	sm.measurements.recordPrefill(a, tokens)
}

// recordAttemptEnd records the wasted and unused prefill tokens of an attempt that finished or was cancelled.
func (sm *simulation) recordAttemptEnd(a *attempt) {
	sm.measurements.recordAttemptEnd(a)
}

// measuring reports whether the current time is part of the measured time.
func (sm *simulation) measuring() bool {
	t := sm.clock.elapsed
	return t >= warmUp && t < sm.end
}
