// Package service is the sidecar of a plain service. It runs calls, each one that may
// not be repeated at most once.
package service

import (
	"context"
	"expvar"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	fleetv1 "gooseberrypin.example/gen/fleet/v1"
	adapter "gooseberrypin.example/router/adapter/booking"
	client "gooseberrypin.example/router/adapter/service"
	"gooseberrypin.example/router/booking"
	"gooseberrypin.example/router/configuration"
	"gooseberrypin.example/router/event"
	"gooseberrypin.example/router/port"
	"gooseberrypin.example/router/vm"
)

const (
	defaultCallTimeout = 30 * time.Second
	maxCallTimeout     = 5 * time.Minute
	defaultPause       = time.Second
	ticksPerPause      = 4
	expireInterval     = 5 * time.Second
)

type (
	// Sidecar serves the Bookings protocol for one upstream.
	Sidecar struct {
		self     booking.Member
		address  string
		started  time.Time
		pause    time.Duration
		home     *booking.Home
		store    *configuration.Store
		vms      *vm.Table
		service  port.Service
		peers    port.Bookings
		log      event.Log
		metrics  *expvar.Map
		active   atomic.Int32
		draining atomic.Bool
		// moved are the hand-overs that were begun.
		moved   map[move]moved
		movedMu sync.Mutex
	}

	// Settings are what the sidecar is told at its start.
	Settings struct {
		// Upstream is the name of the service in the configuration.
		Upstream string
		// VM is the name of the VM in the platform's list.
		VM string
		// UpstreamAddress is the service's IP:port.
		UpstreamAddress string
		// PauseThreshold is the gap that counts as a pause of the process. Zero takes the default.
		PauseThreshold time.Duration
		// Naive runs every call that arrives. Only tests set it.
		Naive bool
	}

	// Option changes a Sidecar.
	Option func(*Sidecar)

	move struct {
		to       string
		pool     string
		revision int64
	}

	moved struct {
		since time.Time
		done  bool
	}
)

// WithService sets the way to the service, for tests.
func WithService(s port.Service) Option {
	return func(c *Sidecar) { c.service = s }
}

// WithPeers sets the way to other sidecars, for tests.
func WithPeers(b port.Bookings) Option {
	return func(c *Sidecar) { c.peers = b }
}

// New returns the sidecar of a plain service. Maintain must run for it to work.
func New(s Settings, store *configuration.Store, vms *vm.Table, fleet *http.Client, log event.Log, options ...Option) *Sidecar {
	c := &Sidecar{
		self:    booking.Member{Upstream: s.Upstream, VM: s.VM},
		address: s.UpstreamAddress,
		started: time.Now(),
		pause:   s.PauseThreshold,
		store:   store,
		vms:     vms,
		service: client.NewClient(),
		peers:   adapter.NewClient(fleet),
		log:     log,
		metrics: new(expvar.Map).Init(),
		moved:   make(map[move]moved),
	}
	if c.pause <= 0 {
		c.pause = defaultPause
	}
	c.home = booking.NewHome(c.self, homeOptions(c.pause, s.Naive)...)
	for _, o := range options {
		o(c)
	}
	return c
}

// Handler returns the twirp handler and its path prefix.
func (c *Sidecar) Handler() (string, http.Handler) {
	server := fleetv1.NewBookingsServer(c)
	return server.PathPrefix(), server
}

// Maintain keeps the sidecar settled until the context ends.
func (c *Sidecar) Maintain(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { c.tick(ctx) })
	group.Go(func() { c.settle(ctx) })
	group.Wait()
}

// Load returns a hint about the service.
func (c *Sidecar) Load() *fleetv1.Load {
	return &fleetv1.Load{
		Upstream:  c.self.Upstream,
		Running:   c.active.Load(),
		Accepting: c.leaving() == nil,
	}
}

// Metrics returns the counters.
func (c *Sidecar) Metrics() *expvar.Map {
	return c.metrics
}

// State returns the value of the state dump.
func (c *Sidecar) State() any {
	return State{
		Upstream: c.self.Upstream,
		VM:       c.self.VM,
		Started:  c.started,
		Draining: c.draining.Load(),
		Running:  int(c.active.Load()),
		Bookings: c.home.State(),
	}
}

func homeOptions(pause time.Duration, naive bool) []booking.Option {
	options := []booking.Option{booking.WithPauseThreshold(pause)}
	if naive {
		options = append(options, booking.WithNaive())
	}
	return options
}

// sync brings what the process heard in force before a decision.
func (c *Sidecar) sync() {
	now := time.Now()
	c.home.Tick(now)
	if l := c.vms.Current(); l.Version > c.home.ListVersion() {
		c.home.SetVMs(l, now)
	}
	if s := c.store.Current(); s != nil && s.Revision > c.home.Revision() {
		c.home.Adopt(s.Index, now)
	}
}

// tick notes that the process runs, and forgets old records.
func (c *Sidecar) tick(ctx context.Context) {
	ticker := time.NewTicker(c.pause / ticksPerPause)
	defer ticker.Stop()
	expired := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			c.home.Tick(now)
			if now.Sub(expired) >= expireInterval {
				expired = now
				c.metrics.Add("records_expired", int64(c.home.Expire(now)))
			}
		}
	}
}
