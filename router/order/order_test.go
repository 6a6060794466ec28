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

// TestLoadSchedule changes a fleet's configuration twice. Each upstream loads one model in its next unused slot.
// The naive case loads at once, which exceeds the limit on loads per minute.
func TestLoadSchedule(t *testing.T) {
	const upstreams, perMinute = 30, 20
	tests := map[string]struct {
		naive bool
		// maxPerMinute is the largest allowed number of loads in any minute.
		maxPerMinute int
	}{
		"naive": {naive: true, maxPerMinute: 2 * upstreams},
		"slots": {maxPerMinute: perMinute},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			fleet := index(t, upstreams, perMinute, label.Labels{"role": "decode"})
			start := time.Unix(1_800_000_000, 0)
			var loads []time.Time
			usedSlots := make(map[string]int64)
			for _, change := range []time.Duration{0, 40 * time.Second} {
				for _, u := range fleet.Configuration().Upstreams {
					at := start.Add(change)
					if !test.naive {
						at = nextLoad(fleet, u.Name, at, usedSlots)
					}
					loads = append(loads, at)
				}
			}
			is.New(t).True(busiestMinute(loads) <= test.maxPerMinute)
			if test.naive {
				is.New(t).True(busiestMinute(loads) > perMinute)
			}
		})
	}
}

// nextLoad returns the time of the upstream's next slot that is not its last used one, and records that slot
// as used.
func nextLoad(fleet *configuration.Index, upstream string, at time.Time, usedSlots map[string]int64) time.Time {
	schedule := order.NewLoadSchedule(fleet, upstream)
	slot := schedule.Next(at)
	for slot.Number == usedSlots[upstream] {
		at = at.Add(slot.Wait + time.Second)
		slot = schedule.Next(at)
	}
	usedSlots[upstream] = slot.Number
	return at.Add(slot.Wait)
}

// busiestMinute returns the largest number of loads in a minute that begins with a load.
func busiestMinute(loads []time.Time) int {
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

func BenchmarkLoadSchedule(b *testing.B) {
	for name, upstreams := range map[string]int{"27 upstreams": 27, "2100 upstreams": 2100} {
		fleet := index(b, upstreams, 0, label.Labels{"role": "decode"})
		now := time.Unix(1_800_000_000, 0)
		b.Run("new "+name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				order.NewLoadSchedule(fleet, "u7")
			}
		})
		b.Run("next "+name, func(b *testing.B) {
			schedule := order.NewLoadSchedule(fleet, "u7")
			b.ReportAllocs()
			for b.Loop() {
				schedule.Next(now)
			}
		})
	}
}
