package speed_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"gooseberrypin.example/router/speed"
	"gooseberrypin.example/router/upstream"
)

const (
	pool = "chat"
)

var (
	start = time.Unix(1_790_000_000, 0)
)

func engines(phase upstream.Phase, count int) []*upstream.Member {
	d := upstream.NewDirectory()
	for i := range count {
		d.Put(upstream.Upstream{ID: fmt.Sprintf("e%02d", i), Pool: pool, Phase: phase})
	}
	return d.Published(pool, phase)
}

// record adds samples of a number of seconds up to now, two a second for each engine, at the times per token that perToken
// returns. It judges the engines after each second.
func record(t *speed.Table, members []*upstream.Member, seconds int, now time.Time, perToken func(engine int) time.Duration) *speed.View {
	var v *speed.View
	for s := range 2 * seconds {
		at := now.Add(time.Duration(s+1-2*seconds) * time.Second / 2)
		for i, m := range members {
			t.Record(m.Upstream, 1000, 1000*perToken(i), at)
		}
		v = view(t, members, at)
	}
	return v
}

func view(t *speed.Table, members []*upstream.Member, now time.Time) *speed.View {
	return t.View(func() []*upstream.Member { return members }, pool, members[0].Phase, now)
}

// Entries that receive the same samples in another order, and several times, estimate the same speeds.
func TestMergeIsCommutativeAndIdempotent(t *testing.T) {
	members := engines(upstream.PhasePrefill, 4)
	rapid.Check(t, func(r *rapid.T) {
		var samples []speed.Sample
		for i := range rapid.IntRange(0, 150).Draw(r, "samples") {
			samples = append(samples, speed.Sample{
				Engine: speed.Key(members[rapid.IntRange(0, 3).Draw(r, "engine")].Upstream), ID: uint32(i), Tokens: 1000,
				PerToken: time.Duration(rapid.IntRange(1000, 90_000).Draw(r, "ns")),
				Observed: start.Add(-time.Duration(rapid.IntRange(0, 9000).Draw(r, "age")) * time.Millisecond),
			})
		}
		once, shuffled := speed.NewTable(1.5), speed.NewTable(1.5)
		once.Merge(samples, start)
		doubled := append(slices.Clone(samples), samples...)
		random := rand.New(rand.NewPCG(uint64(len(samples)), 1))
		random.Shuffle(len(doubled), func(i, j int) { doubled[i], doubled[j] = doubled[j], doubled[i] })
		for _, s := range doubled {
			shuffled.Merge([]speed.Sample{s}, start)
		}
		for _, m := range members {
			if a, b := view(once, members, start).PerToken(m), view(shuffled, members, start).PerToken(m); (a - b).Abs() > time.Nanosecond {
				r.Fatalf("estimates of %s differ: %v and %v", m.ID, a, b)
			}
		}
		if !slices.Equal(once.Shared(start), shuffled.Shared(start)) {
			r.Fatal("shared samples differ")
		}
	})
}

// Engines that differ by less than the factor, or of which too little is known, are not judged, so that requests are
// placed as without learned speeds. Two slow engines of three are found as well as one.
func TestOnlyEnginesThatDifferByTheFactorAreSlow(t *testing.T) {
	tests := map[string]struct {
		factor   float64
		perToken []time.Duration
		seconds  int
		want     bool
	}{
		"even":                    {1.5, []time.Duration{30, 30, 30}, 5, false},
		"a third a little slower": {1.5, []time.Duration{30, 30, 39}, 5, false},
		"a third slow":            {1.5, []time.Duration{21, 21, 51}, 5, true},
		"two thirds slow":         {1.5, []time.Duration{51, 51, 21}, 5, true},
		"lower factor":            {1.2, []time.Duration{30, 30, 39}, 5, true},
		"too few samples":         {1.5, []time.Duration{21, 21, 51}, 1, false},
		"switched off":            {0, []time.Duration{21, 21, 51}, 5, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			members := engines(upstream.PhasePrefill, 12)
			table := speed.NewTable(tt.factor)
			v := record(table, members, tt.seconds, start, func(i int) time.Duration { return tt.perToken[i%3] * time.Microsecond })
			is.Equal(v.Uneven(), tt.want)
			if tt.want {
				is.True((v.PerToken(members[2]) - tt.perToken[2]*time.Microsecond).Abs() < 5*time.Microsecond)
			}
		})
	}
}

// Queues during a burst make single answers of even engines slow. The engines must not be judged slow for it.
func TestQueuesDoNotMakeEvenEnginesSlow(t *testing.T) {
	is := is.New(t)
	members := engines(upstream.PhasePrefill, 13)
	table := speed.NewTable(1.5)
	random := rand.New(rand.NewPCG(1, 1))
	for second := range 120 {
		v := record(table, members, 1, start.Add(time.Duration(second)*time.Second), func(int) time.Duration {
			return time.Duration((1 + 2*max(0, random.NormFloat64())) * 30_000)
		})
		is.True(!v.Uneven())
	}
}

// The figure of an engine that slows down follows within three seconds, and it is judged slow within eleven. One that has
// recovered is found within two. An engine without new samples
// approaches the median, so that it is tried again.
func TestVerdictsFollowAndFade(t *testing.T) {
	is := is.New(t)
	members := engines(upstream.PhasePrefill, 6)
	table := speed.NewTable(1.5)
	slowdown := func(factor time.Duration) func(int) time.Duration {
		return func(i int) time.Duration {
			if i == 0 {
				return factor * 30 * time.Microsecond
			}
			return 30 * time.Microsecond
		}
	}
	at := func(second int) time.Time { return start.Add(time.Duration(second) * time.Second) }
	is.True(!record(table, members, 10, at(0), slowdown(1)).Uneven())
	v := record(table, members, 3, at(3), slowdown(4))
	is.True(v.PerToken(members[0]) > 60*time.Microsecond)
	v = record(table, members, 8, at(11), slowdown(4))
	is.True(v.Uneven())
	is.True(v.PerToken(members[0]) > 90*time.Microsecond)
	is.True(!record(table, members, 2, at(13), slowdown(1)).Uneven())
	record(table, members, 10, at(23), slowdown(4))
	later := record(table, members[1:], 10, at(33), slowdown(1))
	is.True(later.PerToken(members[0]) < 60*time.Microsecond)
}

// A message must hold what is known of all engines rather than many samples of a few.
func TestSharedSamplesCoverTheEngines(t *testing.T) {
	is := is.New(t)
	members := engines(upstream.PhaseDecode, 42)
	table := speed.NewTable(1.5)
	record(table, members, 3, start, func(int) time.Duration { return 3 * time.Millisecond })
	shared := table.Shared(start)
	is.Equal(len(shared), speed.MaxShared)
	found := make(map[uint64]bool)
	for _, s := range shared[:len(members)] {
		found[s.Engine] = true
	}
	is.Equal(len(found), len(members))
	is.Equal(len(speed.NewTable(0).Shared(start)), 0)
}

// Samples without a usable value, from a faulty entry, change nothing.
func TestInvalidSamplesAreIgnored(t *testing.T) {
	is := is.New(t)
	members := engines(upstream.PhasePrefill, 2)
	table := speed.NewTable(1.5)
	key := speed.Key(members[0].Upstream)
	table.Merge([]speed.Sample{
		{Engine: key, ID: 1, Tokens: 0, PerToken: time.Microsecond, Observed: start},
		{Engine: key, ID: 2, Tokens: 10, PerToken: 0, Observed: start},
		{Engine: key, ID: 3, Tokens: 10, PerToken: time.Hour, Observed: start},
		{Engine: key, ID: 4, Tokens: 10, PerToken: time.Microsecond, Observed: start.Add(-time.Hour)},
	}, start)
	is.Equal(len(table.Shared(start)), 0)
}
