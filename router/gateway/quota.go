package gateway

import (
	"context"
	"maps"
	"slices"
	"time"

	"gooseberrypin.example/router/quota"
	"gooseberrypin.example/router/refusal"
	"gooseberrypin.example/router/upstream"
)

type (
	// Quota decides whether requests may be sent to upstreams that limit the requests of all entries together.
	Quota interface {
		// Take decides for one request to an incarnation of an upstream. An allowed request counts against the limit.
		Take(ctx context.Context, incarnation string) quota.Decision
		// RetryAfter returns how long no request may be sent to an incarnation, without taking any.
		RetryAfter(incarnation string) time.Duration
	}

	// unlimited is a Quota without limits.
	unlimited struct{}
)

// Take implements Quota.
func (unlimited) Take(context.Context, string) quota.Decision { return quota.Allowed{} }

// RetryAfter implements Quota.
func (unlimited) RetryAfter(string) time.Duration { return 0 }

// acquireService picks a plain service that was not tried, has not asked for a pause, and whose limits allow the request. If
// there is none, it returns nil and the time until the first one may take a request again. If there is no service left, it
// returns nil and 0.
func (ar *activeRequest) acquireService(ctx context.Context, tried map[string]bool) (*upstream.Member, time.Duration) {
	members, retryAfter := ar.gateway.services(ar.pool.Name)
	members, below := ar.withinPace(ctx, members)
	if !below {
		return nil, fullRetryAfter
	}
	return ar.selectService(members, retryAfter, tried, func(m *upstream.Member) time.Duration { return ar.takeQuota(ctx, m) })
}

// selectService picks one of the members that was not tried. take takes a request of a member's limit; it returns 0 if the
// request may be sent, and otherwise how long it may not. If there is no member left, selectService returns nil and the
// shortest of these times and retryAfter; 0 if there are none.
func (ar *activeRequest) selectService(members []*upstream.Member, retryAfter time.Duration, tried map[string]bool, take func(*upstream.Member) time.Duration) (*upstream.Member, time.Duration) {
	excluded, copied := tried, false
	for {
		m := ar.random().pick(chooseService, members, ar.gateway.dataCentre, excluded)
		if m == nil {
			return nil, retryAfter
		}
		denied := take(m)
		if denied == 0 {
			return m, 0
		}
		if !copied {
			excluded, copied = maps.Clone(tried), true
		}
		excluded[m.ID] = true
		if retryAfter == 0 || denied < retryAfter {
			retryAfter = denied
		}
	}
}

// takeQuota takes a request of an upstream's limit. It returns 0 if the request may be sent, and otherwise how long the
// upstream takes none from this entry.
func (ar *activeRequest) takeQuota(ctx context.Context, m *upstream.Member) time.Duration {
	switch d := ar.gateway.quota.Take(ctx, m.Incarnation()).(type) {
	case quota.Allowed:
		return 0
	case quota.Denied:
		ar.recordLimited(m)
		return max(d.RetryAfter, time.Millisecond)
	}
	return 0
}

// recordLimited records that an upstream was passed over because its limit is used up.
func (ar *activeRequest) recordLimited(m *upstream.Member) {
	if len(ar.record.Limited) < maxLimited && !slices.Contains(ar.record.Limited, m.ID) {
		ar.record.Limited = append(ar.record.Limited, m.ID)
	}
}

// refuseLimited refuses a request because the limits of all upstreams are used up for a time.
func (ar *activeRequest) refuseLimited(ran refusal.Ran, retryAfter time.Duration) *refusal.Refusal {
	return refusal.New(ran, refusal.Overloaded, ar.random().spread(retryAfter), "all upstreams of %s take no more requests for %v", ar.pool.Name, retryAfter.Round(time.Millisecond))
}

// allLimited returns the time until the first of the upstreams may take a request, as far as this entry knows: by its limit
// and by the pause that it asked for. It is 0 if one of them may take a request now, or if there are none.
func (ar *activeRequest) allLimited(members []*upstream.Member, now time.Time) time.Duration {
	return shortestWait(members, func(m *upstream.Member) time.Duration {
		return max(ar.gateway.quota.RetryAfter(m.Incarnation()), m.Backoff(now))
	})
}
