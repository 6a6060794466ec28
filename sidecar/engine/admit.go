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

// admit refuses new work that this upstream may not take.
func (c *Controller) admit(role configuration.Role, model, fingerprint string) *refusal.Refusal {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.refusesAll()
	if r == nil {
		r = c.refusesRole(role, model)
	}
	if r == nil {
		r = c.refusesContent(fingerprint)
	}
	if r != nil {
		c.counters.Refused++
	}
	return r
}

func (c *Controller) refusesAll() *refusal.Refusal {
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

func (c *Controller) leaving() bool {
	u := c.store.Current().Index.Upstream(c.settings.Upstream)
	v, listed := c.vms.Find(c.settings.VM)
	return u == nil || u.Leaving || (listed && v.State == vm.Leaving)
}

func (c *Controller) refusesRole(role configuration.Role, model string) *refusal.Refusal {
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

func (c *Controller) refusesContent(fingerprint string) *refusal.Refusal {
	if c.naive.IgnoresSuspects {
		return nil
	}
	now := time.Now()
	switch v := c.suspects.Check(fingerprint, now).(type) {
	case quarantine.Free:
	case quarantine.Suspected:
		if c.suspectExecutes(now) {
			return refusal.New(refusal.RanNo, refusal.Overloaded, suspectRetry, "another suspect runs here")
		}
	case quarantine.Quarantined:
		return refusal.New(refusal.RanNo, refusal.Quarantined, v.Remaining, "the content crashed upstreams")
	}
	return nil
}

func (c *Controller) suspectExecutes(now time.Time) bool {
	for _, w := range c.works {
		if _, suspected := c.suspects.Check(w.fingerprint, now).(quarantine.Suspected); suspected {
			return true
		}
	}
	return false
}

// Load returns a dated hint about the engine.
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
		RunningLimit: c.pace.Load().Limit(),
		Step:         time.Duration(c.load.StepUS) * time.Microsecond,
		Accepting:    c.refusesAll() == nil && !c.reshaping,
	}
}
