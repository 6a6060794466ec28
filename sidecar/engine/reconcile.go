package engine

import (
	"context"
	"slices"
	"time"

	"gooseberrypin.example/router/configuration"
	"gooseberrypin.example/router/event"
	"gooseberrypin.example/router/order"
	"gooseberrypin.example/router/port"
)

const (
	reconcileInterval = 100 * time.Millisecond
	orderTimeout      = 2 * time.Second
	// orderPause is the delay of a tick after which the newest revision is read again.
	orderPause = 500 * time.Millisecond
)

// reconcile orders the engine to be as the configuration says. Only this process orders
// it, and after a pause not before the newest revision is confirmed.
func (c *Controller) reconcile(ctx context.Context) {
	var counter int64
	var last time.Time
	confirmed := true
	c.every(ctx, reconcileInterval, func() {
		now := time.Now()
		paused := !last.IsZero() && now.Sub(last) > orderPause
		last = now
		confirmed = c.naive.OrdersAtOnce || (confirmed && !paused) || c.confirm(ctx)
		if !confirmed {
			return
		}
		next, wanted := c.nextOrder(now, counter+1)
		if !wanted {
			return
		}
		counter++
		c.give(ctx, next)
	})
}

// nextOrder returns the order to give now. Before a change of role or the loss of a model it
// stops new work and waits for running work to end.
func (c *Controller) nextOrder(now time.Time, counter int64) (port.EngineOrder, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.store.Current()
	if s == nil || c.down || c.loadAt.IsZero() {
		return port.EngineOrder{}, false
	}
	target := order.Desired(s.Index, c.settings.Upstream)
	if target.Role == "" || target.Equal(c.load.Role, c.load.Models) {
		c.reshaping = false
		return port.EngineOrder{}, false
	}
	fencing := order.Fencing{Revision: s.Revision, Start: c.settings.Started.UnixMilli(), Counter: counter}
	next := port.EngineOrder{Fencing: fencing.Numbers(), Role: string(target.Role), Models: target.Models}
	if c.naive.OrdersAtOnce {
		return next, true
	}
	c.reshaping = disturbs(c.load, target)
	if c.reshaping && len(c.works) > 0 {
		return port.EngineOrder{}, false
	}
	next.Models = c.models(s, target, now)
	unchanged := order.Target{Role: target.Role, Models: next.Models}.Equal(c.load.Role, c.load.Models)
	return next, !unchanged
}

// disturbs tells whether running work must end before the change.
func disturbs(load port.EngineLoad, target order.Target) bool {
	if load.Role != string(target.Role) && load.Role != "" {
		return true
	}
	return slices.ContainsFunc(load.Models, func(m string) bool { return !slices.Contains(target.Models, m) })
}

// models keeps the wanted models that the engine has, and adds one more in this
// upstream's turn at the weight store.
func (c *Controller) models(s *configuration.Snapshot, target order.Target, now time.Time) []string {
	models := make([]string, 0, len(target.Models))
	if c.turnsOf != s.Revision {
		c.turnsOf, c.loadTurns = s.Revision, order.NewLoadSchedule(s.Index, c.settings.Upstream)
	}
	turn := c.loadTurns.Next(now)
	mayLoad := turn.Wait == 0 && turn.Number != c.loadTurn
	for _, m := range target.Models {
		held := slices.Contains(c.load.Models, m)
		if held {
			models = append(models, m)
			continue
		}
		if mayLoad {
			models = append(models, m)
			c.loadTurn = turn.Number
			mayLoad = false
		}
	}
	return models
}

// give sends an order unless a newer revision came in force meanwhile, as after a pause.
func (c *Controller) give(ctx context.Context, next port.EngineOrder) {
	if s := c.store.Current(); s.Revision != next.Fencing[0] {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if err := c.engine.Order(ctx, next); err != nil {
		c.log.Error(err, event.OrderFailed, "revision", next.Fencing[0], "role", next.Role)
		return
	}
	c.log.Info(event.OrderAccepted, "revision", next.Fencing[0], "role", next.Role, "models", next.Models)
	c.probe(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counters.Orders++
	c.reshaping = false
}
