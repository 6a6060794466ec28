// Package sidecar is the process beside one upstream: a model engine, whose memory, leases and
// claims it manages, or a plain service, whose bookings it manages.
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
	"gooseberrypin.example/router/response"
	"gooseberrypin.example/router/subscription"
	"gooseberrypin.example/router/vm"
	"gooseberrypin.example/sidecar/engine"
	"gooseberrypin.example/sidecar/service"
)

const (
	idleCheckInterval = 20 * time.Millisecond
	processKind       = "sidecar"
)

type (
	// Sidecar is the sidecar of one upstream. A test may run several in one process.
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

	// Option configures a Sidecar.
	Option func(*Sidecar)
)

// NewSidecar returns a sidecar with valid settings. Run must be called for its periodic work.
func NewSidecar(s Settings, random *rand.Rand, log event.Log, options ...Option) *Sidecar {
	c := &Sidecar{
		settings: s,
		log:      log,
		random:   random,
		started:  time.Now(),
		keys:     access.NewKeys(s.FleetKeys...),
		engine:   engineclient.NewClient(s.UpstreamAddress, s.OrderKey),
		platform: platform.NewClient(s.PlatformAddress, response.NewClient()),
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
	c.reader = subscription.NewReader(s.VM, s.DataCentre, c.platform, c.peers, c.store, c.vms, c.newRandom(), log,
		subscription.WithSeeds(s.PeerAddresses...), subscription.WithPlatformOnly(slices.Contains(s.Naive, naivePeers)))
	c.upstream = c.newUpstream()
	c.publishMetrics()
	return c
}

// WithEngine replaces the client of the engine, for tests.
func WithEngine(e port.Engine) Option {
	return func(c *Sidecar) { c.engine = e }
}

// WithPlatform replaces the client of the platform, for tests.
func WithPlatform(p port.Platform) Option {
	return func(c *Sidecar) { c.platform = p }
}

func (modelEngine) upstream()  {}
func (plainService) upstream() {}

// SetFleetAddress sets the fleet address that is sent to other processes. It is called again
// after listening, in case the address in the settings has port 0.
func (c *Sidecar) SetFleetAddress(address string) {
	c.fleetAddress.Store(address)
}

// Handler returns the handler of requests from the other processes of the system. It requires a
// fleet key.
func (c *Sidecar) Handler() http.Handler {
	mux := http.NewServeMux()
	switch u := c.upstream.(type) {
	case modelEngine:
		mountEngine(mux, u)
	case plainService:
		mux.Handle(u.bookings.Handler())
	}
	peers := fleetv1.NewPeersServer(&peersServer{Publisher: peer.NewPublisher(c.reader), sidecar: c})
	mux.Handle(peers.PathPrefix(), peers)
	return c.keys.Require(mux)
}

// OperatorHandler returns the handler of metrics, the state dump and drain requests. It calls
// drain for a drain request.
func (c *Sidecar) OperatorHandler(drain func()) http.Handler {
	return operator.NewHandler(c.settings.OperatorKeys, c.metrics, func() any { return c.State() }, drain)
}

// Run reads the configuration and does the upstream's periodic work until ctx is done.
func (c *Sidecar) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { c.reader.Run(ctx) })
	wg.Go(func() { c.applyLimits(ctx) })
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

// Drain refuses new work and returns when no work is left or ctx is done. A second call
// returns immediately.
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
	ticker := time.NewTicker(idleCheckInterval)
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
		serviceSettings := service.Settings{
			Upstream:        c.settings.Upstream,
			VM:              c.settings.VM,
			UpstreamAddress: c.settings.UpstreamAddress,
			Naive:           naive,
		}
		return plainService{bookings: service.New(serviceSettings, c.store, c.vms, c.client, c.log)}
	}
	return modelEngine{claims: claim.NewTable(), controller: engine.NewController(
		engine.Settings{
			Upstream:        c.settings.Upstream,
			UpstreamAddress: c.settings.UpstreamAddress,
			VM:              c.settings.VM,
			Started:         c.started,
		},
		c.engine, c.store, c.vms, c.newRandom(),
		engine.WithLog(c.log),
		engine.WithSuspects(c.suspects),
		engine.WithPushSuspects(c.pushSuspects),
		engine.WithConfirmRevision(c.confirmRevision),
		engine.WithNaive(c.settings.engineNaive()),
	)}
}

func (c *Sidecar) newRandom() *rand.Rand {
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

// applyLimits sets the term of a quarantine whenever a configuration comes into force.
func (c *Sidecar) applyLimits(ctx context.Context) {
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
