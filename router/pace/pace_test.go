package pace_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"gooseberrypin.example/router/pace"
	"gooseberrypin.example/router/speed"
	"gooseberrypin.example/router/upstream"
)

const (
	entries    = 5
	capacity   = 40
	answerTime = 100 * time.Millisecond
	maxWait    = 200 * time.Millisecond
	// nominal is the rate, in requests a second, that a server of speed 1 sustains.
	nominal = capacity * float64(time.Second) / float64(answerTime)
)

var (
	start = time.Unix(1_790_000_000, 0)
)

type (
	// server answers up to capacity requests at once in answerTime / speed. More of them share its speed.
	server struct {
		id       string
		speed    float64
		running  int
		answered int
		// absent servers are not published.
		absent bool
		// most is the highest number of running requests since the last reset.
		most int
	}

	// fleet has entries with a limiter and a view of the servers each.
	fleet struct {
		now      time.Time
		random   *rand.Rand
		servers  []*server
		limiters []*pace.Limiter
		members  [][]*upstream.Member
		answers  answers
		// noise is how much the time of an answer differs from the mean, at most.
		noise    float64
		next     time.Time
		exchange time.Time
		unserved int
	}

	// answer is the answer of a server, or with server -1 another attempt of a request that waits since a time.
	answer struct {
		at            time.Time
		entry, server int
		took          time.Duration
		since         time.Time
	}

	answers []answer
)

func (a answers) Len() int           { return len(a) }
func (a answers) Less(i, j int) bool { return a[i].at.Before(a[j].at) }
func (a answers) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *answers) Push(x any)        { *a = append(*a, x.(answer)) }
func (a *answers) Pop() any {
	old := *a
	last := old[len(old)-1]
	*a = old[:len(old)-1]
	return last
}

func newFleet(speeds ...float64) *fleet {
	f := &fleet{now: start, next: start, exchange: start, random: rand.New(rand.NewPCG(3, 3)), noise: 0.1}
	for i, s := range speeds {
		f.servers = append(f.servers, &server{id: fmt.Sprintf("s%d", i), speed: s})
	}
	for i := range entries {
		d := upstream.NewDirectory()
		for _, s := range f.servers {
			d.Put(upstream.Upstream{ID: s.id, Pool: "desk", Slots: capacity})
		}
		f.limiters = append(f.limiters, pace.NewLimiter(fmt.Sprintf("entry-%d", i), func() int { return entries }))
		f.members = append(f.members, d.Published("desk", upstream.PhaseNone))
	}
	return f
}

// run sends a number of requests a second for a time. entry returns the entry that receives a request.
func (f *fleet) run(duration time.Duration, perSecond float64, entry func() int) {
	end := f.now.Add(duration)
	for {
		at := f.next
		if len(f.answers) > 0 && f.answers[0].at.Before(at) {
			at = f.answers[0].at
		}
		if at.After(end) {
			f.now = end
			return
		}
		f.now = at
		if at.After(f.exchange) {
			a, b := f.limiters[f.random.IntN(entries)], f.limiters[f.random.IntN(entries)]
			forth, back := a.Shared(at), b.Shared(at)
			b.Merge(forth, at)
			a.Merge(back, at)
			f.exchange = at.Add(time.Second / entries)
		}
		if at.Equal(f.next) {
			f.next = at.Add(time.Duration(f.random.ExpFloat64() / perSecond * float64(time.Second)))
			f.send(entry(), at)
			continue
		}
		if a := heap.Pop(&f.answers).(answer); a.server < 0 {
			f.send(a.entry, a.since)
		} else {
			f.finish(a)
		}
	}
}

// send sends a request that has waited since a time to the allowed server with the least load of the entry.
func (f *fleet) send(entry int, since time.Time) {
	var present []*upstream.Member
	for i, m := range f.members[entry] {
		if !f.servers[i].absent {
			present = append(present, m)
		}
	}
	allowed := f.limiters[entry].Allowed(present, f.now)
	if len(allowed) == 0 {
		if f.now.Sub(since) < maxWait {
			heap.Push(&f.answers, answer{at: f.now.Add(20 * time.Millisecond), entry: entry, server: -1, since: since})
			return
		}
		f.unserved++
		return
	}
	f.random.Shuffle(len(allowed), func(i, j int) { allowed[i], allowed[j] = allowed[j], allowed[i] })
	m := slices.MinFunc(allowed, func(a, b *upstream.Member) int { return a.Load().Requests - b.Load().Requests })
	i := slices.Index(f.members[entry], m)
	s := f.servers[i]
	m.Begin(0)
	s.running++
	s.most = max(s.most, s.running)
	took := time.Duration(float64(answerTime) / s.speed * max(1, float64(s.running)/capacity) * (1 + f.noise*(2*f.random.Float64()-1)))
	heap.Push(&f.answers, answer{at: f.now.Add(took), entry: entry, server: i, took: took})
}

func (f *fleet) finish(a answer) {
	m := f.members[a.entry][a.server]
	f.limiters[a.entry].Answered(m, 1, a.took, f.now)
	m.End(0)
	f.servers[a.server].running--
	f.servers[a.server].answered++
}

func (f *fleet) anyEntry() int { return f.random.IntN(entries) }

// reset returns how many requests a second each server has answered since the last reset, relative to what it sustains, and
// the highest number of requests in flight relative to what it serves without a queue.
func (f *fleet) reset(since time.Duration) (rates, most []float64) {
	for _, s := range f.servers {
		rates = append(rates, float64(s.answered)/since.Seconds()/(nominal*s.speed))
		most = append(most, float64(s.most)/capacity)
		s.answered, s.most = 0, s.running
	}
	return rates, most
}

// after runs a load, as a multiple of what a server of speed 1 sustains, and returns what the servers did in the last part.
func (f *fleet) after(settle, measured time.Duration, load float64, entry func() int) (rates, most []float64, unserved float64) {
	f.run(settle, load*nominal, entry)
	f.reset(settle)
	f.unserved = 0
	f.run(measured, load*nominal, entry)
	rates, most = f.reset(measured)
	return rates, most, float64(f.unserved) / (load * nominal * measured.Seconds())
}

// A server that has recovered gets no more than 1.25 of what it serves without a queue, although the load is twice as much as
// the servers sustain, and within two seconds at least 0.9 of it.
func TestRecoveredServerIsNeitherFloodedNorIdle(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 1, 1, 1)
	f.servers[3].absent = true
	f.after(4*time.Second, time.Second, 2.5, f.anyEntry)
	f.servers[3].absent = false
	_, first, _ := f.after(0, 1500*time.Millisecond, 8, f.anyEntry)
	rates, most, _ := f.after(0, 500*time.Millisecond, 8, f.anyEntry)
	t.Log(first, rates, most)
	is.True(max(first[3], most[3]) <= 1.25)
	is.True(rates[3] >= 0.9)
}

// Each server gets what its speed sustains, also if two of three are slow, and nearly nothing is refused.
func TestServersOfDifferentSpeedsAreUsed(t *testing.T) {
	tests := map[string][]float64{
		"0.7 beside 1.7":    {1 / 1.7, 1 / 0.7},
		"two slow of three": {0.4, 0.4, 1},
		"even":              {1, 1, 1},
	}
	for name, speeds := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(speeds...)
			total := 0.0
			for _, s := range speeds {
				total += s
			}
			rates, most, unserved := f.after(3*time.Second, 3*time.Second, 0.85*total, f.anyEntry)
			t.Log(rates, most, unserved)
			is.True(slices.Min(rates) >= 0.7)
			is.True(slices.Max(most) <= 1.25)
			is.True(unserved < 0.01)
		})
	}
}

// A server whose answers slow down without failing gets less, and the others serve the load.
func TestServerThatSlowsDownGetsLess(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 1, 1, 1)
	_, before, _ := f.after(3*time.Second, time.Second, 3, f.anyEntry)
	f.servers[0].speed = 0.25
	_, most, unserved := f.after(6*time.Second, time.Second, 2.5, f.anyEntry)
	t.Log(before, most, unserved)
	is.True(most[0] <= before[0]/2)
	is.True(slices.Max(most[1:]) <= 1.25)
	is.True(unserved < 0.02)
}

// The limits of a burst do not last: within a second after it nearly nothing is refused.
func TestBurstEnds(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 1, 1)
	f.after(2*time.Second, 2*time.Second, 4.5, f.anyEntry)
	_, _, unserved := f.after(time.Second, 2*time.Second, 0.8*3, f.anyEntry)
	is.True(unserved < 0.01)
}

// The time of single answers varies: the limits must not fall for it.
func TestVaryingAnswersAreNotSlow(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 1, 1)
	f.noise = 0.6
	_, _, unserved := f.after(2*time.Second, 10*time.Second, 0.8*3, f.anyEntry)
	is.True(unserved < 0.01)
}

// A single slow answer takes away at most a tenth of the limit.
func TestSingleSlowAnswerChangesLittle(t *testing.T) {
	is := is.New(t)
	f := newFleet(1)
	f.after(2*time.Second, time.Second, 0.8, f.anyEntry)
	limit := func() float64 { return f.limiters[0].Figures(f.members[0], f.now)[0].Limit }
	before, lowest := limit(), limit()
	m := f.members[0][0]
	for i := range 30 {
		took := answerTime
		if i == 0 {
			took *= 20
		}
		m.Begin(0)
		f.limiters[0].Answered(m, 1, took, f.now)
		m.End(0)
		lowest = min(lowest, limit())
	}
	is.True(lowest >= 0.9*before)
}

// A demand that moves to the entry of one data centre uses the servers within some seconds, as its answers are in time.
func TestDemandAtOneEntry(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 1, 1)
	f.after(3*time.Second, time.Second, 0.8*3, f.anyEntry)
	rates, most, unserved := f.after(7*time.Second, 2*time.Second, 0.8*3, func() int { return 0 })
	t.Log(rates, most, unserved)
	is.True(unserved < 0.02)
	is.True(slices.Max(most) <= 1.25)
}

// An idle server gets a trial however low its limit is, and a failed answer lowers the limit.
func TestIdleServerGetsATrial(t *testing.T) {
	is := is.New(t)
	f := newFleet(1)
	m := f.members[0][0]
	for range 100 {
		f.limiters[0].Failed(m, f.now)
	}
	is.Equal(f.limiters[0].Figures(f.members[0], f.now)[0].Limit, 1.0)
	is.Equal(len(f.limiters[0].Allowed(f.members[0], f.now)), 1)
	m.Begin(0)
	allowed := 0
	for slot := range 40 {
		allowed += len(f.limiters[0].Allowed(f.members[0], f.now.Add(time.Duration(slot)*time.Second/4)))
	}
	is.Equal(allowed, 0)
}

// An entry that has just started takes the limit from other entries, and without them that of the pool's median.
func TestNewEntryStartsFromWhatTheFleetKnows(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 1, 1)
	f.after(3*time.Second, time.Second, 0.8*3, f.anyEntry)
	for range 50 {
		f.limiters[0].Failed(f.members[0][0], f.now)
	}
	fresh := pace.NewLimiter("fresh", func() int { return entries + 1 })
	var reports []pace.Report
	for _, r := range f.limiters[0].Shared(f.now) {
		if f.limiters[0].Figures(f.members[0], f.now); r.Limit > 1 {
			reports = append(reports, r)
		}
	}
	fresh.Merge(reports, f.now)
	known := fresh.Figures(f.members[0], f.now)
	is.True(known[1].Limit > capacity/2)
	is.True(known[2].Limit > capacity/2)
	d := upstream.NewDirectory()
	d.Put(upstream.Upstream{ID: "new", Pool: "desk", Slots: 1000})
	start := fresh.Figures(d.Published("desk", upstream.PhaseNone), f.now)[0].Limit
	is.True(start < 2*capacity && start > capacity/2)
}

// Entries that receive the same reports in another order, and several times, use the same limits.
func TestMergeIsCommutativeAndIdempotent(t *testing.T) {
	key := speed.Key(upstream.Upstream{ID: "s0"})
	rapid.Check(t, func(r *rapid.T) {
		var reports []pace.Report
		for i := range rapid.IntRange(0, 40).Draw(r, "reports") {
			reports = append(reports, pace.Report{
				Upstream: key, Entry: uint32(rapid.IntRange(1, 12).Draw(r, "entry")), Limit: float64(i + 1),
				Observed: start.Add(-time.Duration(i) * time.Millisecond * time.Duration(rapid.IntRange(1, 20).Draw(r, "age"))),
			})
		}
		a, b := pace.NewLimiter("x", func() int { return 1 }), pace.NewLimiter("x", func() int { return 1 })
		a.Merge(reports, start)
		slices.Reverse(reports)
		b.Merge(append(slices.Clone(reports), reports...), start)
		if !slices.Equal(a.Shared(start), b.Shared(start)) {
			r.Fatalf("%v and %v", a.Shared(start), b.Shared(start))
		}
	})
}
