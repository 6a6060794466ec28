package upstream_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gooseberrypin.example/router/upstream"
)

// Guards against requests to a server that has announced that it leaves, under the ID of an earlier incarnation at its address:
// an older copy of the source, or an outage, keeps that one published after the claim at its address has ended.
func TestPredecessorOfALeavingServerGetsNoRequests(t *testing.T) {
	at := func(id, address string, started int64) upstream.Upstream {
		return upstream.Upstream{ID: id, Pool: "p", Address: address, Started: time.UnixMilli(started)}
	}
	const address = "10.0.0.1:1"
	earlier, leaving, later := at("a-1", address, 1000), at("a-2", address, 2000), at("a-3", address, 3000)
	restore := func(d *upstream.Directory, all ...upstream.Upstream) {
		d.SourceRestored(time.Now())
		d.Replace(all, time.Now())
	}
	none := func(*upstream.Directory) {}
	tests := map[string]struct {
		before []upstream.Upstream
		// unannounced is whether the server does not announce that it leaves.
		unannounced bool
		after       func(d *upstream.Directory)
		want        []string
	}{
		"published throughout": {before: []upstream.Upstream{earlier, leaving}, after: none},
		"published again": {before: []upstream.Upstream{leaving}, after: func(d *upstream.Directory) {
			d.Put(earlier)
		}},
		"returns in a copy of the source that lacks the server": {before: []upstream.Upstream{leaving}, after: func(d *upstream.Directory) {
			restore(d, earlier)
		}},
		"kept by an outage": {before: []upstream.Upstream{earlier, leaving}, after: func(d *upstream.Directory) {
			restore(d, earlier)
			d.SourceUnavailable()
		}},
		"removed and published again": {before: []upstream.Upstream{earlier, leaving}, after: func(d *upstream.Directory) {
			d.Remove("a-1", time.Now())
			d.Put(earlier)
		}},
		"after the server was removed": {before: []upstream.Upstream{earlier, leaving}, after: func(d *upstream.Directory) {
			d.Remove("a-2", time.Now())
		}},
		"the next incarnation at the address": {before: []upstream.Upstream{earlier, leaving}, after: func(d *upstream.Directory) {
			d.Remove("a-1", time.Now())
			d.Put(later)
		}, want: []string{"a-3"}},
		"the server announces nothing":           {before: []upstream.Upstream{earlier, leaving}, unannounced: true, after: none, want: []string{"a-1", "a-2"}},
		"earlier incarnation at another address": {before: []upstream.Upstream{at("a-1", "10.0.0.2:1", 1000), leaving}, after: none, want: []string{"a-1"}},
		"no start time":                          {before: []upstream.Upstream{{ID: "a-1", Pool: "p", Address: address}, leaving}, after: none, want: []string{"a-1"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				d := upstream.NewDirectory()
				for _, u := range tt.before {
					d.Put(u)
				}
				for _, m := range d.Ready("p", upstream.PhaseNone, time.Now()) {
					if m.ID == leaving.ID && !tt.unannounced {
						m.Leaves(time.Now())
					}
				}
				tt.after(d)
				time.Sleep(upstream.RestoreGrace + time.Second)
				d.Sweep(time.Now())
				is.Equal(ids(d.Ready("p", upstream.PhaseNone, time.Now())), tt.want)
				is.Equal(ids(d.Published("p", upstream.PhaseNone)), tt.want)
			})
		})
	}
}

// Guards against a memory leak: what is kept of the incarnations at an address ends with the retention.
func TestLeavingPredecessorsAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := upstream.NewDirectory()
		leaving := upstream.Upstream{ID: "a-2", Pool: "p", Address: "10.0.0.1:1", Started: time.UnixMilli(2000)}
		earlier := leaving
		earlier.ID, earlier.Started = "a-1", time.UnixMilli(1000)
		d.Put(leaving)
		d.Ready("p", upstream.PhaseNone, time.Now())[0].Leaves(time.Now())
		d.Remove("a-2", time.Now())
		time.Sleep(11 * time.Minute)
		d.Sweep(time.Now())
		d.Put(earlier)
		is.Equal(ids(d.Ready("p", upstream.PhaseNone, time.Now())), []string{"a-1"})
	})
}
