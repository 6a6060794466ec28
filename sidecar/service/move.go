package service

import (
	"context"
	"maps"
	"time"

	"gooseberrypin.example/router/booking"
	"gooseberrypin.example/router/event"
)

const (
	moveTimeout     = 400 * time.Millisecond
	maxMove         = 3 * time.Second
	handOverTimeout = 2 * time.Second
)

// move gives the records of moved keys to an upstream that asks, once for each layout.
// It tells whether the upstream has them, or has to do without them.
func (c *Sidecar) move(ctx context.Context, to string) bool {
	m, found := c.member(to)
	if !found {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, moveTimeout)
	defer cancel()
	done := true
	over := func(pool string, revision int64) bool {
		return !c.begin(move{to: to, pool: pool, revision: revision}, time.Now())
	}
	for _, o := range c.home.PendingHandOvers(to, over) {
		key := move{to: to, pool: o.Pool, revision: o.Revision}
		moved := c.handOver(ctx, m, o)
		done = c.end(key, moved, time.Now()) && done
	}
	return done
}

func (c *Sidecar) leaveTo(ctx context.Context, to booking.Member, list []booking.HandOver) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	for _, o := range list {
		c.handOver(ctx, to, o)
	}
}

// handOver gives records part by part, and tells whether all were taken.
func (c *Sidecar) handOver(ctx context.Context, to booking.Member, o booking.HandOver) bool {
	taken := 0
	for _, part := range o.Parts() {
		accepted, err := c.peers.HandOver(ctx, to, part)
		if err != nil {
			c.log.Error(err, event.BookingHandOverFailed, "to", to.VM, "pool", o.Pool, "records", len(o.Records))
			return false
		}
		taken += accepted
		c.metrics.Add("records_handed_over", int64(accepted))
		if accepted < len(part.Records) {
			break
		}
	}
	c.log.Info(event.BookingHandedOver, "to", to.VM, "pool", o.Pool, "accepted", taken, "records", len(o.Records))
	return taken == len(o.Records)
}

// begin tells whether a move is still to be made.
func (c *Sidecar) begin(key move, now time.Time) bool {
	c.movedMu.Lock()
	defer c.movedMu.Unlock()
	m, found := c.moved[key]
	if !found {
		maps.DeleteFunc(c.moved, func(o move, _ moved) bool { return o.to == key.to && o.pool == key.pool })
		c.moved[key] = moved{since: now}
	}
	return !m.done
}

// end notes a try of a move, and tells whether it is over. A move that fails for long
// is given up, so that the keys' next home can start without the records.
func (c *Sidecar) end(key move, done bool, now time.Time) bool {
	c.movedMu.Lock()
	defer c.movedMu.Unlock()
	m := c.moved[key]
	m.done = done || now.Sub(m.since) > maxMove
	c.moved[key] = m
	return m.done
}

// forgetMoves lets an upstream that gave records away have them again.
func (c *Sidecar) forgetMoves(to string) {
	c.movedMu.Lock()
	defer c.movedMu.Unlock()
	maps.DeleteFunc(c.moved, func(m move, _ moved) bool { return m.to == to })
}
