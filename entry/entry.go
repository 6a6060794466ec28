// Package entry implements the entry process. It serves callers, keeps their requests and routes them to upstreams.
package entry

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	fleetv1 "gooseberrypin.example/gen/fleet/v1"
	"gooseberrypin.example/router/access"
	"gooseberrypin.example/router/adapter/fleet"
	"gooseberrypin.example/router/adapter/peer"
	"gooseberrypin.example/router/adapter/platform"
	"gooseberrypin.example/router/adapter/sidecar"
	"gooseberrypin.example/router/claim"
	"gooseberrypin.example/router/configuration"
	"gooseberrypin.example/router/event"
	"gooseberrypin.example/router/generation"
	"gooseberrypin.example/router/lease"
	"gooseberrypin.example/router/port"
	"gooseberrypin.example/router/request"
	"gooseberrypin.example/router/response"
	"gooseberrypin.example/router/retry"
	"gooseberrypin.example/router/route"
	"gooseberrypin.example/router/subscription"
	"gooseberrypin.example/router/vm"
)

const (
	retryFraction = 0.2
	retryBurst    = 40
	sweepInterval = 5 * time.Second
	closeTimeout  = 2 * time.Second
	processKind   = "entry"
)

type (
	// Option configures an entry.
	Option func(*Entry)

	// Entry is an entry process. It is built from its settings and uses no global state.
	Entry struct {
		settings Settings
		id       string
		started  time.Time
		log      event.Log
		random   *rand.Rand
		naive    map[string]bool
		metrics  *expvar.Map

		store    *configuration.Store
		vms      *vm.Table
		reader   *subscription.Reader
		http     *http.Client
		sidecars port.Sidecars
		route    *route.Router
		runner   generation.Runner
		claims   *claim.Claimer
		requests *request.Table
		holdings *lease.Holdings
		relays   *relays
		crashes  *crashes

		context        context.Context
		stop           context.CancelFunc
		work           sync.WaitGroup
		lastConnection atomic.Uint64
		runningCalls   atomic.Int64
		draining       atomic.Bool
		drained        chan struct{}
		drainOnce      sync.Once
		address        string
		servers        []*http.Server
	}
)

// New returns an entry. It does not listen before Run.
func New(s Settings, options ...Option) *Entry {
	started := time.Now()
	ctx, stop := context.WithCancel(context.Background())
	e := &Entry{
		settings: s,
		id:       fmt.Sprintf("%s@%d", s.Name, started.UnixMilli()),
		started:  started,
		log:      event.Discard(),
		random:   newRandom(s.Seed),
		naive:    make(map[string]bool),
		metrics:  new(expvar.Map).Init(),
		store:    configuration.NewStore(),
		vms:      vm.NewTable(),
		requests: request.NewTable(),
		holdings: lease.NewHoldings(),
		relays:   newRelays(),
		context:  ctx,
		stop:     stop,
		drained:  make(chan struct{}),
	}
	for _, o := range options {
		o(e)
	}
	for _, name := range s.Naive {
		e.naive[name] = true
	}
	return e
}

// WithLog sets the log of events. The default discards them.
func WithLog(l event.Log) Option {
	return func(e *Entry) { e.log = l }
}

// Run listens and serves until ctx is done or a drain has finished. It returns an error if it can't listen.
func (e *Entry) Run(ctx context.Context) error {
	if err := e.listen(); err != nil {
		return err
	}
	var background sync.WaitGroup
	for _, loop := range []func(context.Context){e.reader.Run, e.renewLeases, e.expireRelays, e.sweep} {
		background.Go(func() { loop(e.context) })
	}
	select {
	case <-ctx.Done():
	case <-e.drained:
	}
	e.log.Info(event.Stopped)
	e.stop()
	e.close()
	background.Wait()
	return nil
}

// Drain starts a planned stop: the entry refuses new requests, and Run returns when the running ones have finished.
// Drain does not block.
func (e *Entry) Drain() {
	e.drainOnce.Do(func() {
		e.draining.Store(true)
		e.log.Info(event.Draining)
		go func() {
			if !e.naive[naiveDrain] {
				e.finishRequests()
			}
			close(e.drained)
		}()
	})
}

// build creates the components of the entry, which serves its peers at the fleet address.
func (e *Entry) build(fleetAddress string) {
	s := &e.settings
	e.address = fleetAddress
	e.http = fleet.NewClient(access.NewKeys(s.FleetKeys...), s.DialOverrides)
	self := route.Self{Name: s.Name, VM: s.VM, Region: s.Region, DataCentre: s.DataCentre, Address: fleetAddress}
	e.route = route.NewRouter(self, e.store, e.vms, e.random)
	e.sidecars = sidecar.NewClient(e.http, sidecar.WithLoadObserver(func(l port.Load) { e.route.Observe(l, time.Now()) }))
	e.claims = claim.NewClaimer(e.sidecars)
	e.crashes = newCrashes(e)
	e.runner = generation.NewRunner(e.sidecars, e.route, e.holdings, e.crashes,
		retry.NewBudget(retryFraction, retry.WithBurst(retryBurst)), generation.WithLog(e.log))
	e.reader = subscription.NewReader(s.VM, s.DataCentre,
		platform.NewClient(s.PlatformAddress, response.NewClient()), peer.NewClient(e.http),
		e.store, e.vms, newRandom(e.random.Uint64()), e.log,
		subscription.WithSeeds(s.PeerAddresses...), subscription.WithPlatformOnly(e.naive[naivePeers]))
}

// process returns the description of this process for its peers.
func (e *Entry) process() *fleetv1.Process {
	return &fleetv1.Process{
		Name:          e.settings.Name,
		Kind:          processKind,
		FleetAddress:  e.address,
		DataCentre:    e.settings.DataCentre,
		StartedUnixMs: e.started.UnixMilli(),
		Draining:      e.draining.Load(),
	}
}

func (e *Entry) count(name string) {
	e.metrics.Add(name, 1)
}

// sweep periodically deletes failed records, and finished ones whose retention is over.
func (e *Entry) sweep(ctx context.Context) {
	every(ctx, sweepInterval, func() { e.requests.Sweep(time.Now()) })
}

func newRandom(seed uint64) *rand.Rand {
	if seed == 0 {
		seed = rand.Uint64()
	}
	return rand.New(rand.NewPCG(seed, seed))
}

// every calls f once per interval until ctx is done.
func every(ctx context.Context, interval time.Duration, f func()) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			f()
		case <-ctx.Done():
			return
		}
	}
}

func listenTCP(field, address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrap(err, field)
	}
	return l, nil
}

func serveFailed(err error) bool {
	return err != nil && !errors.Is(err, http.ErrServerClosed)
}
