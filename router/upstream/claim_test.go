package upstream_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gooseberrypin.example/router/upstream"
)

// Guards against a registration that takes a server out of use for good: another writer names the server's address with a
// later start. A server that stays published is used again, and one that says itself that it is another one is not.
func TestClaimedAddress(t *testing.T) {
	server := upstream.Upstream{ID: "real", Pool: "p", Address: "10.0.0.1:1", Started: time.UnixMilli(1000)}
	claim := func(id string, started int64) upstream.Upstream {
		return upstream.Upstream{ID: id, Pool: "other", Address: server.Address, Started: time.UnixMilli(started)}
	}
	tests := map[string]struct {
		// before and after change the directory, which has the real server as m, before and after the wait.
		before func(d *upstream.Directory, m *upstream.Member)
		after  func(d *upstream.Directory, m *upstream.Member)
		// at is the time between them.
		at   time.Duration
		want bool
	}{
		"just claimed":             {func(d *upstream.Directory, _ *upstream.Member) { d.Put(claim("x", 2000)) }, nil, time.Second, false},
		"still published later on": {func(d *upstream.Directory, _ *upstream.Member) { d.Put(claim("x", 2000)) }, nil, 9 * time.Second, true},
		"claimed before it was published": {func(d *upstream.Directory, _ *upstream.Member) {
			d.Remove("real", time.Now())
			d.Put(claim("x", 2000))
			d.Put(server)
		}, nil, 9 * time.Second, true},
		"claimed again and again": {func(d *upstream.Directory, _ *upstream.Member) { d.Put(claim("x", 2000)) }, func(d *upstream.Directory, _ *upstream.Member) {
			d.Put(claim("x", 3000))
			d.Put(claim("y", 4000))
		}, 9 * time.Second, true},
		"claimed again after a lapse": {func(d *upstream.Directory, _ *upstream.Member) { d.Put(claim("x", 2000)) }, func(d *upstream.Directory, _ *upstream.Member) {
			d.Remove("real", time.Now())
			d.Put(server)
			d.Put(claim("y", 3000))
		}, 9 * time.Second, true},
		"terminated, its registration lapses": {func(d *upstream.Directory, _ *upstream.Member) {
			d.Put(claim("x", 2000))
			d.Remove("real", time.Now())
		}, nil, 9 * time.Second, false},
		"another incarnation answered before the claim": {func(d *upstream.Directory, m *upstream.Member) {
			m.Replaced()
			d.Put(claim("x", 2000))
		}, nil, time.Hour, false},
		"another incarnation answered after the claim": {func(d *upstream.Directory, _ *upstream.Member) { d.Put(claim("x", 2000)) }, func(_ *upstream.Directory, m *upstream.Member) {
			m.Replaced()
		}, 9 * time.Second, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				d := upstream.NewDirectory()
				d.Put(server)
				m := d.Ready("p", upstream.PhaseNone, time.Now())[0]
				tt.before(d, m)
				time.Sleep(tt.at)
				if tt.after != nil {
					tt.after(d, m)
				}
				is.Equal(len(d.Ready("p", upstream.PhaseNone, time.Now())) == 1, tt.want)
				is.Equal(len(d.Published("p", upstream.PhaseNone)) == 1, tt.want)
			})
		})
	}
}

// Guards against crashes that are counted again and again: each later start at the address would report the same server as
// terminated.
func TestClaimedServerIsReportedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var terminated []string
		d := upstream.NewDirectory(upstream.WithTerminationHandler(func(u upstream.Termination) { terminated = append(terminated, u.ID) }))
		d.Put(upstream.Upstream{ID: "server", Address: "10.0.0.1:1", Started: time.UnixMilli(1000)})
		for n := range int64(3) {
			d.Put(upstream.Upstream{ID: "x", Address: "10.0.0.1:1", Started: time.UnixMilli(2000 + n)})
			time.Sleep(time.Minute)
		}
		is.New(t).Equal(terminated, []string{"server", "x", "x"})
	})
}
