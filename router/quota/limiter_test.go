package quota_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gooseberrypin.example/router/event"
	"gooseberrypin.example/router/quota"
)

type (
	// lostOwner is a fleet of four entries whose owner does not answer.
	lostOwner struct{}

	// alone is a fleet of one entry.
	alone struct{ lostOwner }
)

func (lostOwner) Owner(string) string { return "other" }
func (lostOwner) LiveCount() int      { return 4 }
func (lostOwner) KnownCount() int     { return 4 }
func (lostOwner) Divisor() int        { return 4 }

func (lostOwner) Acquire(ctx context.Context, _ string, _ quota.Request) (quota.Grant, error) {
	<-ctx.Done()
	return quota.Grant{}, ctx.Err()
}

func (alone) Owner(string) string { return "self" }

// allowedOf returns how many of a number of requests are allowed that are sent at an interval.
func allowedOf(l *quota.Limiter, requests int, interval time.Duration) int {
	allowed := 0
	for range requests {
		if _, ok := l.Take(context.Background(), "d1").(quota.Allowed); ok {
			allowed++
		}
		<-time.After(interval)
	}
	return allowed
}

// An entry with few requests gets its share while the owner of the quota does not answer.
func TestShareOfAnEntryWithFewRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		limits := quota.NewTable(event.Discard())
		l := quota.NewLimiter("self", limits, lostOwner{}, lostOwner{})
		limits.Observe("d1", quota.Limited{PerSecond: 4}, time.Now())
		// The share is one request a second.
		allowed := allowedOf(l, 40, 900*time.Millisecond)
		is.True(allowed >= 30 && allowed <= 41)
	})
}

// A limit far above any rate of requests allows all of them.
func TestVeryHighLimitAllowsAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		limits := quota.NewTable(event.Discard())
		l := quota.NewLimiter("self", limits, alone{}, alone{})
		limits.Observe("d1", quota.Limited{PerSecond: 1e30}, time.Now())
		allowedOf(l, 1, time.Second)
		is.Equal(allowedOf(l, 50, 10*time.Millisecond), 50)
	})
}
