package upstream_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gooseberrypin.example/router/upstream"
)

// Guards against requests in a pause that a server has asked for: its registration lapses and returns, and the pause belongs
// to the incarnation, whichever answer states it. Another incarnation starts without it.
func TestPauseOutlivesALapse(t *testing.T) {
	const wait = 30 * time.Second
	engine := upstream.Upstream{ID: "a", Pool: "p", Address: "10.0.0.1:1", Started: time.UnixMilli(1000)}
	with := func(change func(u *upstream.Upstream)) upstream.Upstream {
		u := engine
		change(&u)
		return u
	}
	remove := func(d *upstream.Directory) { d.Remove("a", time.Now()) }
	unlist := func(d *upstream.Directory) { d.Replace(nil, time.Now()) }
	restarted := with(func(u *upstream.Upstream) { u.Started = time.UnixMilli(2000) })
	tests := map[string]struct {
		// inLapse is whether the answer that asks for the pause arrives during the lapse.
		inLapse  bool
		lapse    func(d *upstream.Directory)
		lapseFor time.Duration
		returned []upstream.Upstream
		// want is how many upstreams get requests after the return.
		want int
	}{
		"removed":                                     {false, remove, 5 * time.Second, []upstream.Upstream{engine}, 0},
		"not listed":                                  {false, unlist, 5 * time.Second, []upstream.Upstream{engine}, 0},
		"with other values":                           {false, remove, 5 * time.Second, []upstream.Upstream{with(func(u *upstream.Upstream) { u.Slots = 9 })}, 0},
		"answer in progress during the lapse":         {true, remove, 5 * time.Second, []upstream.Upstream{engine}, 0},
		"after the pause":                             {false, remove, wait, []upstream.Upstream{engine}, 1},
		"later incarnation":                           {false, remove, 5 * time.Second, []upstream.Upstream{restarted}, 1},
		"later incarnation, answer of the earlier":    {true, remove, 5 * time.Second, []upstream.Upstream{restarted}, 1},
		"later incarnation without a lapse":           {false, func(*upstream.Directory) {}, time.Second, []upstream.Upstream{restarted}, 1},
		"incarnation at another address":              {false, remove, 5 * time.Second, []upstream.Upstream{with(func(u *upstream.Upstream) { u.Address = "10.0.0.2:1" })}, 1},
		"another ID at the address":                   {false, remove, 5 * time.Second, []upstream.Upstream{with(func(u *upstream.Upstream) { u.ID = "b" })}, 1},
		"without a start time, it may have restarted": {false, remove, 5 * time.Second, []upstream.Upstream{with(func(u *upstream.Upstream) { u.Started = time.Time{} })}, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := upstream.NewDirectory()
				d.Put(engine)
				m := d.Ready("p", upstream.PhaseNone, time.Now())[0]
				if !tt.inLapse {
					m.BackOff(time.Now(), wait)
				}
				tt.lapse(d)
				if tt.inLapse {
					m.BackOff(time.Now(), wait)
				}
				time.Sleep(tt.lapseFor)
				d.Sweep(time.Now())
				for _, u := range tt.returned {
					d.Put(u)
				}
				is.New(t).Equal(len(d.Ready("p", upstream.PhaseNone, time.Now())), tt.want)
			})
		})
	}
}

// Guards against a load that never ends: requests that began before a lapse end after the return, at the same incarnation.
func TestLoadOutlivesALapse(t *testing.T) {
	is := is.New(t)
	d := upstream.NewDirectory()
	d.Put(server("a"))
	before := d.Ready("desk", upstream.PhaseNone, start)[0]
	before.Begin(100)
	d.Remove("a", start)
	d.Put(server("a"))
	after := d.Ready("desk", upstream.PhaseNone, start)[0]
	is.Equal(after.Load(), upstream.Load{Requests: 1, Tokens: 100})
	before.End(100)
	is.Equal(after.Load(), upstream.Load{})
}

// Guards against a memory leak: what is kept of an incarnation that has left ends with the retention.
func TestLapsedIncarnationIsForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := upstream.NewDirectory()
		d.Put(server("a"))
		d.Ready("desk", upstream.PhaseNone, time.Now())[0].BackOff(time.Now(), time.Hour)
		d.Remove("a", time.Now())
		time.Sleep(11 * time.Minute)
		d.Sweep(time.Now())
		d.Put(server("a"))
		is.Equal(len(d.Ready("desk", upstream.PhaseNone, time.Now())), 1)
	})
}

// Guards against requests to a server that has announced that it leaves, or has asked for a pause, in its answer to a request
// that was sent before its restart under the same ID was published: the answer comes from the later incarnation.
func TestAnswerAfterARestartCountsForTheLaterIncarnation(t *testing.T) {
	tests := map[string]struct {
		change func(next *upstream.Upstream)
		answer func(m *upstream.Member)
		want   int
	}{
		"leaves":                {func(*upstream.Upstream) {}, func(m *upstream.Member) { m.Leaves(time.Now()) }, 0},
		"asks for a pause":      {func(*upstream.Upstream) {}, func(m *upstream.Member) { m.BackOff(time.Now(), time.Minute) }, 0},
		"at another address":    {func(u *upstream.Upstream) { u.Address = "10.0.0.2:1" }, func(m *upstream.Member) { m.Leaves(time.Now()) }, 1},
		"starts later":          {func(u *upstream.Upstream) { u.Started = time.Now().Add(time.Hour) }, func(m *upstream.Member) { m.Leaves(time.Now()) }, 1},
		"unknown start":         {func(u *upstream.Upstream) { u.Started = time.Time{} }, func(m *upstream.Member) { m.Leaves(time.Now()) }, 1},
		"another ID altogether": {func(u *upstream.Upstream) { u.ID = "b" }, func(m *upstream.Member) { m.Leaves(time.Now()) }, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				first := upstream.Upstream{ID: "a", Pool: "p", Address: "10.0.0.1:1", Started: time.Now()}
				d := upstream.NewDirectory()
				d.Put(first)
				m := d.Ready("p", upstream.PhaseNone, time.Now())[0]
				time.Sleep(time.Second)
				next := first
				next.Started = time.Now()
				tt.change(&next)
				d.Remove("a", time.Now())
				d.Put(next)
				time.Sleep(time.Second)
				tt.answer(m)
				is.Equal(len(d.Ready("p", upstream.PhaseNone, time.Now())), tt.want)
			})
		})
	}
}
