// Package engine owns the memory, the queue and the running streams of one model engine.
package engine

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"gooseberrypin.example/router/admission"
	"gooseberrypin.example/router/configuration"
	"gooseberrypin.example/router/decode"
	"gooseberrypin.example/router/dispatch"
	"gooseberrypin.example/router/event"
	"gooseberrypin.example/router/lease"
	"gooseberrypin.example/router/order"
	"gooseberrypin.example/router/port"
	"gooseberrypin.example/router/prefill"
	"gooseberrypin.example/router/quarantine"
	"gooseberrypin.example/router/transfer"
	"gooseberrypin.example/router/vm"
)

const (
	// LeaseLength is the time without a heartbeat after which a keeper's attempts are cancelled.
	LeaseLength = 1500 * time.Millisecond
	// heartbeatGrace keeps an attempt that a crossing heartbeat does not list yet.
	heartbeatGrace = time.Second

	defaultPieces        = 64
	defaultPieceTokens   = 4096
	defaultBetweenTokens = 37 * time.Millisecond
	defaultFirstToken    = 380 * time.Millisecond
	defaultLinkRate      = 1 << 30
	kvBytesPerToken      = 64
	stallAfter           = 250 * time.Millisecond
	transferTurns        = 4
)

type (
	// Settings names the upstream that a controller stands beside.
	Settings struct {
		Upstream        string
		UpstreamAddress string
		VM              string
		// Started tells orders of successive processes apart.
		Started time.Time
	}

	// Controller decides and does all that happens at one engine.
	Controller struct {
		settings Settings
		engine   port.Engine
		store    *configuration.Store
		vms      *vm.Table
		suspects *quarantine.Table
		log      event.Log
		push     func()
		confirm  func(context.Context) bool
		naive    Naive

		queue  *prefill.Queue
		memory atomic.Pointer[decode.Memory]
		pace   atomic.Pointer[decode.LimitEstimator]
		link   *transfer.Link
		leases *lease.Table
		// prefilling lets one prefill at a time into the engine.
		prefilling chan struct{}
		// probing keeps an older report from replacing a newer one.
		probing chan struct{}

		mu     sync.Mutex
		works  map[string]*work
		closed map[string]closure
		turns  map[string]*turn
		// ticking tells that dispatch will look at the queue again by itself.
		ticking   bool
		transfers map[string]chan struct{}
		executing map[*work]int
		epoch     int
		down      bool
		draining  bool
		reshaping bool
		load      port.EngineLoad
		loadAt    time.Time
		// loadTurn is the turn at the weight store that was used last.
		loadTurn int64
		// loadTurns are the turns under the revision turnsOf.
		loadTurns order.LoadSchedule
		turnsOf   int64
		orphans   map[string]time.Time
		ticked    time.Time
		counters  Counters
		// between is the time between tokens that the pace aims at.
		between time.Duration
		// silences counts the probes in a row that the engine left unanswered.
		silences int
	}

	// Counters count what a controller did since its start.
	Counters struct {
		Prefills         int64 `json:"prefills"`
		Decodes          int64 `json:"decodes"`
		Refused          int64 `json:"refused"`
		LeasesExpired    int64 `json:"leases_expired"`
		Superseded       int64 `json:"superseded"`
		OrphansCancelled int64 `json:"orphans_cancelled"`
		EnginesLost      int64 `json:"engines_lost"`
		Orders           int64 `json:"orders"`
	}

	// Naive switches protections off, so that a test can show what each is for.
	Naive struct {
		// KeepsLeases never expires the lease of a silent keeper.
		KeepsLeases bool
		// KeepsOrphans never cancels a stream that nobody claims.
		KeepsOrphans bool
		// IgnoresSuspects neither reports nor refuses content that crashed engines.
		IgnoresSuspects bool
		// IgnoresLeaving takes new work on a leaving upstream.
		IgnoresLeaving bool
		// OrdersAtOnce orders without finishing streams, waiting for a turn at the weight store,
		// or reading the revision again after a pause.
		OrdersAtOnce bool
	}

	// Option changes a controller.
	Option func(*Controller)
)

// NewController returns the controller of an engine. It runs once Run is called.
func NewController(s Settings, e port.Engine, store *configuration.Store, vms *vm.Table, random *rand.Rand, options ...Option) *Controller {
	c := &Controller{
		settings:   s,
		engine:     e,
		store:      store,
		vms:        vms,
		suspects:   quarantine.NewTable(),
		log:        event.Discard(),
		push:       func() {},
		confirm:    func(context.Context) bool { return true },
		link:       transfer.NewLink(defaultLinkRate, transfer.WithMaxConcurrent(transferTurns), transfer.WithStallAfter(stallAfter)),
		leases:     lease.NewTable(LeaseLength),
		prefilling: make(chan struct{}, 1),
		probing:    make(chan struct{}, 1),
		works:      make(map[string]*work),
		closed:     make(map[string]closure),
		turns:      make(map[string]*turn),
		transfers:  make(map[string]chan struct{}),
		executing:  make(map[*work]int),
		orphans:    make(map[string]time.Time),
	}
	c.memory.Store(decode.NewMemory(defaultPieces, defaultPieceTokens))
	c.pace.Store(decode.NewLimitEstimator(defaultBetweenTokens))
	c.between = defaultBetweenTokens
	c.queue = prefill.NewQueue(
		prefill.WithGate(admission.NewGate(random, admission.WithMargin(dispatch.Margin))),
		prefill.WithTimeAfterPrefill(c.afterPrefill))
	for _, o := range options {
		o(c)
	}
	return c
}

// WithLog writes the controller's events.
func WithLog(log event.Log) Option {
	return func(c *Controller) { c.log = log }
}

// WithSuspects shares a table of suspects.
func WithSuspects(t *quarantine.Table) Option {
	return func(c *Controller) { c.suspects = t }
}

// WithPushSuspects is called when new suspects must be told to other processes at once.
func WithPushSuspects(push func()) Option {
	return func(c *Controller) { c.push = push }
}

// WithConfirmRevision is asked after a pause whether the configuration in force is the newest.
func WithConfirmRevision(confirm func(context.Context) bool) Option {
	return func(c *Controller) { c.confirm = confirm }
}

// WithMemory sets the engine's pieces and their size.
func WithMemory(pieces, pieceTokens int) Option {
	return func(c *Controller) { c.memory.Store(decode.NewMemory(pieces, pieceTokens)) }
}

// WithNaive switches protections off.
func WithNaive(n Naive) Option {
	return func(c *Controller) { c.naive = n }
}

// Run watches the engine, expires leases and carries out the configuration until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { c.every(ctx, expiryInterval, c.expire) })
	wg.Go(func() { c.every(ctx, probeInterval, func() { c.probe(ctx) }) })
	wg.Go(func() { c.sweeps(ctx) })
	wg.Go(func() { c.reconcile(ctx) })
	wg.Wait()
}

// Drain refuses new work from now on.
func (c *Controller) Drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
}

// Running returns the number of attempts that hold anything.
func (c *Controller) Running() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.works)
}

func (c *Controller) every(ctx context.Context, interval time.Duration, do func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			do()
		case <-ctx.Done():
			return
		}
	}
}
