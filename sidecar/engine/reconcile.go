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
	// orderPauseThreshold is the gap between two ticks above which the revision is confirmed
	// before the next order.
	orderPauseThreshold = 500 * time.Millisecond
)

// reconcile sends orders until the engine has the role and the models that the configuration
// gives it. No other process sends orders to this engine. After a pause of this process, it
// sends none before the revision in force is confirmed to be the newest.
func (c *Controller) reconcile(ctx context.Context) {
	var counter int64
	var last time.Time
	confirmed := true
	c.every(ctx, reconcileInterval, func() {
		now := time.Now()
		paused := !last.IsZero() && now.Sub(last) > orderPauseThreshold
		last = now
		confirmed = c.naive.OrdersAtOnce || (confirmed && !paused) || c.confirmRevision(ctx)
		if !confirmed {
			return
		}
		next, due := c.nextOrder(now, counter+1)
		if !due {
			return
		}
		counter++
		c.sendOrder(ctx, next)
	})
}

// nextOrder returns the order to send now, or false when there is none. Before an order that
// changes the role or removes a model, it refuses new work and waits until no work is left.
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
	c.reshaping = requiresIdle(c.load, target)
	if c.reshaping && len(c.workByKey) > 0 {
		return port.EngineOrder{}, false
	}
	next.Models = c.nextModels(s, target, now)
	unchanged := order.Target{Role: target.Role, Models: next.Models}.Equal(c.load.Role, c.load.Models)
	return next, !unchanged
}

// requiresIdle reports whether work must end before the change to a target, because it changes
// the role or removes a model.
func requiresIdle(load port.EngineLoad, target order.Target) bool {
	if load.Role != string(target.Role) && load.Role != "" {
		return true
	}
	return slices.ContainsFunc(load.Models, func(m string) bool { return !slices.Contains(target.Models, m) })
}

// nextModels returns the desired models that the engine has. It adds one that is missing if
// this upstream's slot at the weight store is open and not used yet.
func (c *Controller) nextModels(s *configuration.Snapshot, target order.Target, now time.Time) []string {
	models := make([]string, 0, len(target.Models))
	if c.loadScheduleRevision != s.Revision {
		c.loadScheduleRevision, c.loadSchedule = s.Revision, order.NewLoadSchedule(s.Index, c.settings.Upstream)
	}
	slot := c.loadSchedule.Next(now)
	mayLoad := slot.Wait == 0 && slot.Number != c.lastLoadSlot
	for _, m := range target.Models {
		loaded := slices.Contains(c.load.Models, m)
		if loaded {
			models = append(models, m)
			continue
		}
		if mayLoad {
			models = append(models, m)
			c.lastLoadSlot = slot.Number
			mayLoad = false
		}
	}
	return models
}

// sendOrder sends an order and probes the engine. It drops the order if its revision is no
// longer in force, as may be the case after a pause of the process.
func (c *Controller) sendOrder(ctx context.Context, next port.EngineOrder) {
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
