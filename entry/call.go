package entry

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"

	callerv1 "gooseberrypin.example/gen/caller/v1"
	fleetv1 "gooseberrypin.example/gen/fleet/v1"
	"gooseberrypin.example/router/adapter/fleet"
	"gooseberrypin.example/router/adapter/wire"
	"gooseberrypin.example/router/configuration"
	"gooseberrypin.example/router/refusal"
	"gooseberrypin.example/router/request"
	"gooseberrypin.example/router/route"
)

const (
	callTimeout      = 10 * time.Second
	tombstoneTimeout = 2 * time.Second
	maxCallBody      = 1 << 20
	maxPathBytes     = 2048
	// maxCallAttempts is the number of upstreams at which a repeatable call is tried.
	maxCallAttempts        = 3
	upstreamLostRetryAfter = 500 * time.Millisecond
	uuidVersion            = 7
)

// Call implements Call of the Router service for callers.
func (c *caller) Call(ctx context.Context, q *connect.Request[callerv1.CallRequest]) (*connect.Response[callerv1.CallResponse], error) {
	c.entry.runningCalls.Add(1)
	defer c.entry.runningCalls.Add(-1)
	run, rule, why := c.call(q)
	if why != nil {
		return nil, c.refuse(why)
	}
	var result *fleetv1.RunResult
	if rule.Repeatable {
		result, why = c.entry.callWithFailover(ctx, rule, run)
	} else {
		result, why = c.entry.callAtHome(ctx, rule, run)
	}
	if why != nil {
		return nil, c.refuse(why)
	}
	c.entry.count("answered")
	return connect.NewResponse(&callerv1.CallResponse{
		Status:   result.GetStatus(),
		Body:     result.GetBody(),
		Replayed: result.GetReplayed(),
	}), nil
}

// call validates a caller's request and returns the message for the sidecar and the rule of the service.
func (c *caller) call(q *connect.Request[callerv1.CallRequest]) (*fleetv1.RunRequest, *configuration.Rule, *refusal.Refusal) {
	index, p, why := c.partner(q.Header())
	if why != nil {
		return nil, nil, why
	}
	m := q.Msg
	if why := checkCall(m); why != nil {
		return nil, nil, why
	}
	rule := index.RuleForService(m.GetService())
	if rule == nil || !p.Allows(rule.Name) {
		return nil, nil, refusal.New(refusal.RanNo, refusal.UnknownRule, 0, "no rule for service %q", m.GetService())
	}
	created, why := keyCreated(m.GetIdempotencyKey(), rule.Repeatable)
	if why != nil {
		return nil, nil, why
	}
	return &fleetv1.RunRequest{
		KeyDigest:        request.KeyDigest(p.Name, m.GetIdempotencyKey()),
		KeyCreatedUnixMs: created,
		ContentDigest:    request.CallDigest(m.GetService(), m.GetPath(), m.GetBody()),
		Pool:             rule.ServicePool,
		Path:             m.GetPath(),
		Body:             m.GetBody(),
		Repeatable:       rule.Repeatable,
		Revision:         index.Configuration().Revision,
		Partner:          p.Name,
		IdempotencyKey:   m.GetIdempotencyKey(),
		TimeoutMs:        callTimeout.Milliseconds(),
	}, rule, nil
}

// callWithFailover runs a repeatable call at a random member of the pool. If that fails, it tries other members, up to
// maxCallAttempts in total. The refusal that it returns reports the strongest Ran of all attempts.
func (e *Entry) callWithFailover(ctx context.Context, rule *configuration.Rule, run *fleetv1.RunRequest) (*fleetv1.RunResult, *refusal.Refusal) {
	var last *refusal.Refusal
	ran := refusal.RanNo
	for _, u := range e.route.ShuffledUpstreams(rule.ServicePool, maxCallAttempts, time.Now()) {
		result, why, err := e.runAt(ctx, u, run)
		if err == nil && why == nil {
			return result, nil
		}
		if err != nil {
			e.route.MarkUnreachable(u.Name, time.Now())
			why = refusal.New(refusal.RanUnknown, refusal.UpstreamLost, upstreamLostRetryAfter, "%s can't be reached", u.Name)
		}
		ran = max(ran, why.Ran)
		last = why.AtLeast(ran)
		if ctx.Err() != nil {
			break
		}
	}
	if last == nil {
		return nil, route.NoUpstream(rule.ServicePool)
	}
	return nil, last
}

// callAtHome runs a call at its key's home, the only upstream that may run the key. When the connection is lost, it
// requests a tombstone, which returns the result of the call or ensures that the key never runs.
func (e *Entry) callAtHome(ctx context.Context, rule *configuration.Rule, run *fleetv1.RunRequest) (*fleetv1.RunResult, *refusal.Refusal) {
	home := e.route.BookingHome(rule.ServicePool, run.GetKeyDigest())
	if home == nil {
		return nil, route.NoUpstream(rule.ServicePool)
	}
	result, why, err := e.runAt(ctx, home, run)
	if err == nil {
		return result, why
	}
	return e.tombstone(ctx, home, run)
}

// runAt runs a call at an upstream. It returns an error if the sidecar can't be reached or does not answer within
// callTimeout.
func (e *Entry) runAt(ctx context.Context, u *configuration.Upstream, run *fleetv1.RunRequest) (*fleetv1.RunResult, *refusal.Refusal, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	m, err := e.bookings(u.SidecarAddress).Run(ctx, run)
	if err != nil {
		return nil, nil, err
	}
	return m.GetResult(), wire.ToRefusal(m.GetRefusal()), nil
}

// tombstone requests the outcome of a call from the home after its answer was lost. It continues when the caller
// disconnects, so that the outcome of the key is decided in any case.
func (e *Entry) tombstone(ctx context.Context, home *configuration.Upstream, run *fleetv1.RunRequest) (*fleetv1.RunResult, *refusal.Refusal) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), tombstoneTimeout)
	defer cancel()
	m, err := e.bookings(home.SidecarAddress).Tombstone(ctx, &fleetv1.TombstoneRequest{
		KeyDigest:        run.GetKeyDigest(),
		KeyCreatedUnixMs: run.GetKeyCreatedUnixMs(),
		Pool:             run.GetPool(),
		Revision:         run.GetRevision(),
		ContentDigest:    run.GetContentDigest(),
	})
	if err != nil {
		return nil, refusal.New(refusal.RanUnknown, refusal.HomeUnreachable, upstreamLostRetryAfter,
			"%s can't be reached: resend the same key to learn what became of it", home.Name)
	}
	return m.GetResult(), wire.ToRefusal(m.GetRefusal())
}

func (e *Entry) bookings(address string) fleetv1.Bookings {
	return fleetv1.NewBookingsProtobufClient(fleet.URL(address), e.http)
}

func checkCall(m *callerv1.CallRequest) *refusal.Refusal {
	switch {
	case m.GetService() == "":
		return malformed("service: missing")
	case len(m.GetPath()) == 0 || m.GetPath()[0] != '/':
		return malformed("path: does not start with /")
	case len(m.GetPath()) > maxPathBytes:
		return malformed("path: longer than %d bytes", maxPathBytes)
	case len(m.GetBody()) > maxCallBody:
		return malformed("body: longer than %d bytes", maxCallBody)
	case len(m.GetIdempotencyKey()) > maxKeyBytes:
		return malformed("idempotency_key: longer than %d bytes", maxKeyBytes)
	}
	return nil
}

// keyCreated returns the creation time of a UUIDv7 key in Unix milliseconds. A repeatable call may have another key, for
// which it returns 0.
func keyCreated(key string, repeatable bool) (int64, *refusal.Refusal) {
	id, err := uuid.Parse(key)
	if err == nil && id.Version() == uuidVersion {
		return int64(id[0])<<40 | int64(id[1])<<32 | int64(id[2])<<24 | int64(id[3])<<16 | int64(id[4])<<8 | int64(id[5]), nil
	}
	if repeatable {
		return 0, nil
	}
	return 0, refusal.New(refusal.RanNo, refusal.KeyMissing, 0, "idempotency_key: a call that may not be repeated needs a UUIDv7")
}
