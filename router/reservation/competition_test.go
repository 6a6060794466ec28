package reservation_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gooseberrypin.example/router/contention"
	"gooseberrypin.example/router/quota"
	"gooseberrypin.example/router/reservation"
)

const (
	competingEntries = 22
	competingEngines = 29
	competingTokens  = 31_384
	// startup is what the gateway subtracts from the target: 1.4 times the time from a grant to the first event.
	startup        = 350 * time.Millisecond
	callerDeadline = 14 * time.Second
	customers      = 16
	surgeBegin     = 5 * time.Second
	surgeEnd       = 11 * time.Second
	loadEnd        = 16 * time.Second
)

type (
	// load is the generations a second at a time, and the part of the first customer.
	load func(t time.Duration) (perSecond, hotPart float64)

	// generation is one generation of a load and its outcome.
	generation struct {
		at, hold                      time.Duration
		kind, customer, entry, tokens int
		random                        float64
		granted, onTime               bool
	}

	// competition runs generations through the queues of all entries.
	competition struct {
		standing bool
		engines  *engines
		queues   []*reservation.Queue
		shares   *contention.Shares

		mu sync.Mutex
		// asked and granted are the averages of each customer's tokens a second, as entries report them.
		asked, granted, askedNow, grantedNow [customers]float64
		reported                             time.Time
	}
)

var (
	targets = []time.Duration{800 * time.Millisecond, time.Second, 2 * time.Second}
)

// surge returns a load of 36 generations a second, which the largest customer sends a third of, and another one in between.
func surge(perSecond, hotPart float64) load {
	return func(t time.Duration) (float64, float64) {
		if t >= surgeBegin && t < surgeEnd {
			return perSecond, hotPart
		}
		return 36, 1.0 / 3
	}
}

// newLoad returns the generations of a load. The same seed gives the same ones.
func newLoad(l load, seed uint64) []generation {
	random := rand.New(rand.NewPCG(seed, 1))
	var list []generation
	for at := time.Duration(0); at < loadEnd; {
		perSecond, hotPart := l(at)
		at += time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))
		g := generation{
			at: at, kind: drawKind(random), customer: 1 + random.IntN(customers-1), entry: random.IntN(competingEntries),
			tokens: int(min(12_000, 3000*math.Exp(0.5*random.NormFloat64()))), random: random.Float64(),
			hold: 2*time.Second + time.Duration(random.Float64()*4*float64(time.Second)),
		}
		if random.Float64() < hotPart {
			g.customer = 0
		}
		list = append(list, g)
	}
	return list
}

func drawKind(random *rand.Rand) int {
	switch n := random.IntN(100); {
	case n < 13:
		return 0
	case n < 79:
		return 1
	}
	return 2
}

// compete runs the generations of a load and returns them with their outcomes.
func compete(t *testing.T, standing bool, l load, seed uint64) (list []generation, attempts int) {
	free := make(map[string]int)
	for i := range competingEngines {
		free[fmt.Sprintf("d%03d", i)] = competingTokens
	}
	c := &competition{standing: standing, engines: newEngines(free)}
	c.shares = contention.NewShares(c.loads)
	for n := range uint64(competingEntries) {
		c.queues = append(c.queues, c.engines.queue(reservation.WithEntries(func() int { return competingEntries }),
			reservation.WithRandom(rand.New(rand.NewPCG(seed, n)))))
	}
	list = newLoad(l, seed)
	var wg sync.WaitGroup
	began := time.Now()
	for n := range list {
		time.Sleep(list[n].at - time.Since(began))
		wg.Go(func() { c.generate(t, &list[n]) })
	}
	wg.Wait()
	for _, n := range c.engines.attempts {
		attempts += n
	}
	return list, attempts
}

// generate runs a generation, and once more if it is refused.
func (c *competition) generate(t *testing.T, g *generation) {
	began := time.Now()
	target := targets[g.kind]
	for try := range 2 {
		q, now := c.queues[(g.entry+7*try)%len(c.queues)], time.Now()
		c.count(g, &c.askedNow)
		w := reservation.Waiter{
			Tokens: g.tokens, Arrived: now, Priority: g.kind, OnTimeUntil: began.Add(target - startup),
			ExpiresIfContended: now.Add(8 * target / 10), Expires: now.Add(13 * target / 10),
		}
		retryAfter := 3 * target / 2
		if c.standing {
			part := c.shares.WithinPart(fmt.Sprint(g.customer), nil, func(string) int { return 0 })
			w.Standing = contention.Standing{InForce: true, Rank: g.kind, Ranks: 3, BeyondShare: g.random >= part}
			retryAfter = w.Standing.RetryAfter(target, callerDeadline-time.Since(began), g.random)
		}
		if grant, ok := q.Wait(t.Context(), w); ok {
			g.granted, g.onTime = true, time.Since(began) < target-startup
			c.count(g, &c.grantedNow)
			time.AfterFunc(g.hold, func() {
				c.engines.freeMemory(grant.Member.ID, g.tokens)
				q.Freed(grant.Member.ID)
			})
			return
		}
		time.Sleep(retryAfter)
	}
}

func (c *competition) count(g *generation, sums *[customers]float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	sums[g.customer] += float64(g.tokens)
}

// loads returns the averages of half-second reports over a second, as quota.Customers does.
func (c *competition) loads() ([]quota.CustomerLoad, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if elapsed := time.Since(c.reported); elapsed >= 500*time.Millisecond {
		weight := 1 - math.Exp(-0.5)
		for n := range customers {
			c.asked[n] += weight * (2*c.askedNow[n] - c.asked[n])
			c.granted[n] += weight * (2*c.grantedNow[n] - c.granted[n])
			c.askedNow[n], c.grantedNow[n] = 0, 0
		}
		c.reported = time.Now()
	}
	var list []quota.CustomerLoad
	for n := range customers {
		list = append(list, quota.CustomerLoad{Name: fmt.Sprint(n), Demand: c.asked[n], Granted: c.granted[n]})
	}
	return list, c.reported
}

// part returns the part of the chosen generations for which is holds.
func part(list []generation, chosen, holds func(generation) bool) float64 {
	all, held := 0, 0
	for _, g := range list {
		if chosen(g) {
			all++
			if holds(g) {
				held++
			}
		}
	}
	return float64(held) / float64(max(1, all))
}

// judge returns the figures that the requirements bound, of the generations of a surge, and the number that are out of bounds.
func judge(list []generation) (figures []string, faults int) {
	granted, onTime := func(g generation) bool { return g.granted }, func(g generation) bool { return g.onTime }
	require := func(holds bool, format string, args ...any) {
		figure := fmt.Sprintf(format, args...)
		if !holds {
			figure, faults = "FAULT: "+figure, faults+1
		}
		figures = append(figures, figure)
	}
	var servedParts, onTimeParts [3]float64
	for kind := range targets {
		of := func(g generation) bool { return g.kind == kind }
		servedParts[kind], onTimeParts[kind] = part(list, of, granted), part(list, of, onTime)
		for urgent := range kind {
			require(servedParts[urgent] >= servedParts[kind]-0.05, "kind %d is served %.3f, kind %d %.3f", urgent, servedParts[urgent], kind, servedParts[kind])
			require(onTimeParts[urgent] >= onTimeParts[kind], "kind %d is on time %.3f, kind %d %.3f", urgent, onTimeParts[urgent], kind, onTimeParts[kind])
		}
	}
	hot, small := func(g generation) bool { return g.customer == 0 }, func(g generation) bool { return g.customer > 0 }
	require(part(list, small, granted) >= part(list, hot, granted), "small customers are served %.3f, the hot one %.3f", part(list, small, granted), part(list, hot, granted))
	require(part(list, small, onTime) >= part(list, hot, onTime), "small customers are on time %.3f, the hot one %.3f", part(list, small, onTime), part(list, hot, onTime))
	bySize := slices.SortedFunc(slices.Values(list), func(a, b generation) int { return cmp.Compare(a.tokens, b.tokens) })
	all := func(generation) bool { return true }
	half := part(list, all, granted) / 2
	require(part(bySize[len(list)*9/10:], all, granted) >= half, "the largest tenth is served %.3f, all %.3f", part(bySize[len(list)*9/10:], all, granted), 2*half)
	require(part(bySize[len(list)*7/10:len(list)*9/10], all, granted) >= half, "the fifth below the largest tenth is served %.3f", part(bySize[len(list)*7/10:len(list)*9/10], all, granted))
	return figures, faults
}

// When decode memory is scarce at all entries, urgent kinds must not be served less than others with a longer target, small
// customers not less than one that sends many times its usual load, and large generations must be served too. Without
// standing, each of these surges shows a fault, and more attempts.
func TestStandingUnderCompetition(t *testing.T) {
	tests := map[string]load{
		"all send twice the capacity":                surge(130, 1.0/3),
		"one customer sends six times its usual":     surge(24+72, 72.0/96),
		"one customer sends six times, with a burst": surge(154, 72.0/96),
	}
	for name, l := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			before, attemptsBefore := competeWithSeeds(t, false, l)
			after, attemptsAfter := competeWithSeeds(t, true, l)
			figures, faults := judge(before)
			t.Logf("before: %d attempts, %q", attemptsBefore, figures)
			is.True(faults > 0)
			figures, faults = judge(after)
			t.Logf("after: %d attempts, %q", attemptsAfter, figures)
			is.Equal(faults, 0)
			is.True(attemptsAfter <= attemptsBefore)
		})
	}
}

// competeWithSeeds returns the generations of the surges of several runs.
func competeWithSeeds(t *testing.T, standing bool, l load) (list []generation, attempts int) {
	for seed := range uint64(2) {
		synctest.Test(t, func(t *testing.T) {
			run, made := compete(t, standing, l, seed)
			list, attempts = append(list, run...), attempts+made
		})
	}
	return slices.DeleteFunc(list, func(g generation) bool { return g.at < surgeBegin || g.at >= surgeEnd }), attempts
}

// Attempts for the highest standing are more frequent, but all entries together must not ask the engines more often for it
// over time.
func TestAttemptsForHighestStandingArePaced(t *testing.T) {
	const (
		attemptInterval = 13 * time.Millisecond
		saved           = 10
		duration        = 2 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		free := make(map[string]int)
		for i := range competingEngines {
			free[fmt.Sprintf("d%03d", i)] = 0
		}
		e := newEngines(free)
		var wg sync.WaitGroup
		for range competingEntries {
			q := e.queue(reservation.WithEntries(func() int { return competingEntries }))
			for range 2 {
				w := waiter(3400)
				w.Standing = contention.Standing{InForce: true, Ranks: 3}
				w.OnTimeUntil, w.ExpiresIfContended, w.Expires = w.Arrived.Add(time.Minute), w.Arrived.Add(duration), w.Arrived.Add(duration)
				wg.Go(func() { q.Wait(t.Context(), w) })
			}
		}
		wg.Wait()
		attempts := 0
		for _, n := range e.attempts {
			attempts += n
		}
		// Four unpaced attempts of each waiter, what each entry has saved, then one in each interval.
		is.True(attempts <= (2*4+saved+1)*competingEntries+int(competingEngines*duration/attemptInterval))
	})
}
