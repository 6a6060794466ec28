package member

import (
	"context"
	"math"
	"time"

	"github.com/rotisserie/eris"

	fleetv1 "gooseberrypin.example/gen/fleet/v1"
	"gooseberrypin.example/router/adapter/fleet"
	"gooseberrypin.example/router/adapter/wire"
	"gooseberrypin.example/router/quota"
)

type (
	// QuotaServer implements the service Quotas for a limiter.
	QuotaServer struct {
		limiter *quota.Limiter
	}
)

// NewQuotaHandler returns the HTTP handler of the service Quotas for a limiter.
func NewQuotaHandler(limiter *quota.Limiter) fleetv1.TwirpServer {
	return fleetv1.NewQuotasServer(&QuotaServer{limiter: limiter})
}

// Acquire implements quota.Peers. It returns an error when the entry can't be reached or its response is invalid.
func (c *Client) Acquire(ctx context.Context, address string, r quota.Request) (quota.Grant, error) {
	quotas := fleetv1.NewQuotasProtobufClient(fleet.URL(address), c.client)
	response, err := quotas.Acquire(ctx, &fleetv1.AcquireRequest{Entry: r.Entry, Limit: toLimit(r.Limit), Requests: int32(r.Count)})
	if err != nil {
		return quota.Grant{}, eris.Wrapf(err, "entry %s", address)
	}
	return quota.Grant{
		// An entry that grants more than was asked for is not trusted with the rest.
		Count:      min(int(response.GetGranted()), r.Count),
		RetryAfter: wire.Milliseconds(response.GetRetryAfterMs()),
		Owner:      response.GetOwner(),
		Limit:      fromLimit(response.GetLimit()),
	}, nil
}

// Acquire implements the service Quotas.
func (s *QuotaServer) Acquire(_ context.Context, request *fleetv1.AcquireRequest) (*fleetv1.AcquireResponse, error) {
	grant := s.limiter.Acquire(quota.Request{Entry: request.GetEntry(), Limit: fromLimit(request.GetLimit()), Count: int(request.GetRequests())})
	return &fleetv1.AcquireResponse{
		Granted: int32(grant.Count),
		// Rounded up, so that the next attempt does not come too early.
		RetryAfterMs: (grant.RetryAfter + time.Millisecond - 1).Milliseconds(),
		Owner:        grant.Owner,
		Limit:        toLimit(grant.Limit),
	}, nil
}

func toLimits(limits []quota.Limit) []*fleetv1.UpstreamLimit {
	messages := make([]*fleetv1.UpstreamLimit, 0, len(limits))
	for _, l := range limits {
		messages = append(messages, toLimit(l))
	}
	return messages
}

func toLimit(l quota.Limit) *fleetv1.UpstreamLimit {
	now := time.Now()
	return &fleetv1.UpstreamLimit{
		Upstream:  l.Upstream,
		Stated:    l.Stated,
		PerSecond: l.PerSecond,
		SinceMs:   now.Sub(l.Since).Milliseconds(),
		AgeMs:     now.Sub(l.Observed).Milliseconds(),
	}
}

// fromLimits returns the limits of messages. It omits limits without an upstream.
func fromLimits(messages []*fleetv1.UpstreamLimit) []quota.Limit {
	limits := make([]quota.Limit, 0, len(messages))
	for _, m := range messages {
		if m.GetUpstream() != "" {
			limits = append(limits, fromLimit(m))
		}
	}
	return limits
}

func fromLimit(m *fleetv1.UpstreamLimit) quota.Limit {
	now := time.Now()
	return quota.Limit{
		Upstream:  m.GetUpstream(),
		Stated:    m.GetStated(),
		PerSecond: rate(m.GetPerSecond()),
		Since:     now.Add(-max(0, wire.Milliseconds(m.GetSinceMs()))),
		Observed:  now.Add(-max(0, wire.Milliseconds(m.GetAgeMs()))),
	}
}

// rate returns a limit in requests a second, or 0 for a value that is none.
func rate(perSecond float64) float64 {
	if math.IsNaN(perSecond) || math.IsInf(perSecond, 0) {
		return 0
	}
	return max(0, perSecond)
}
