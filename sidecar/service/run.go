package service

import (
	"context"
	"time"

	fleetv1 "gooseberrypin.example/gen/fleet/v1"
	"gooseberrypin.example/router/adapter/wire"
	"gooseberrypin.example/router/booking"
	"gooseberrypin.example/router/event"
	"gooseberrypin.example/router/port"
	"gooseberrypin.example/router/refusal"
)

const (
	retryDelay        = 200 * time.Millisecond
	leavingRetryDelay = 100 * time.Millisecond
)

type (
	// keyedRequest is a request that carries an idempotency key.
	keyedRequest interface {
		GetKeyDigest() string
		GetKeyCreatedUnixMs() int64
		GetContentDigest() string
		GetPool() string
		GetRevision() int64
	}
)

// Run implements fleetv1.Bookings.
func (c *Sidecar) Run(ctx context.Context, r *fleetv1.RunRequest) (*fleetv1.RunResponse, error) {
	c.applyUpdates()
	if r.GetRepeatable() {
		return c.withLoad(c.runRepeatable(ctx, r)), nil
	}
	return c.withLoad(c.runAtMostOnce(ctx, r)), nil
}

// Tombstone implements fleetv1.Bookings.
func (c *Sidecar) Tombstone(ctx context.Context, r *fleetv1.TombstoneRequest) (*fleetv1.RunResponse, error) {
	c.applyUpdates()
	c.metrics.Add("tombstones", 1)
	call := toCall(r)
	for {
		o := c.home.Tombstone(call, time.Now())
		j, joined := o.(booking.Joined)
		if !joined {
			return c.withLoad(c.outcomeResponse(o)), nil
		}
		if refused := awaitRun(ctx, j.Done); refused != nil {
			return c.withLoad(refused), nil
		}
	}
}

// toCall returns the call of a request, on which the home decides.
func toCall(r keyedRequest) booking.Call {
	return booking.Call{
		Key:           r.GetKeyDigest(),
		Created:       time.UnixMilli(r.GetKeyCreatedUnixMs()),
		ContentDigest: r.GetContentDigest(),
		Pool:          r.GetPool(),
		Revision:      r.GetRevision(),
	}
}

// runAtMostOnce runs a call if the home grants it. Otherwise it waits for the running call of
// the same key, or responds from the key's record.
func (c *Sidecar) runAtMostOnce(ctx context.Context, r *fleetv1.RunRequest) *fleetv1.RunResponse {
	call := toCall(r)
	for {
		switch o := c.home.Begin(call, time.Now()).(type) {
		case booking.Granted:
			c.metrics.Add("granted", 1)
			return c.runGranted(ctx, r, call, o)
		case booking.Joined:
			c.metrics.Add("joined", 1)
			if refused := awaitRun(ctx, o.Done); refused != nil {
				return refused
			}
		case booking.Completed, booking.Refused:
			return c.outcomeResponse(o)
		}
	}
}

// outcomeResponse returns the response for a final outcome: Completed or Refused.
func (c *Sidecar) outcomeResponse(o booking.Outcome) *fleetv1.RunResponse {
	switch o := o.(type) {
	case booking.Completed:
		c.metrics.Add("replayed", 1)
		return resultResponse(o.Result, true)
	case booking.Refused:
		c.metrics.Add("refused", 1)
		return refusalResponse(o.Refusal)
	case booking.Granted, booking.Joined:
	}
	panic("service: outcome of a call is not final")
}

// runGranted runs a granted call. The call continues when ctx is done, so that its result
// is recorded for a resend.
func (c *Sidecar) runGranted(ctx context.Context, r *fleetv1.RunRequest, call booking.Call, g booking.Granted) *fleetv1.RunResponse {
	done := make(chan *fleetv1.RunResponse, 1)
	go func() {
		runContext, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout(r))
		defer cancel()
		done <- c.sendAndRecord(runContext, r, call, g)
	}()
	select {
	case response := <-done:
		return response
	case <-ctx.Done():
		return inProgressResponse()
	}
}

// sendAndRecord sends a granted call to the service and records the outcome at the home.
func (c *Sidecar) sendAndRecord(ctx context.Context, r *fleetv1.RunRequest, call booking.Call, g booking.Granted) *fleetv1.RunResponse {
	switch o := c.send(ctx, r).(type) {
	case port.ServiceAnswered:
		received := booking.Result{Status: o.Status, Body: o.Body}
		c.home.Complete(call, g, received)
		return resultResponse(received, false)
	case port.ServiceNotSent:
		c.log.Error(o.Err, event.CallNotSent, "pool", r.GetPool())
		c.home.Withdraw(call, g)
		return refusalResponse(refusal.New(refusal.RanNo, refusal.UpstreamLost, retryDelay, "the service can't be reached"))
	case port.ServiceAnswerLost:
		c.log.Error(o.Err, event.ServiceConnectionLost, "pool", r.GetPool())
		c.metrics.Add("lost", 1)
		c.home.MarkUnknown(call, g)
	}
	return refusalResponse(refusal.New(refusal.RanUnknown, refusal.UpstreamLost, 0, "the service was lost during the call"))
}

// runRepeatable runs a repeatable call, of which the home keeps no record.
func (c *Sidecar) runRepeatable(ctx context.Context, r *fleetv1.RunRequest) *fleetv1.RunResponse {
	if r := c.checkLeaving(); r != nil {
		return refusalResponse(r)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout(r))
	defer cancel()
	switch o := c.send(ctx, r).(type) {
	case port.ServiceAnswered:
		return resultResponse(booking.Result{Status: o.Status, Body: o.Body}, false)
	case port.ServiceNotSent:
		return refusalResponse(refusal.New(refusal.RanNo, refusal.UpstreamLost, retryDelay, "the service can't be reached"))
	case port.ServiceAnswerLost:
	}
	return refusalResponse(refusal.New(refusal.RanUnknown, refusal.UpstreamLost, retryDelay, "the service was lost during the call"))
}

func (c *Sidecar) send(ctx context.Context, r *fleetv1.RunRequest) port.ServiceOutcome {
	c.active.Add(1)
	defer c.active.Add(-1)
	c.metrics.Add("calls", 1)
	return c.service.Call(ctx, c.address, port.ServiceCall{
		Path:           r.GetPath(),
		Body:           r.GetBody(),
		Partner:        r.GetPartner(),
		IdempotencyKey: r.GetIdempotencyKey(),
	})
}

// withLoad adds the current load to a response.
func (c *Sidecar) withLoad(r *fleetv1.RunResponse) *fleetv1.RunResponse {
	r.Load = c.Load()
	return r
}

// awaitRun waits until a run is done and returns nil. It returns a refusal if ctx is done first.
func awaitRun(ctx context.Context, done <-chan struct{}) *fleetv1.RunResponse {
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return inProgressResponse()
	}
}

// callTimeout returns the timeout of a request, or the default if it has none.
func callTimeout(r *fleetv1.RunRequest) time.Duration {
	if r.GetTimeoutMs() <= 0 {
		return defaultCallTimeout
	}
	return min(time.Duration(r.GetTimeoutMs())*time.Millisecond, maxCallTimeout)
}

func inProgressResponse() *fleetv1.RunResponse {
	return refusalResponse(refusal.New(refusal.RanUnknown, refusal.InProgress, retryDelay, "the call is running"))
}

func resultResponse(r booking.Result, replayed bool) *fleetv1.RunResponse {
	return &fleetv1.RunResponse{Outcome: &fleetv1.RunResponse_Result{Result: &fleetv1.RunResult{
		Status:   int32(r.Status),
		Body:     r.Body,
		Replayed: replayed,
	}}}
}

func refusalResponse(r *refusal.Refusal) *fleetv1.RunResponse {
	return &fleetv1.RunResponse{Outcome: &fleetv1.RunResponse_Refusal{Refusal: wire.FromRefusal(r)}}
}
