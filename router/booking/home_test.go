package booking_test

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrypin.example/router/booking"
	"gooseberrypin.example/router/configuration"
	"gooseberrypin.example/router/label"
	"gooseberrypin.example/router/refusal"
	"gooseberrypin.example/router/vm"
)

// ExampleHome shows a key that runs once and is answered from its record after that.
func ExampleHome() {
	now := time.Date(2026, 12, 4, 2, 0, 0, 0, time.UTC)
	h := settledHome(now)
	later := now.Add(10 * time.Second)
	c := booking.Call{Key: "k", Created: later, ContentDigest: "c", Pool: "desk", Revision: 2}
	g := h.Begin(c, later).(booking.Granted)
	h.Complete(c, g, booking.Result{Status: 200, Body: []byte("booked")})
	fmt.Printf("%s\n", h.Begin(c, later).(booking.Completed).Result.Body)
	// Output: booked
}

func TestBeginRefuses(t *testing.T) {
	start := time.Date(2026, 12, 4, 2, 0, 0, 0, time.UTC)
	now := start.Add(10 * time.Second)
	cases := map[string]struct {
		change func(c *booking.Call, h *booking.Home)
		reason refusal.Reason
		ran    refusal.Ran
	}{
		"far in the future": {
			change: func(c *booking.Call, _ *booking.Home) { c.Created = now.Add(3 * time.Second) },
			reason: refusal.KeyInFuture, ran: refusal.RanNo,
		},
		"in the future, where another clock may have let it run": {
			change: func(c *booking.Call, _ *booking.Home) { c.Created, c.Revision = now.Add(2300*time.Millisecond), 3 },
			reason: refusal.KeyInFuture, ran: refusal.RanUnknown,
		},
		"beyond the horizon": {
			change: func(c *booking.Call, _ *booking.Home) { c.Created = now.Add(-11 * time.Minute) },
			reason: refusal.KeyTooOld, ran: refusal.RanUnknown,
		},
		"older than the records": {
			change: func(c *booking.Call, _ *booking.Home) { c.Created = start.Add(time.Second) },
			reason: refusal.KeyTooOld, ran: refusal.RanUnknown,
		},
		"an entry whose rule names the service's earlier pool": {
			change: func(c *booking.Call, _ *booking.Home) { c.Revision = 1 },
			reason: refusal.HomeUnsettled, ran: refusal.RanUnknown,
		},
		"an entry ahead": {
			change: func(c *booking.Call, _ *booking.Home) { c.Revision = 3 },
			reason: refusal.HomeUnsettled, ran: refusal.RanUnknown,
		},
		"no such pool": {
			change: func(c *booking.Call, _ *booking.Home) { c.Pool = "other" },
			reason: refusal.HomeUnsettled, ran: refusal.RanUnknown,
		},
		"stopping": {
			change: func(_ *booking.Call, h *booking.Home) { h.StartDraining() },
			reason: refusal.Leaving, ran: refusal.RanNo,
		},
		"a full table": {
			change: func(c *booking.Call, h *booking.Home) {
				other := *c
				other.Key = "other"
				h.Begin(other, now)
			},
			reason: refusal.TableFull, ran: refusal.RanNo,
		},
		"other content": {
			change: func(c *booking.Call, h *booking.Home) {
				h.Begin(*c, now)
				c.ContentDigest = "other"
			},
			reason: refusal.KeyReused, ran: refusal.RanNo,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := settledHome(start)
			call := booking.Call{Key: "k", Created: now, ContentDigest: "c", Pool: "desk", Revision: 2}
			c.change(&call, h)
			r, refused := h.Begin(call, now).(booking.Refused)
			is.True(refused)
			is.Equal(r.Refusal.Reason, c.reason)
			is.Equal(r.Refusal.Ran, c.ran)
		})
	}
}

// TestConcurrentResends lets many resends of a few keys race with changes of the revision.
func TestConcurrentResends(t *testing.T) {
	const keys, resends, revisions = 40, 25, 20
	is := is.New(t)
	start := time.Date(2026, 12, 4, 2, 0, 0, 0, time.UTC)
	now := start.Add(10 * time.Second)
	h := settledHome(start, booking.WithMaxRecords(keys))
	runs := make([]atomic.Int32, keys)
	var group sync.WaitGroup
	for i := range keys * resends {
		c := booking.Call{Key: fmt.Sprint("k", i%keys), Created: now, ContentDigest: "c", Pool: "desk", Revision: 2}
		group.Go(func() {
			if g, granted := h.Begin(c, now).(booking.Granted); granted {
				runs[i%keys].Add(1)
				h.Complete(c, g, booking.Result{Status: 200})
			}
		})
	}
	group.Go(func() {
		for r := range revisions {
			h.Adopt(index(int64(3+r), "desk", "a"), now)
		}
	})
	group.Wait()
	for i := range runs {
		is.Equal(runs[i].Load(), int32(1)) // each key runs once
	}
	is.Equal(h.Running(), 0)
}

func TestParts(t *testing.T) {
	large := booking.Result{Body: make([]byte, 300<<10)}
	cases := map[string]struct {
		records []booking.Record
		want    []int
	}{
		"none":  {want: []int{0}},
		"few":   {records: make([]booking.Record, 3), want: []int{3}},
		"many":  {records: make([]booking.Record, 1100), want: []int{500, 500, 100}},
		"large": {records: []booking.Record{{Result: large}, {Result: large}, {Result: large}}, want: []int{2, 1}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var have []int
			parts := booking.HandOver{Complete: true, Records: c.records}.Parts()
			for i, p := range parts {
				have = append(have, len(p.Records))
				is.Equal(p.Complete, i == len(parts)-1) // only the last part is whole
			}
			is.Equal(have, c.want)
		})
	}
}

// settledHome returns a home with room for one record. At revision 2 the rule of the
// service moved to its pool, and the pool's other member left.
func settledHome(now time.Time, options ...booking.Option) *booking.Home {
	options = append([]booking.Option{booking.WithMaxRecords(1), booking.WithPauseThreshold(time.Hour)}, options...)
	h := booking.NewHome(booking.Member{Upstream: "a", VM: "a"}, options...)
	h.SetVMs(&vm.List{Version: 1, VMs: []vm.VM{{Name: "a", Role: vm.RoleUpstream}}}, now)
	h.Adopt(index(1, "elsewhere", "a", "b"), now)
	h.Adopt(index(2, "desk", "a"), now)
	return h
}

func index(revision int64, pool string, members ...string) *configuration.Index {
	c := &configuration.Configuration{
		Revision: revision,
		Pools:    []configuration.Pool{{Name: "desk", Role: configuration.RoleService, Selector: "pool=desk"}},
		Rules:    []configuration.Rule{{Name: "booking", Service: "booking", ServicePool: pool}},
	}
	for _, name := range members {
		c.Upstreams = append(c.Upstreams, configuration.Upstream{
			Name: name, Kind: configuration.KindService, VM: name, Labels: label.Labels{"pool": "desk"},
		})
	}
	i, err := configuration.NewIndex(c)
	if err != nil {
		panic(err)
	}
	return i
}
