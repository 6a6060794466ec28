package upstream_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gooseberrypin.example/router/upstream"
)

// After a restore of the source, what has left before does not return, and what the older copy lacks is kept for a time.
func TestRestoredSourceTakesNothingBack(t *testing.T) {
	engine := upstream.Upstream{ID: "a", Pool: "p", Address: "10.0.0.1:1", Started: time.UnixMilli(1000)}
	draining, restarted := engine, engine
	draining.Draining = true
	restarted.Started = time.UnixMilli(2000)
	tests := map[string]struct {
		// before is what the directory had learned, after what the restored source lists.
		before func(d *upstream.Directory)
		after  []upstream.Upstream
		// at is the time since the restore.
		at   time.Duration
		want bool
	}{
		"removed":                         {func(d *upstream.Directory) { d.Remove("a", time.Now()) }, []upstream.Upstream{engine}, time.Second, false},
		"removed, then started anew":      {func(d *upstream.Directory) { d.Remove("a", time.Now()) }, []upstream.Upstream{restarted}, time.Second, true},
		"a later incarnation was removed": {func(d *upstream.Directory) { d.Put(restarted); d.Remove("a", time.Now()) }, []upstream.Upstream{engine}, upstream.RestoreGrace + time.Second, false},
		"draining":                        {func(d *upstream.Directory) { d.Put(draining) }, []upstream.Upstream{engine}, time.Second, false},
		"draining, long ago":              {func(d *upstream.Directory) { d.Put(draining) }, []upstream.Upstream{engine}, time.Hour, false},
		"draining, then started anew":     {func(d *upstream.Directory) { d.Put(draining) }, []upstream.Upstream{restarted}, time.Second, true},
		"not in the copy":                 {func(*upstream.Directory) {}, nil, time.Second, true},
		"not in the copy after a time":    {func(*upstream.Directory) {}, nil, 3 * time.Second, false},
		"in the copy":                     {func(*upstream.Directory) {}, []upstream.Upstream{engine}, time.Hour, true},
		"removed, still listed later on":  {func(d *upstream.Directory) { d.Remove("a", time.Now()) }, []upstream.Upstream{engine}, upstream.RestoreGrace + time.Second, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := upstream.NewDirectory()
				d.Put(engine)
				tt.before(d)
				d.SourceRestored(time.Now())
				d.Replace(tt.after, time.Now())
				time.Sleep(tt.at)
				d.Sweep(time.Now())
				for _, u := range tt.after {
					d.Put(u)
				}
				is.New(t).Equal(len(d.Published("p", upstream.PhaseNone)) == 1, tt.want)
			})
		})
	}
}
