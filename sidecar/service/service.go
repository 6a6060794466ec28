// Package service is the sidecar of a plain service. It sends calls to the service. A call that
// is not repeatable runs at most once.
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
	defaultCallTimeout     = 30 * time.Second
	maxCallTimeout         = 5 * time.Minute
	defaultPauseThreshold  = time.Second
	ticksPerPauseThreshold = 4
	expireInterval         = 5 * time.Second
)

type (
	// Sidecar serves the Bookings protocol for one upstream. It is safe for concurrent use.
	Sidecar struct {
		self           booking.Member
		address        string
		started        time.Time
		pauseThreshold time.Duration
		home           *booking.Home
		store          *configuration.Store
		vms            *vm.Table
		service        port.Service
		peers          port.Bookings
		log            event.Log
		metrics        *expvar.Map
		active         atomic.Int32
		draining       atomic.Bool
		// moves are the hand-overs of moved keys that were begun.
		moves   map[moveKey]moveState
		movesMu sync.Mutex
	}

	// Settings configure a Sidecar.
	Settings struct {
		// Upstream is the name of the service in the configuration.
		Upstream string
		// VM is the name of the VM in the platform's list.
		VM string
		// UpstreamAddress is the service's IP:port.
		UpstreamAddress string
		// PauseThreshold is the gap between ticks above which the process counts as paused. Zero means 1 s.
		PauseThreshold time.Duration
		// Naive disables the check that a call runs at most once. Only tests set it.
		Naive bool
	}

	// Option configures a Sidecar.
	Option func(*Sidecar)

	// moveKey identifies a hand-over: the receiving upstream, the pool, and the first revision of
	// the layout that moved the keys.
	moveKey struct {
		to       string
		pool     string
		revision int64
	}

	// moveState is the state of a hand-over. It is done when it is complete or abandoned.
	moveState struct {
		since time.Time
		done  bool
	}
)

// WithService replaces the client of the service, for tests.
func WithService(s port.Service) Option {
	return func(c *Sidecar) { c.service = s }
}

// WithPeers replaces the client of other sidecars, for tests.
func WithPeers(b port.Bookings) Option {
	return func(c *Sidecar) { c.peers = b }
}

// New returns the sidecar of a plain service. It runs no call that is not repeatable before
// Maintain runs.
func New(s Settings, store *configuration.Store, vms *vm.Table, fleet *http.Client, log event.Log, options ...Option) *Sidecar {
	c := &Sidecar{
		self:           booking.Member{Upstream: s.Upstream, VM: s.VM},
		address:        s.UpstreamAddress,
		started:        time.Now(),
		pauseThreshold: s.PauseThreshold,
		store:          store,
		vms:            vms,
		service:        client.NewClient(),
		peers:          adapter.NewClient(fleet),
		log:            log,
		metrics:        new(expvar.Map).Init(),
		moves:          make(map[moveKey]moveState),
	}
	if c.pauseThreshold <= 0 {
		c.pauseThreshold = defaultPauseThreshold
	}
	c.home = booking.NewHome(c.self, homeOptions(c.pauseThreshold, s.Naive)...)
	for _, o := range options {
		o(c)
	}
	return c
}

// Handler returns the path prefix of the Bookings protocol and its twirp handler.
func (c *Sidecar) Handler() (string, http.Handler) {
	server := fleetv1.NewBookingsServer(c)
	return server.PathPrefix(), server
}

// Maintain asks other sidecars until keys may run here, after each change and each pause, and
// removes expired records. It returns when ctx is done.
func (c *Sidecar) Maintain(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { c.runTicks(ctx) })
	group.Go(func() { c.settle(ctx) })
	group.Wait()
}

// Load returns the current load of the service, as a hint for entries.
func (c *Sidecar) Load() *fleetv1.Load {
	return &fleetv1.Load{
		Upstream:  c.self.Upstream,
		Running:   c.active.Load(),
		Accepting: c.checkLeaving() == nil,
	}
}

// Metrics returns the metrics of this sidecar.
func (c *Sidecar) Metrics() *expvar.Map {
	return c.metrics
}

// State returns the part of the state dump on the service, a State.
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

func homeOptions(pauseThreshold time.Duration, naive bool) []booking.Option {
	options := []booking.Option{booking.WithPauseThreshold(pauseThreshold)}
	if naive {
		options = append(options, booking.WithNaive())
	}
	return options
}

// applyUpdates applies the newest VM list and configuration to the home. Every decision on a key
// calls it first, so that none is based on an older state.
func (c *Sidecar) applyUpdates() {
	now := time.Now()
	c.home.Tick(now)
	if l := c.vms.Current(); l.Version > c.home.ListVersion() {
		c.home.SetVMs(l, now)
	}
	if s := c.store.Current(); s != nil && s.Revision > c.home.Revision() {
		c.home.Adopt(s.Index, now)
	}
}

// runTicks ticks the home, which detects pauses of the process by the gaps, and removes expired
// records.
func (c *Sidecar) runTicks(ctx context.Context) {
	ticker := time.NewTicker(c.pauseThreshold / ticksPerPauseThreshold)
	defer ticker.Stop()
	lastExpiry := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			c.home.Tick(now)
			if now.Sub(lastExpiry) >= expireInterval {
				lastExpiry = now
				c.metrics.Add("records_expired", int64(c.home.Expire(now)))
			}
		}
	}
}
