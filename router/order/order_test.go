package order_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrypin.example/router/configuration"
	"gooseberrypin.example/router/label"
	"gooseberrypin.example/router/order"
)

func index(t testing.TB, upstreams int, loadsPerMinute int64, labels label.Labels) *configuration.Index {
	t.Helper()
	c := &configuration.Configuration{
		Pools: []configuration.Pool{
			{Name: "p", Role: configuration.RolePrefill, Selector: "role=prefill"},
			{Name: "d", Role: configuration.RoleDecode, Selector: "role=decode"},
			{Name: "both", Role: configuration.RoleDecode, Selector: "odd"},
		},
		Rules: []configuration.Rule{
			{Name: "r1", Model: "m2", PrefillPool: "p", DecodePool: "d"},
			{Name: "r2", Model: "m1", PrefillPool: "p", DecodePool: "both"},
		},
		Limits: configuration.Limits{WeightLoadsPerMinute: loadsPerMinute},
	}
	for n := range upstreams {
		c.Upstreams = append(c.Upstreams, configuration.Upstream{Name: fmt.Sprintf("u%d", n), Kind: configuration.KindEngine, Labels: labels})
	}
	i, err := configuration.NewIndex(c)
	is.New(t).NoErr(err)
	return i
}

func TestDesired(t *testing.T) {
	tests := map[string]struct {
		labels label.Labels
		want   order.Target
	}{
		"prefill":   {labels: label.Labels{"role": "prefill"}, want: order.Target{Role: configuration.RolePrefill, Models: []string{"m1", "m2"}}},
		"decode":    {labels: label.Labels{"role": "decode"}, want: order.Target{Role: configuration.RoleDecode, Models: []string{"m2"}}},
		"two pools": {labels: label.Labels{"role": "decode", "odd": "x"}, want: order.Target{Role: configuration.RoleDecode, Models: []string{"m1", "m2"}}},
		"two roles": {labels: label.Labels{"role": "prefill", "odd": "x"}},
		"no pool":   {labels: label.Labels{"role": "spare"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(order.Desired(index(t, 1, 0, test.labels), "u0"), test.want)
		})
	}
}

// TestLoadTurns drives a fleet through two changes; each upstream loads in its first turn.
func TestLoadTurns(t *testing.T) {
	const upstreams, perMinute = 30, 20
	tests := map[string]struct {
		naive bool
		// most is the largest number of loads in any minute.
		most int
	}{
		"naive": {naive: true, most: 2 * upstreams},
		"turns": {most: perMinute},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			fleet := index(t, upstreams, perMinute, label.Labels{"role": "decode"})
			start := time.Unix(1_800_000_000, 0)
			var loads []time.Time
			taken := make(map[string]int64)
			for _, change := range []time.Duration{0, 40 * time.Second} {
				for _, u := range fleet.Configuration().Upstreams {
					at := start.Add(change)
					if !test.naive {
						at = nextLoad(fleet, u.Name, at, taken)
					}
					loads = append(loads, at)
				}
			}
			is.New(t).True(mostInAMinute(loads) <= test.most)
			if test.naive {
				is.New(t).True(mostInAMinute(loads) > perMinute)
			}
		})
	}
}

// nextLoad waits for a turn in which the upstream has not loaded yet.
func nextLoad(fleet *configuration.Index, upstream string, at time.Time, taken map[string]int64) time.Time {
	turns := order.NewLoadSchedule(fleet, upstream)
	turn := turns.Next(at)
	for turn.Number == taken[upstream] {
		at = at.Add(turn.Wait + time.Second)
		turn = turns.Next(at)
	}
	taken[upstream] = turn.Number
	return at.Add(turn.Wait)
}

func mostInAMinute(loads []time.Time) int {
	most := 0
	for _, first := range loads {
		count := 0
		for _, other := range loads {
			if d := other.Sub(first); d >= 0 && d < time.Minute {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

func BenchmarkTurns(b *testing.B) {
	for name, upstreams := range map[string]int{"today": 27, "target": 2100} {
		fleet := index(b, upstreams, 0, label.Labels{"role": "decode"})
		now := time.Unix(1_800_000_000, 0)
		b.Run("new "+name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				order.NewLoadSchedule(fleet, "u7")
			}
		})
		b.Run("next "+name, func(b *testing.B) {
			turns := order.NewLoadSchedule(fleet, "u7")
			b.ReportAllocs()
			for b.Loop() {
				turns.Next(now)
			}
		})
	}
}
