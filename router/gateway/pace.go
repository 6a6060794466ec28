package gateway

import (
	"context"
	"time"

	"gooseberrypin.example/router/pace"
	"gooseberrypin.example/router/upstream"
)

const (
	// paceWaitShare is the share of the latency target that a request may wait until an upstream is below its limit on work
	// in flight. Short waits even out the differences between the shares of entries.
	paceWaitShare = 0.25
	// pacePollInterval is how often a waiting request checks the limits.
	pacePollInterval = 20 * time.Millisecond
)

// WithPace sets the limiter of the work in flight at plain services and prefill engines. By default it is not limited.
func WithPace(limiter *pace.Limiter) Option {
	return func(g *Gateway) { g.pace = limiter }
}

// withinPace returns the members that are below their limits on work in flight. Before the first send of a request it waits
// for one. It returns false if all are at their limits.
func (ar *activeRequest) withinPace(ctx context.Context, members []*upstream.Member) ([]*upstream.Member, bool) {
	if len(members) == 0 {
		return members, true
	}
	end := time.Now()
	if ar.record.Sends.Total() == 0 {
		end = end.Add(ar.paceWait())
	}
	for {
		now := time.Now()
		if allowed := ar.gateway.pace.Allowed(members, now); len(allowed) > 0 {
			return allowed, true
		}
		if !now.Before(end) {
			return nil, false
		}
		select {
		case <-ctx.Done():
			return nil, false
		case <-time.After(pacePollInterval):
		}
	}
}

// paceWait returns how long a request waits for an upstream below its limit before its first send.
func (ar *activeRequest) paceWait() time.Duration {
	return time.Duration(paceWaitShare * float64(ar.route.TargetLatency))
}

// pacedPrefills returns the prefill engines that are below their limits on work in flight, or all if none is. Learned speeds
// go before limits: they count the queue of an engine already.
func (n *generation) pacedPrefills(members []*upstream.Member) []*upstream.Member {
	if n.speedsOf(upstream.PhasePrefill).Uneven() {
		return members
	}
	if allowed := n.paceLimiter().Allowed(members, time.Now()); len(allowed) > 0 {
		return allowed
	}
	return members
}
