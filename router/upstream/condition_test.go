package upstream_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrypin.example/router/upstream"
)

// Guards against a condition that differs from whether the upstream gets requests, and from the time for which it gets none.
func TestConditionEqualsReadiness(t *testing.T) {
	now := time.Now()
	tests := map[string]struct {
		change    func(m *upstream.Member)
		condition upstream.Condition
		until     time.Duration
	}{
		"nothing":                  {func(*upstream.Member) {}, upstream.Usable, 0},
		"one failure":              {func(m *upstream.Member) { m.Failed(now) }, upstream.Usable, 0},
		"unreachable":              {func(m *upstream.Member) { m.Unreachable(now) }, upstream.Ejected, 500 * time.Millisecond},
		"rejected":                 {func(m *upstream.Member) { m.Rejected(now) }, upstream.Paused, 60 * time.Millisecond},
		"asks for a pause":         {func(m *upstream.Member) { m.BackOff(now, 3*time.Second) }, upstream.Paused, 3 * time.Second},
		"ejected within a pause":   {func(m *upstream.Member) { m.BackOff(now, 3*time.Second); m.Unreachable(now) }, upstream.Paused, 3 * time.Second},
		"ejected after a pause":    {func(m *upstream.Member) { m.Rejected(now); m.Unreachable(now) }, upstream.Ejected, 500 * time.Millisecond},
		"leaves":                   {func(m *upstream.Member) { m.Unreachable(now); m.Leaves(now) }, upstream.Leaving, 0},
		"replaced":                 {func(m *upstream.Member) { m.Leaves(now); m.Replaced() }, upstream.Replaced, 0},
		"publishes that it drains": {nil, upstream.Draining, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := upstream.NewDirectory()
			d.Put(upstream.Upstream{ID: "a", Pool: "p", Draining: tt.change == nil})
			d.Put(upstream.Upstream{ID: "b", Pool: "q"})
			members := d.InRole("p", upstream.PhaseNone)
			is.Equal(len(members), 1)
			if tt.change != nil {
				tt.change(members[0])
			}
			condition, until := members[0].Condition(now)
			is.Equal(condition, tt.condition)
			is.Equal(until.IsZero(), tt.until == 0)
			if tt.until > 0 {
				is.Equal(until.Sub(now), tt.until)
				is.Equal(len(d.Ready("p", upstream.PhaseNone, until)), 1)
			}
			is.Equal(len(d.Ready("p", upstream.PhaseNone, now)) == 1, tt.condition == upstream.Usable)
		})
	}
}
