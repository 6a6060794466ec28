package upstream_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrypin.example/router/upstream"
)

var (
	start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
)

func server(id string) upstream.Upstream {
	return upstream.Upstream{ID: id, Pool: "desk", Address: "127.0.0.1:1", Slots: 2, Started: start}
}

func ids(members []*upstream.Member) []string {
	var list []string
	for _, m := range members {
		list = append(list, m.ID)
	}
	return list
}

func TestReadyLeavesOutWhoGetsNoWork(t *testing.T) {
	tests := map[string]struct {
		change func(d *upstream.Directory)
		want   []string
	}{
		"all":         {func(*upstream.Directory) {}, []string{"a", "b"}},
		"draining":    {func(d *upstream.Directory) { u := server("a"); u.Draining = true; d.Put(u) }, []string{"b"}},
		"removed":     {func(d *upstream.Directory) { d.Remove("a", start) }, []string{"b"}},
		"lost":        {func(d *upstream.Directory) { d.Ready("desk", 0, start)[0].Unreachable(start) }, []string{"b"}},
		"replaced":    {func(d *upstream.Directory) { d.Ready("desk", 0, start)[0].Replaced() }, []string{"b"}},
		"one failure": {func(d *upstream.Directory) { d.Ready("desk", 0, start)[0].Failed(start) }, []string{"a", "b"}},
		"two failures": {func(d *upstream.Directory) {
			m := d.Ready("desk", 0, start)[0]
			m.Failed(start)
			m.Failed(start)
		}, []string{"b"}},
		"failures apart": {func(d *upstream.Directory) {
			m := d.Ready("desk", 0, start)[0]
			m.Failed(start)
			m.Succeeded(time.Millisecond)
			m.Failed(start)
		}, []string{"a", "b"}},
		"turned away": {func(d *upstream.Directory) { d.Ready("desk", 0, start)[0].Rejected(start) }, []string{"b"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := upstream.NewDirectory()
			d.Replace([]upstream.Upstream{server("a"), server("b")}, start)
			tt.change(d)
			is.Equal(ids(d.Ready("desk", upstream.PhaseNone, start.Add(time.Millisecond))), tt.want)
		})
	}
}

func TestEjectionEndsAndGrows(t *testing.T) {
	is := is.New(t)
	d := upstream.NewDirectory()
	d.Put(server("a"))
	m := d.Ready("desk", 0, start)[0]
	first := m.Unreachable(start)
	now := start.Add(first)
	is.Equal(len(d.Ready("desk", 0, now.Add(-1))), 0)
	is.Equal(len(d.Ready("desk", 0, now)), 1)
	is.Equal(m.Unreachable(now), 2*first)
	for range 10 {
		now = now.Add(time.Minute)
		is.True(m.Unreachable(now) <= 4*time.Second)
	}
}

// Counts of requests in flight outlive a change of what the upstream publishes.
func TestChangeKeepsHistory(t *testing.T) {
	is := is.New(t)
	d := upstream.NewDirectory()
	d.Put(server("a"))
	m := d.Ready("desk", 0, start)[0]
	m.Begin(100)
	u := server("a")
	u.Slots = 9
	is.True(!d.Put(u))
	changed := d.Ready("desk", 0, start)[0]
	is.Equal(changed.Slots, 9)
	is.Equal(changed.Load(), upstream.Load{Requests: 1, Tokens: 100})
	m.End(100)
	is.Equal(changed.Load(), upstream.Load{})
}

func TestIncarnations(t *testing.T) {
	tests := map[string]struct {
		next   upstream.Upstream
		fresh  bool
		failed bool
	}{
		"the same":            {server("a"), false, true},
		"a later start":       {with(func(u *upstream.Upstream) { u.Started = start.Add(time.Second) }), true, false},
		"another address":     {with(func(u *upstream.Upstream) { u.Address = "127.0.0.1:2" }), true, false},
		"a late earlier one":  {with(func(u *upstream.Upstream) { u.Started = start.Add(-time.Second) }), false, true},
		"other facts":         {with(func(u *upstream.Upstream) { u.Slots = 3 }), false, true},
		"a start left unsaid": {with(func(u *upstream.Upstream) { u.Started = time.Time{} }), true, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := upstream.NewDirectory()
			d.Put(server("a"))
			d.Ready("desk", 0, start)[0].Unreachable(start)
			is.Equal(d.Put(tt.next), tt.fresh)
			is.Equal(len(d.Ready("desk", 0, start)) == 0, tt.failed)
		})
	}
}

func with(change func(*upstream.Upstream)) upstream.Upstream {
	u := server("a")
	change(&u)
	return u
}

// Entries that lapsed while the source was away get two seconds to come back.
func TestLapsedEntriesHaveAGrace(t *testing.T) {
	is := is.New(t)
	d := upstream.NewDirectory()
	d.Replace([]upstream.Upstream{server("a"), server("b")}, start)
	d.SourceUnavailable()
	back := start.Add(time.Minute)
	d.SourceAvailable(back)
	d.Replace([]upstream.Upstream{server("b")}, back)
	is.Equal(ids(d.Published("desk", 0)), []string{"a", "b"})
	d.Sweep(back.Add(1900 * time.Millisecond))
	is.Equal(ids(d.Published("desk", 0)), []string{"a", "b"})
	d.Sweep(back.Add(2 * time.Second))
	is.Equal(ids(d.Published("desk", 0)), []string{"b"})
}

func TestReturnedEntryStays(t *testing.T) {
	is := is.New(t)
	d := upstream.NewDirectory()
	d.Put(server("a"))
	d.SourceUnavailable()
	d.SourceAvailable(start)
	is.True(!d.Remove("a", start))
	d.Put(server("a"))
	d.Sweep(start.Add(time.Hour))
	is.Equal(d.Size(), 1)
}

func TestRemovalWithoutAnOutageIsAtOnce(t *testing.T) {
	is := is.New(t)
	d := upstream.NewDirectory()
	d.Put(server("a"))
	is.True(d.Remove("a", start))
	is.True(!d.Remove("a", start))
	is.Equal(d.Size(), 0)
}

// A server that is published at an address follows the one that had it, whatever arrives late.
func TestAddressOfAnotherIncarnation(t *testing.T) {
	earlier := upstream.Upstream{ID: "i-1", Pool: "desk", Address: "10.0.0.1:80", Started: time.UnixMilli(1000)}
	later := upstream.Upstream{ID: "i-2", Pool: "desk", Address: "10.0.0.1:80", Started: time.UnixMilli(2000)}
	latest := upstream.Upstream{ID: "i-3", Pool: "other", Address: "10.0.0.1:80", Started: time.UnixMilli(3000)}
	elsewhere := upstream.Upstream{ID: "i-4", Pool: "desk", Address: "10.0.0.2:80", Started: time.UnixMilli(3000)}
	same := later
	same.ID = "i-1"
	tests := map[string]struct {
		puts  []upstream.Upstream
		ready []string
		ended []string
	}{
		"elsewhere":                    {[]upstream.Upstream{earlier, elsewhere}, []string{"i-1", "i-4"}, nil},
		"after the earlier one":        {[]upstream.Upstream{earlier, later}, []string{"i-2"}, []string{"i-1"}},
		"a late write of the earlier":  {[]upstream.Upstream{later, earlier}, []string{"i-2"}, nil},
		"both, and a late write":       {[]upstream.Upstream{earlier, later, earlier}, []string{"i-2"}, []string{"i-1"}},
		"under the same id":            {[]upstream.Upstream{earlier, same}, []string{"i-1"}, []string{"i-1"}},
		"twice, each end is told once": {[]upstream.Upstream{earlier, later, latest}, nil, []string{"i-1", "i-2"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var ended, ready []string
			d := upstream.NewDirectory(upstream.WithTerminationHandler(func(u upstream.Upstream) { ended = append(ended, u.ID) }))
			for _, u := range tt.puts {
				d.Put(u)
			}
			for _, m := range d.Ready("desk", upstream.PhaseNone, time.Now()) {
				ready = append(ready, m.ID)
			}
			is.Equal(ready, tt.ready)
			is.Equal(ended, tt.ended)
		})
	}
}

// BenchmarkReady is what each request asks of a directory of the target size, several times.
func BenchmarkReady(b *testing.B) {
	for name, servers := range map[string]int{"165": 165, "2100": 2100} {
		b.Run(name, func(b *testing.B) {
			d := upstream.NewDirectory()
			for i := range servers {
				d.Put(upstream.Upstream{ID: fmt.Sprintf("i-%04d", i), Pool: "chat", Phase: upstream.Phase(1 + i%2)})
			}
			now := time.Now()
			b.ReportAllocs()
			for b.Loop() {
				d.Ready("chat", upstream.PhaseDecode, now)
			}
		})
	}
}

// BenchmarkReplace is what an entry that starts makes of the whole list.
func BenchmarkReplace(b *testing.B) {
	for name, servers := range map[string]int{"165": 165, "3000": 3000} {
		b.Run(name, func(b *testing.B) {
			var all []upstream.Upstream
			for i := range servers {
				all = append(all, upstream.Upstream{ID: fmt.Sprintf("i-%04d", i), Pool: "chat", Address: fmt.Sprintf("10.0.0.1:%d", i), Started: start})
			}
			b.ReportAllocs()
			for b.Loop() {
				upstream.NewDirectory().Replace(all, start)
			}
		})
	}
}
