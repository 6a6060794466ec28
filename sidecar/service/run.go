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
	retryLater   = 200 * time.Millisecond
	retryLeaving = 100 * time.Millisecond
)

type (
	// keyed is a message about a key.
	keyed interface {
		GetKeyDigest() string
		GetKeyCreatedUnixMs() int64
		GetContentDigest() string
		GetPool() string
		GetRevision() int64
	}
)

// Run implements fleetv1.Bookings.
func (c *Sidecar) Run(ctx context.Context, r *fleetv1.RunRequest) (*fleetv1.RunResponse, error) {
	c.sync()
	if r.GetRepeatable() {
		return c.respond(c.repeatable(ctx, r)), nil
	}
	return c.respond(c.decide(ctx, r)), nil
}

// Tombstone implements fleetv1.Bookings.
func (c *Sidecar) Tombstone(ctx context.Context, r *fleetv1.TombstoneRequest) (*fleetv1.RunResponse, error) {
	c.sync()
	c.metrics.Add("tombstones", 1)
	call := toCall(r)
	for {
		o := c.home.Tombstone(call, time.Now())
		j, joined := o.(booking.Joined)
		if !joined {
			return c.respond(c.answer(o)), nil
		}
		if refused := await(ctx, j.Done); refused != nil {
			return c.respond(refused), nil
		}
	}
}

// toCall returns what a home decides on.
func toCall(r keyed) booking.Call {
	return booking.Call{
		Key:           r.GetKeyDigest(),
		Created:       time.UnixMilli(r.GetKeyCreatedUnixMs()),
		ContentDigest: r.GetContentDigest(),
		Pool:          r.GetPool(),
		Revision:      r.GetRevision(),
	}
}

// decide runs a call, joins the run of its key, or answers from its record.
func (c *Sidecar) decide(ctx context.Context, r *fleetv1.RunRequest) *fleetv1.RunResponse {
	call := toCall(r)
	for {
		switch o := c.home.Begin(call, time.Now()).(type) {
		case booking.Granted:
			c.metrics.Add("granted", 1)
			return c.runOnce(ctx, r, call, o)
		case booking.Joined:
			c.metrics.Add("joined", 1)
			if refused := await(ctx, o.Done); refused != nil {
				return refused
			}
		case booking.Completed, booking.Refused:
			return c.answer(o)
		}
	}
}

// answer returns the response to an outcome that ends a try.
func (c *Sidecar) answer(o booking.Outcome) *fleetv1.RunResponse {
	switch o := o.(type) {
	case booking.Completed:
		c.metrics.Add("replayed", 1)
		return result(o.Result, true)
	case booking.Refused:
		c.metrics.Add("refused", 1)
		return refused(o.Refusal)
	case booking.Granted, booking.Joined:
	}
	panic("booking: the outcome does not end the try")
}

// runOnce runs a granted call to its end, also when its caller goes.
func (c *Sidecar) runOnce(ctx context.Context, r *fleetv1.RunRequest, call booking.Call, g booking.Granted) *fleetv1.RunResponse {
	done := make(chan *fleetv1.RunResponse, 1)
	go func() {
		own, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout(r))
		defer cancel()
		done <- c.finish(own, r, call, g)
	}()
	select {
	case response := <-done:
		return response
	case <-ctx.Done():
		return inProgress()
	}
}

// finish sends a granted call and records how it ended.
func (c *Sidecar) finish(ctx context.Context, r *fleetv1.RunRequest, call booking.Call, g booking.Granted) *fleetv1.RunResponse {
	switch o := c.send(ctx, r).(type) {
	case port.ServiceAnswered:
		kept := booking.Result{Status: o.Status, Body: o.Body}
		c.home.Complete(call, g, kept)
		return result(kept, false)
	case port.ServiceNotSent:
		c.log.Error(o.Err, event.CallNotSent, "pool", r.GetPool())
		c.home.Withdraw(call, g)
		return refused(refusal.New(refusal.RanNo, refusal.UpstreamLost, retryLater, "the service can't be reached"))
	case port.ServiceAnswerLost:
		c.log.Error(o.Err, event.ServiceConnectionLost, "pool", r.GetPool())
		c.metrics.Add("lost", 1)
		c.home.MarkUnknown(call, g)
	}
	return refused(refusal.New(refusal.RanUnknown, refusal.UpstreamLost, 0, "the service was lost during the call"))
}

// repeatable runs a call without a record.
func (c *Sidecar) repeatable(ctx context.Context, r *fleetv1.RunRequest) *fleetv1.RunResponse {
	if r := c.leaving(); r != nil {
		return refused(r)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout(r))
	defer cancel()
	switch o := c.send(ctx, r).(type) {
	case port.ServiceAnswered:
		return result(booking.Result{Status: o.Status, Body: o.Body}, false)
	case port.ServiceNotSent:
		return refused(refusal.New(refusal.RanNo, refusal.UpstreamLost, retryLater, "the service can't be reached"))
	case port.ServiceAnswerLost:
	}
	return refused(refusal.New(refusal.RanUnknown, refusal.UpstreamLost, retryLater, "the service was lost during the call"))
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

func (c *Sidecar) respond(r *fleetv1.RunResponse) *fleetv1.RunResponse {
	r.Load = c.Load()
	return r
}

// await waits for the end of a run, or refuses when the caller goes first.
func await(ctx context.Context, done <-chan struct{}) *fleetv1.RunResponse {
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return inProgress()
	}
}

func timeout(r *fleetv1.RunRequest) time.Duration {
	if r.GetTimeoutMs() <= 0 {
		return defaultCallTimeout
	}
	return min(time.Duration(r.GetTimeoutMs())*time.Millisecond, maxCallTimeout)
}

func inProgress() *fleetv1.RunResponse {
	return refused(refusal.New(refusal.RanUnknown, refusal.InProgress, retryLater, "the call is running"))
}

func result(r booking.Result, replayed bool) *fleetv1.RunResponse {
	return &fleetv1.RunResponse{Outcome: &fleetv1.RunResponse_Result{Result: &fleetv1.RunResult{
		Status:   int32(r.Status),
		Body:     r.Body,
		Replayed: replayed,
	}}}
}

func refused(r *refusal.Refusal) *fleetv1.RunResponse {
	return &fleetv1.RunResponse{Outcome: &fleetv1.RunResponse_Refusal{Refusal: wire.FromRefusal(r)}}
}
