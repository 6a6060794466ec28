// Package sidecar stands beside one upstream and owns its memory, its leases and its bookings.
package sidecar

import (
	"context"
	"expvar"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	fleetv1 "gooseberrypin.example/gen/fleet/v1"
	"gooseberrypin.example/router/access"
	engineclient "gooseberrypin.example/router/adapter/engine"
	"gooseberrypin.example/router/adapter/fleet"
	"gooseberrypin.example/router/adapter/operator"
	"gooseberrypin.example/router/adapter/peer"
	"gooseberrypin.example/router/adapter/platform"
	"gooseberrypin.example/router/adapter/wire"
	"gooseberrypin.example/router/claim"
	"gooseberrypin.example/router/configuration"
	"gooseberrypin.example/router/event"
	"gooseberrypin.example/router/port"
	"gooseberrypin.example/router/quarantine"
	"gooseberrypin.example/router/subscription"
	"gooseberrypin.example/router/vm"
	"gooseberrypin.example/sidecar/engine"
	"gooseberrypin.example/sidecar/service"
)

const (
	idleInterval = 20 * time.Millisecond
	processKind  = "sidecar"
)

type (
	// Sidecar is one process's core. Many may run in one process.
	Sidecar struct {
		settings     Settings
		log          event.Log
		random       *rand.Rand
		started      time.Time
		engine       port.Engine
		platform     port.Platform
		client       *http.Client
		peers        port.Peers
		keys         access.Keys
		store        *configuration.Store
		vms          *vm.Table
		reader       *subscription.Reader
		suspects     *quarantine.Table
		upstream     upstream
		metrics      *expvar.Map
		draining     atomic.Bool
		fleetAddress atomic.Value
	}

	// upstream is modelEngine or plainService.
	//
	//sumtype:decl
	upstream interface{ upstream() }

	modelEngine struct {
		controller *engine.Controller
		claims     *claim.Table
	}

	plainService struct{ bookings *service.Sidecar }

	// Option changes what a sidecar is built from.
	Option func(*Sidecar)
)

// NewSidecar returns a sidecar of checked settings. It works once Run is called.
func NewSidecar(s Settings, random *rand.Rand, log event.Log, options ...Option) *Sidecar {
	c := &Sidecar{
		settings: s,
		log:      log,
		random:   random,
		started:  time.Now(),
		keys:     access.NewKeys(s.FleetKeys...),
		engine:   engineclient.NewClient(s.UpstreamAddress, s.OrderKey),
		platform: platform.NewClient(s.PlatformAddress, http.DefaultClient),
		store:    configuration.NewStore(),
		vms:      vm.NewTable(),
		suspects: quarantine.NewTable(),
		metrics:  new(expvar.Map).Init(),
	}
	c.client = fleet.NewClient(c.keys, s.DialOverrides)
	c.SetFleetAddress(s.FleetAddress)
	for _, o := range options {
		o(c)
	}
	c.peers = peer.NewClient(c.client)
	c.reader = subscription.NewReader(s.VM, s.DataCentre, c.platform, c.peers, c.store, c.vms, c.fork(), log,
		subscription.WithSeeds(s.PeerAddresses...), subscription.WithPlatformOnly(slices.Contains(s.Naive, naivePeers)))
	c.upstream = c.newUpstream()
	c.publishMetrics()
	return c
}

// WithEngine sets the way to the engine, for tests.
func WithEngine(e port.Engine) Option {
	return func(c *Sidecar) { c.engine = e }
}

// WithPlatform sets the way to the platform, for tests.
func WithPlatform(p port.Platform) Option {
	return func(c *Sidecar) { c.platform = p }
}

func (modelEngine) upstream()  {}
func (plainService) upstream() {}

// SetFleetAddress sets the address that other processes see, once a free port is known.
func (c *Sidecar) SetFleetAddress(address string) {
	c.fleetAddress.Store(address)
}

// Handler serves the system's own processes.
func (c *Sidecar) Handler() http.Handler {
	mux := http.NewServeMux()
	switch u := c.upstream.(type) {
	case modelEngine:
		mountEngine(mux, u)
	case plainService:
		mux.Handle(u.bookings.Handler())
	}
	peers := fleetv1.NewPeersServer(&peers{Publisher: peer.NewPublisher(c.reader), sidecar: c})
	mux.Handle(peers.PathPrefix(), peers)
	return c.keys.Require(mux)
}

// OperatorHandler serves metrics, the state dump and drain.
func (c *Sidecar) OperatorHandler(drain func()) http.Handler {
	return operator.NewHandler(c.settings.OperatorKeys, c.metrics, func() any { return c.State() }, drain)
}

// Run works until the context ends.
func (c *Sidecar) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { c.reader.Run(ctx) })
	wg.Go(func() { c.followLimits(ctx) })
	switch u := c.upstream.(type) {
	case modelEngine:
		wg.Go(func() { u.controller.Run(ctx) })
	case plainService:
		wg.Go(func() { u.bookings.Maintain(ctx) })
	}
	wg.Wait()
}

// Ready returns a channel that is closed once a configuration is in force.
func (c *Sidecar) Ready() <-chan struct{} {
	return c.reader.Ready()
}

// Drain refuses new work from now on, and returns once what runs has ended or ctx ends.
func (c *Sidecar) Drain(ctx context.Context) {
	if c.draining.Swap(true) {
		return
	}
	c.log.Info(event.Draining)
	switch u := c.upstream.(type) {
	case modelEngine:
		u.controller.Drain()
		c.awaitIdle(ctx)
	case plainService:
		u.bookings.Drain(ctx)
	}
}

func (c *Sidecar) awaitIdle(ctx context.Context) {
	ticker := time.NewTicker(idleInterval)
	defer ticker.Stop()
	for c.running() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (c *Sidecar) newUpstream() upstream {
	if c.settings.Kind == configuration.KindService {
		naive := slices.Contains(c.settings.Naive, naiveBookings)
		of := service.Settings{
			Upstream:        c.settings.Upstream,
			VM:              c.settings.VM,
			UpstreamAddress: c.settings.UpstreamAddress,
			Naive:           naive,
		}
		return plainService{bookings: service.New(of, c.store, c.vms, c.client, c.log)}
	}
	return modelEngine{claims: claim.NewTable(), controller: engine.NewController(
		engine.Settings{
			Upstream:        c.settings.Upstream,
			UpstreamAddress: c.settings.UpstreamAddress,
			VM:              c.settings.VM,
			Started:         c.started,
		},
		c.engine, c.store, c.vms, c.fork(),
		engine.WithLog(c.log),
		engine.WithSuspects(c.suspects),
		engine.WithPushSuspects(c.pushSuspects),
		engine.WithConfirmRevision(c.confirm),
		engine.WithNaive(c.settings.engineNaive()),
	)}
}

func (c *Sidecar) fork() *rand.Rand {
	return rand.New(rand.NewPCG(c.random.Uint64(), c.random.Uint64()))
}

func (c *Sidecar) running() int {
	switch u := c.upstream.(type) {
	case modelEngine:
		return u.controller.Running()
	case plainService:
		return int(u.bookings.Load().GetRunning())
	}
	return 0
}

func (c *Sidecar) load() *fleetv1.Load {
	switch u := c.upstream.(type) {
	case modelEngine:
		return wire.FromLoad(u.controller.Load())
	case plainService:
		return u.bookings.Load()
	}
	return nil
}

// followLimits keeps the term of a quarantine as configured.
func (c *Sidecar) followLimits(ctx context.Context) {
	for {
		changed := c.store.Changed()
		if s := c.store.Current(); s != nil {
			seconds := s.Index.Configuration().Limits.QuarantineSeconds
			c.suspects.SetTerm(time.Duration(seconds) * time.Second)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}
