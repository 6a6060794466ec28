package service

import (
	"context"
	"maps"
	"time"

	"gooseberrypin.example/router/booking"
	"gooseberrypin.example/router/event"
)

const (
	// moveCallTimeout bounds the hand-overs within one acknowledgement.
	moveCallTimeout = 400 * time.Millisecond
	// maxMoveDuration is how long a failing hand-over is retried.
	maxMoveDuration      = 3 * time.Second
	drainHandOverTimeout = 2 * time.Second
)

// handOverMoved hands the records of keys that moved to an upstream over to it, once for each
// layout. It reports whether every hand-over is complete or abandoned.
func (c *Sidecar) handOverMoved(ctx context.Context, to string) bool {
	m, found := c.member(to)
	if !found {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, moveCallTimeout)
	defer cancel()
	allDone := true
	isDone := func(pool string, revision int64) bool {
		return !c.beginMove(moveKey{to: to, pool: pool, revision: revision}, time.Now())
	}
	for _, o := range c.home.PendingHandOvers(to, isDone) {
		key := moveKey{to: to, pool: o.Pool, revision: o.Revision}
		accepted := c.handOver(ctx, m, o)
		allDone = c.endMove(key, accepted, time.Now()) && allDone
	}
	return allDone
}

// handOverAll sends a list of hand-overs to a member, within drainHandOverTimeout.
func (c *Sidecar) handOverAll(ctx context.Context, to booking.Member, list []booking.HandOver) {
	ctx, cancel := context.WithTimeout(ctx, drainHandOverTimeout)
	defer cancel()
	for _, o := range list {
		c.handOver(ctx, to, o)
	}
}

// handOver sends a hand-over in parts, and reports whether the member accepted all records.
func (c *Sidecar) handOver(ctx context.Context, to booking.Member, o booking.HandOver) bool {
	totalAccepted := 0
	for _, part := range o.Parts() {
		accepted, err := c.peers.HandOver(ctx, to, part)
		if err != nil {
			c.log.Error(err, event.BookingHandOverFailed, "to", to.VM, "pool", o.Pool, "records", len(o.Records))
			return false
		}
		totalAccepted += accepted
		c.metrics.Add("records_handed_over", int64(accepted))
		if accepted < len(part.Records) {
			break
		}
	}
	c.log.Info(event.BookingHandedOver, "to", to.VM, "pool", o.Pool, "accepted", totalAccepted, "records", len(o.Records))
	return totalAccepted == len(o.Records)
}

// beginMove records a hand-over if it is new, and reports whether it is still to be made. It
// removes the records of other layouts of the same pool and upstream.
func (c *Sidecar) beginMove(key moveKey, now time.Time) bool {
	c.movesMu.Lock()
	defer c.movesMu.Unlock()
	m, found := c.moves[key]
	if !found {
		maps.DeleteFunc(c.moves, func(o moveKey, _ moveState) bool { return o.to == key.to && o.pool == key.pool })
		c.moves[key] = moveState{since: now}
	}
	return !m.done
}

// endMove records the result of a call to hand records over, and reports whether the hand-over is done.
// It is abandoned when it fails for longer than maxMoveDuration, so that the keys' next home can
// start without the records.
func (c *Sidecar) endMove(key moveKey, accepted bool, now time.Time) bool {
	c.movesMu.Lock()
	defer c.movesMu.Unlock()
	m := c.moves[key]
	m.done = accepted || now.Sub(m.since) > maxMoveDuration
	c.moves[key] = m
	return m.done
}

// removeMoves removes the hand-overs to an upstream that has handed its own records over since,
// so that a later move hands them over to it again.
func (c *Sidecar) removeMoves(to string) {
	c.movesMu.Lock()
	defer c.movesMu.Unlock()
	maps.DeleteFunc(c.moves, func(m moveKey, _ moveState) bool { return m.to == to })
}
