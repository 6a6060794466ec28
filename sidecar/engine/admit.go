package engine

import (
	"slices"
	"time"

	"gooseberrypin.example/router/configuration"
	"gooseberrypin.example/router/port"
	"gooseberrypin.example/router/quarantine"
	"gooseberrypin.example/router/refusal"
	"gooseberrypin.example/router/vm"
)

const (
	leavingRetry = 100 * time.Millisecond
	downRetry    = 500 * time.Millisecond
	roleRetry    = time.Second
	suspectRetry = 200 * time.Millisecond
)

// admit returns a refusal if this upstream may not accept new work of a role, model and
// fingerprint, or nil. It counts the refusals.
func (c *Controller) admit(role configuration.Role, model, fingerprint string) *refusal.Refusal {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.checkAvailable()
	if r == nil {
		r = c.checkRole(role, model)
	}
	if r == nil {
		r = c.checkContent(fingerprint)
	}
	if r != nil {
		c.counters.Refused++
	}
	return r
}

// checkAvailable refuses all new work while the upstream or its engine is unavailable.
func (c *Controller) checkAvailable() *refusal.Refusal {
	switch {
	case c.draining:
		return refusal.New(refusal.RanNo, refusal.Leaving, leavingRetry, "the upstream is draining")
	case c.down:
		return refusal.New(refusal.RanNo, refusal.UpstreamLost, downRetry, "the engine does not answer")
	case c.store.Current() == nil:
		return refusal.New(refusal.RanNo, refusal.NoConfiguration, downRetry, "no configuration yet")
	case c.leaving() && !c.naive.IgnoresLeaving:
		return refusal.New(refusal.RanNo, refusal.Leaving, leavingRetry, "the upstream is leaving")
	}
	return nil
}

// leaving reports whether the upstream is leaving or removed, or its VM is leaving.
func (c *Controller) leaving() bool {
	u := c.store.Current().Index.Upstream(c.settings.Upstream)
	v, listed := c.vms.Find(c.settings.VM)
	return u == nil || u.Leaving || (listed && v.State == vm.Leaving)
}

// checkRole refuses work of a role and model that the configuration does not assign to the
// upstream or that the engine does not serve. It refuses all work while reshaping.
func (c *Controller) checkRole(role configuration.Role, model string) *refusal.Refusal {
	wrong := refusal.New(refusal.RanNo, refusal.WrongRole, roleRetry, "the upstream does not serve %s of %s", role, model)
	if c.reshaping {
		return wrong
	}
	if c.naive.IgnoresLeaving {
		return nil
	}
	index := c.store.Current().Index
	rule := index.RuleForModel(model)
	if rule == nil {
		return wrong
	}
	pool := rule.PrefillPool
	if role == configuration.RoleDecode {
		pool = rule.DecodePool
	}
	member := slices.ContainsFunc(index.PoolsOf(c.settings.Upstream), func(p *configuration.Pool) bool {
		return p.Name == pool && p.Role == role
	})
	engineServes := (c.load.Role == "" || c.load.Role == string(role)) &&
		(len(c.load.Models) == 0 || slices.Contains(c.load.Models, model))
	if !member || !engineServes {
		return wrong
	}
	return nil
}

// checkContent refuses quarantined content. It refuses suspected content while an attempt with
// suspected content is held.
func (c *Controller) checkContent(fingerprint string) *refusal.Refusal {
	if c.naive.IgnoresSuspects {
		return nil
	}
	now := time.Now()
	switch v := c.suspects.Check(fingerprint, now).(type) {
	case quarantine.Free:
	case quarantine.Suspected:
		if c.holdsSuspect(now) {
			return refusal.New(refusal.RanNo, refusal.Overloaded, suspectRetry, "another suspect runs here")
		}
	case quarantine.Quarantined:
		return refusal.New(refusal.RanNo, refusal.Quarantined, v.Remaining, "the content crashed upstreams")
	}
	return nil
}

// holdsSuspect reports whether an attempt with suspected content is queued, reserved or decoding.
func (c *Controller) holdsSuspect(now time.Time) bool {
	for _, w := range c.workByKey {
		if _, suspected := c.suspects.Check(w.fingerprint, now).(quarantine.Suspected); suspected {
			return true
		}
	}
	return false
}

// Load returns the current load of the engine, as a hint for entries.
func (c *Controller) Load() port.Load {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	return port.Load{
		Upstream:     c.settings.Upstream,
		QueueDelay:   c.queue.Delay(now),
		FreePieces:   c.memory.Load().FreePieces(),
		TotalPieces:  c.memory.Load().TotalPieces(),
		Running:      c.memory.Load().HeldAttempts(),
		RunningLimit: c.limitEstimator.Load().Limit(),
		Step:         time.Duration(c.load.StepUS) * time.Microsecond,
		Accepting:    c.checkAvailable() == nil && !c.reshaping,
	}
}
