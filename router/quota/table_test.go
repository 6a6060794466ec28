package quota_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrypin.example/router/event"
	"gooseberrypin.example/router/quota"
)

// The latest statement decides, wherever it was observed, and an end wins over earlier limits.
func TestLatestStatementDecides(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	limits := quota.NewTable(event.Discard())
	is.True(!limits.Observe("a", quota.Unlimited{}, start))
	is.True(limits.Observe("a", quota.Limited{PerSecond: 3}, start.Add(time.Second)))
	is.True(!limits.Observe("a", quota.Unstated{}, start.Add(2*time.Second)))
	is.True(!limits.Observe("a", quota.Limited{PerSecond: 2}, start.Add(3*time.Second)))
	l, found := limits.Limit("a")
	is.True(found)
	is.Equal(l, quota.Limit{Upstream: "a", Stated: true, PerSecond: 2, Since: start.Add(time.Second), Observed: start.Add(3 * time.Second)})
	earlier := quota.Limit{Upstream: "a", Stated: true, PerSecond: 9, Since: start, Observed: start.Add(2 * time.Second)}
	is.True(!limits.Merge([]quota.Limit{earlier}, "b", start.Add(3*time.Second)))
	is.Equal(limits.Limits()[0].PerSecond, 2.0)
	limits.Observe("a", quota.Unlimited{}, start.Add(4*time.Second))
	is.Equal(len(limits.Limits()), 0)
	is.Equal(len(limits.Shared(start.Add(5*time.Second))), 1)
	is.Equal(len(limits.Shared(start.Add(20*time.Second))), 0)
	is.True(!limits.Merge([]quota.Limit{earlier}, "b", start.Add(5*time.Second)))
}

// The limit of a terminated incarnation does not apply to the next one.
func TestTerminatedUpstreamHasNoLimit(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	limits := quota.NewTable(event.Discard())
	limits.Observe("a@1", quota.Limited{PerSecond: 3}, start)
	limits.End("a@1", start.Add(time.Second))
	is.Equal(len(limits.Limits()), 0)
	// Another entry has not noticed the end of the incarnation yet.
	stale := quota.Limit{Upstream: "a@1", Stated: true, PerSecond: 3, Since: start, Observed: start}
	is.True(!limits.Merge([]quota.Limit{stale}, "b", start.Add(2*time.Second)))
	is.True(limits.Observe("a@2", quota.Limited{PerSecond: 4}, start.Add(time.Second)))
}
