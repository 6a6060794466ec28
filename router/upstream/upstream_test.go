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

func TestReadyExcludesUnavailableMembers(t *testing.T) {
	tests := map[string]struct {
		change func(d *upstream.Directory)
		want   []string
	}{
		"no change":   {func(*upstream.Directory) {}, []string{"a", "b"}},
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
		"success between failures": {func(d *upstream.Directory) {
			m := d.Ready("desk", 0, start)[0]
			m.Failed(start)
			m.Succeeded(time.Millisecond)
			m.Failed(start)
		}, []string{"a", "b"}},
		"rejected": {func(d *upstream.Directory) { d.Ready("desk", 0, start)[0].Rejected(start) }, []string{"b"}},
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

func TestEjectionBackoff(t *testing.T) {
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

// The load in flight is kept when an upstream publishes other values.
func TestMetadataUpdateKeepsHistory(t *testing.T) {
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
		next    upstream.Upstream
		isNew   bool
		ejected bool
	}{
		"unchanged":     {server("a"), false, true},
		"later start":   {serverWith(func(u *upstream.Upstream) { u.Started = start.Add(time.Second) }), true, false},
		"other address": {serverWith(func(u *upstream.Upstream) { u.Address = "127.0.0.1:2" }), true, false},
		"delayed write of an earlier incarnation": {serverWith(func(u *upstream.Upstream) { u.Started = start.Add(-time.Second) }), false, true},
		"other slots":   {serverWith(func(u *upstream.Upstream) { u.Slots = 3 }), false, true},
		"unknown start": {serverWith(func(u *upstream.Upstream) { u.Started = time.Time{} }), true, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := upstream.NewDirectory()
			d.Put(server("a"))
			d.Ready("desk", 0, start)[0].Unreachable(start)
			is.Equal(d.Put(tt.next), tt.isNew)
			is.Equal(len(d.Ready("desk", 0, start)) == 0, tt.ejected)
		})
	}
}

func serverWith(change func(*upstream.Upstream)) upstream.Upstream {
	u := server("a")
	change(&u)
	return u
}

// Upstreams that were withdrawn during an outage of the source have two seconds to publish themselves again.
func TestRemovalGraceAfterSourceOutage(t *testing.T) {
	is := is.New(t)
	d := upstream.NewDirectory()
	d.Replace([]upstream.Upstream{server("a"), server("b")}, start)
	d.SourceUnavailable()
	recovered := start.Add(time.Minute)
	d.SourceAvailable(recovered)
	d.Replace([]upstream.Upstream{server("b")}, recovered)
	is.Equal(ids(d.Published("desk", 0)), []string{"a", "b"})
	d.Sweep(recovered.Add(1900 * time.Millisecond))
	is.Equal(ids(d.Published("desk", 0)), []string{"a", "b"})
	d.Sweep(recovered.Add(2 * time.Second))
	is.Equal(ids(d.Published("desk", 0)), []string{"b"})
}

func TestRepublishedUpstreamIsKept(t *testing.T) {
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

func TestRemovalWithoutOutageIsImmediate(t *testing.T) {
	is := is.New(t)
	d := upstream.NewDirectory()
	d.Put(server("a"))
	is.True(d.Remove("a", start))
	is.True(!d.Remove("a", start))
	is.Equal(d.Size(), 0)
}

// The incarnation that started last at an address replaces the earlier ones there, also when an earlier one
// is published late.
func TestReplacementAtTheSameAddress(t *testing.T) {
	earlier := upstream.Upstream{ID: "i-1", Pool: "desk", Address: "10.0.0.1:80", Started: time.UnixMilli(1000)}
	later := upstream.Upstream{ID: "i-2", Pool: "desk", Address: "10.0.0.1:80", Started: time.UnixMilli(2000)}
	latest := upstream.Upstream{ID: "i-3", Pool: "other", Address: "10.0.0.1:80", Started: time.UnixMilli(3000)}
	elsewhere := upstream.Upstream{ID: "i-4", Pool: "desk", Address: "10.0.0.2:80", Started: time.UnixMilli(3000)}
	same := later
	same.ID = "i-1"
	tests := map[string]struct {
		puts       []upstream.Upstream
		ready      []string
		terminated []string
	}{
		"other address":                        {[]upstream.Upstream{earlier, elsewhere}, []string{"i-1", "i-4"}, nil},
		"replaces the earlier":                 {[]upstream.Upstream{earlier, later}, []string{"i-2"}, []string{"i-1"}},
		"delayed write of the earlier":         {[]upstream.Upstream{later, earlier}, []string{"i-2"}, nil},
		"replaced, then delayed write":         {[]upstream.Upstream{earlier, later, earlier}, []string{"i-2"}, []string{"i-1"}},
		"same ID, later start":                 {[]upstream.Upstream{earlier, same}, []string{"i-1"}, []string{"i-1"}},
		"two replacements, each reported once": {[]upstream.Upstream{earlier, later, latest}, nil, []string{"i-1", "i-2"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var terminated, ready []string
			d := upstream.NewDirectory(upstream.WithTerminationHandler(func(u upstream.Termination) { terminated = append(terminated, u.ID) }))
			for _, u := range tt.puts {
				d.Put(u)
			}
			for _, m := range d.Ready("desk", upstream.PhaseNone, time.Now()) {
				ready = append(ready, m.ID)
			}
			is.Equal(ready, tt.ready)
			is.Equal(terminated, tt.terminated)
		})
	}
}

// BenchmarkReady measures a selection by pool and phase, which each request makes several times, in
// directories of two fleet sizes.
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

// BenchmarkReplace measures loading the full list into an empty directory, as a starting entry does.
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

// A late write of an earlier incarnation does not cancel the removal of the running one.
func TestLateWriteDoesNotCancelARemoval(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	earlier := upstream.Upstream{ID: "d1", Pool: "p", Address: "a:1", Started: now.Add(-time.Hour)}
	running := earlier
	running.Started = now.Add(-time.Minute)
	d := upstream.NewDirectory()
	d.Put(running)
	d.SourceUnavailable()
	is.True(!d.Remove("d1", now))
	is.True(!d.Put(earlier))
	d.SourceAvailable(now)
	d.Sweep(now.Add(time.Minute))
	is.Equal(d.Size(), 0)
}

// Failures during the pause after a rejection eject the upstream for longer than the pause.
func TestFailuresDuringARejectionPauseEject(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	h := &upstream.History{}
	h.Rejected(now)
	_, ejected := h.Failed(now)
	is.True(!ejected)
	pause, ejected := h.Failed(now)
	is.True(ejected)
	is.Equal(pause, 500*time.Millisecond)
	// Further failures during an ejection do not extend it.
	pause, ejected = h.Failed(now.Add(100 * time.Millisecond))
	is.True(ejected)
	is.Equal(pause, 400*time.Millisecond)
}

// An upstream that has announced that it leaves gets no requests, also after its registration has lapsed and returned. Its
// next incarnation gets them.
func TestLeavingUpstreamGetsNoRequests(t *testing.T) {
	is := is.New(t)
	d, now := upstream.NewDirectory(), time.Now()
	u := upstream.Upstream{ID: "a", Pool: "p", Address: "10.0.0.1:1", Started: time.UnixMilli(1000)}
	usable := func() int {
		return len(d.Ready("p", upstream.PhaseNone, now)) + len(d.Published("p", upstream.PhaseNone))
	}
	d.Put(u)
	is.Equal(usable(), 2)
	m := d.Published("p", upstream.PhaseNone)[0]
	is.True(m.Leaves(now))
	is.True(!m.Leaves(now)) // it is known already
	is.Equal(usable(), 0)
	changed := u
	changed.Slots = 7
	d.Put(changed)
	is.Equal(usable(), 0)
	d.Remove("a", now)
	d.Put(u)
	is.Equal(usable(), 0)
	u.Started = now.Add(time.Second)
	d.Put(u)
	is.Equal(usable(), 2)
}

// A server restarts under its ID and announces that it leaves before its new registration is known. The announcement belongs
// to the incarnation that ran then, not to one that starts later.
func TestAnnouncementBelongsToTheIncarnationThatRan(t *testing.T) {
	now := time.Now()
	tests := map[string]struct {
		started time.Time
		removed bool
		want    int
	}{
		"ran when it was announced":           {now.Add(-3 * time.Second), false, 0},
		"had just started":                    {now.Add(-100 * time.Millisecond), false, 0},
		"started later":                       {now.Add(2 * time.Second), false, 1},
		"ran, the earlier one was removed":    {now.Add(-3 * time.Second), true, 0},
		"started later, after it was removed": {now.Add(2 * time.Second), true, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			d := upstream.NewDirectory()
			u := upstream.Upstream{ID: "a", Pool: "p", Address: "10.0.0.1:1", Started: now.Add(-time.Hour)}
			d.Put(u)
			d.Published("p", upstream.PhaseNone)[0].Leaves(now)
			if tt.removed {
				d.Remove("a", now)
			}
			u.Started = tt.started
			d.Put(u)
			is.New(t).Equal(len(d.Published("p", upstream.PhaseNone)), tt.want)
		})
	}
}
