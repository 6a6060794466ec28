package sidecar

import (
	"expvar"
	"time"

	"gooseberrypin.example/router/adapter/operator"
	"gooseberrypin.example/router/quarantine"
	"gooseberrypin.example/router/subscription"
	"gooseberrypin.example/sidecar/engine"
)

type (
	// State is the state dump of a sidecar.
	State struct {
		Process       operator.Process     `json:"process"`
		Configuration subscription.State   `json:"configuration"`
		Claims        int                  `json:"claims"`
		Engine        *engine.State        `json:"engine,omitempty"`
		Service       any                  `json:"service,omitempty"`
		Suspects      []quarantine.Suspect `json:"suspects"`
	}
)

// State returns the state dump.
func (c *Sidecar) State() State {
	s := State{
		Process: operator.Process{
			Name:         c.settings.Name,
			Kind:         processKind,
			VM:           c.settings.VM,
			Region:       c.settings.Region,
			DataCentre:   c.settings.DataCentre,
			Upstream:     c.settings.Upstream,
			FleetAddress: c.process().GetFleetAddress(),
			Started:      c.started,
			Draining:     c.draining.Load(),
		},
		Configuration: c.reader.State(),
		Suspects:      c.suspects.Suspects(time.Now()),
	}
	switch u := c.upstream.(type) {
	case modelEngine:
		state := u.controller.State()
		s.Engine = &state
		s.Claims = u.claims.Len()
	case plainService:
		s.Service = u.bookings.State()
	}
	return s
}

func (c *Sidecar) publishMetrics() {
	c.metrics.Set("running", expvar.Func(func() any { return c.running() }))
	c.metrics.Set("revision", expvar.Func(func() any { return c.reader.View().Revision }))
	c.metrics.Set("suspects", expvar.Func(func() any { return len(c.suspects.Suspects(time.Now())) }))
	switch u := c.upstream.(type) {
	case modelEngine:
		c.metrics.Set("engine", expvar.Func(func() any { return u.controller.State().Counters }))
		c.metrics.Set("claims", expvar.Func(func() any { return u.claims.Len() }))
	case plainService:
		c.metrics.Set("service", u.bookings.Metrics())
	}
}
