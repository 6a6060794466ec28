// Package engine controls one model engine: its prefill queue, its decode memory, its running
// streams, and its role and models.
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
	// heartbeatGrace is the age below which an attempt is kept although a heartbeat of its keeper
	// does not list it: the heartbeat may have been sent before the attempt began.
	heartbeatGrace = time.Second

	defaultPieces        = 64
	defaultPieceTokens   = 4096
	defaultBetweenTokens = 37 * time.Millisecond
	defaultFirstToken    = 380 * time.Millisecond
	defaultLinkBytesPerS = 1 << 30
	kvBytesPerToken      = 64
	stallAfter           = 250 * time.Millisecond
	maxTransfers         = 4
)

type (
	// Settings identify the upstream and the process of a controller.
	Settings struct {
		Upstream        string
		UpstreamAddress string
		VM              string
		// Started is when the process started. It is part of the fencing token of orders, so that
		// those of a restarted process are newer.
		Started time.Time
	}

	// Controller admits, queues and runs the work of one engine. It is safe for concurrent use.
	Controller struct {
		settings        Settings
		engine          port.Engine
		store           *configuration.Store
		vms             *vm.Table
		suspects        *quarantine.Table
		log             event.Log
		pushSuspects    func()
		confirmRevision func(context.Context) bool
		naive           Naive

		queue          *prefill.Queue
		memory         atomic.Pointer[decode.Memory]
		limitEstimator atomic.Pointer[decode.LimitEstimator]
		link           *transfer.Link
		leases         *lease.Table
		// prefilling is a semaphore: the engine runs one prefill at a time.
		prefilling chan struct{}
		// probing is a semaphore: with one probe at a time, an older load report can't replace a
		// newer one.
		probing chan struct{}

		// mu guards the fields below.
		mu sync.Mutex
		// workByKey and closed are by key digest, queuedPrefills and transfers by stream ID.
		workByKey      map[string]*work
		closed         map[string]closedAttempt
		queuedPrefills map[string]*queuedPrefill
		// dispatchScheduled reports whether a timer will call dispatch.
		dispatchScheduled bool
		// transfers are the transfers that are not complete. Their channels are closed at the start.
		transfers map[string]chan struct{}
		// executing is the work at the engine, with the epoch in which it began.
		executing map[*work]int
		// epoch is the number of recorded losses of the engine.
		epoch int
		// down reports whether the engine is lost or unresponsive, lost whether its loss is recorded.
		down, lost bool
		draining   bool
		// reshaping reports whether work is refused until an order has changed the role or removed a model.
		reshaping bool
		// load is the latest load report, received at loadAt.
		load   port.EngineLoad
		loadAt time.Time
		// lastLoadSlot is the number of the last slot in which a model was loaded from the weight store.
		lastLoadSlot int64
		// loadSchedule is the schedule of load slots under the revision loadScheduleRevision.
		loadSchedule         order.LoadSchedule
		loadScheduleRevision int64
		// uncancelled holds the IDs of streams that could not be cancelled. Their memory stays held until the engine has
		// ended them.
		uncancelled map[string]bool
		// orphans is when each stream without an attempt was first seen, by stream ID.
		orphans        map[string]time.Time
		lastExpiryTick time.Time
		counters       Counters
		// limitTarget is the target time between tokens of limitEstimator.
		limitTarget time.Duration
		// unansweredProbes is the number of consecutive probes without an answer.
		unansweredProbes int
	}

	// Counters count events since the start of the controller.
	Counters struct {
		Prefills int64 `json:"prefills"`
		Decodes  int64 `json:"decodes"`
		Refused  int64 `json:"refused"`
		// IdleTrials counts the prompts that an idle engine took although their first token was predicted to be late.
		IdleTrials int64 `json:"idle_trials"`
		// RefusedIdle counts the prompts that were refused as late while the engine was idle.
		RefusedIdle      int64 `json:"refused_idle"`
		LeasesExpired    int64 `json:"leases_expired"`
		Superseded       int64 `json:"superseded"`
		OrphansCancelled int64 `json:"orphans_cancelled"`
		EnginesLost      int64 `json:"engines_lost"`
		Orders           int64 `json:"orders"`
	}

	// Naive disables protections, so that a test can show the failure that each one prevents.
	Naive struct {
		// KeepsLeases disables the expiry of leases and reservations.
		KeepsLeases bool
		// KeepsOrphans disables the cancellation of streams without an attempt.
		KeepsOrphans bool
		// IgnoresSuspects disables the report and the refusal of content that crashes engines.
		IgnoresSuspects bool
		// IgnoresLeaving accepts new work on a leaving upstream, and of any role and model.
		IgnoresLeaving bool
		// OrdersAtOnce sends orders without waiting for running work to end or for a slot at the
		// weight store, and without confirming the revision after a pause.
		OrdersAtOnce bool
	}

	// Option configures a Controller.
	Option func(*Controller)
)

// NewController returns the controller of an engine. Run must be called for its periodic work.
// It uses random for probabilistic admission.
func NewController(s Settings, e port.Engine, store *configuration.Store, vms *vm.Table, random *rand.Rand, options ...Option) *Controller {
	c := &Controller{
		settings:        s,
		engine:          e,
		store:           store,
		vms:             vms,
		suspects:        quarantine.NewTable(),
		log:             event.Discard(),
		pushSuspects:    func() {},
		confirmRevision: func(context.Context) bool { return true },
		link:            transfer.NewLink(defaultLinkBytesPerS, transfer.WithMaxConcurrent(maxTransfers), transfer.WithStallAfter(stallAfter)),
		leases:          lease.NewTable(LeaseLength),
		prefilling:      make(chan struct{}, 1),
		probing:         make(chan struct{}, 1),
		workByKey:       make(map[string]*work),
		closed:          make(map[string]closedAttempt),
		queuedPrefills:  make(map[string]*queuedPrefill),
		transfers:       make(map[string]chan struct{}),
		executing:       make(map[*work]int),
		orphans:         make(map[string]time.Time),
		uncancelled:     make(map[string]bool),
	}
	c.memory.Store(decode.NewMemory(defaultPieces, defaultPieceTokens))
	c.limitEstimator.Store(decode.NewLimitEstimator(defaultBetweenTokens))
	c.limitTarget = defaultBetweenTokens
	c.queue = prefill.NewQueue(
		prefill.WithGate(admission.NewGate(random, admission.WithMargin(dispatch.Margin))),
		prefill.WithTimeAfterPrefill(c.timeAfterPrefill),
		prefill.WithTrialObserver(c.recordTrial))
	for _, o := range options {
		o(c)
	}
	return c
}

// WithLog sets the log for the controller's events. By default they are discarded.
func WithLog(log event.Log) Option {
	return func(c *Controller) { c.log = log }
}

// WithSuspects sets the table of suspects, to share it with other parts of the process.
func WithSuspects(t *quarantine.Table) Option {
	return func(c *Controller) { c.suspects = t }
}

// WithPushSuspects sets the function that sends new suspects to other processes. It is called on a
// goroutine of its own after each crash with suspects.
func WithPushSuspects(push func()) Option {
	return func(c *Controller) { c.pushSuspects = push }
}

// WithConfirmRevision sets the function that reports whether the configuration in force is the newest.
// After a pause of the process no order is sent before it returns true.
func WithConfirmRevision(confirm func(context.Context) bool) Option {
	return func(c *Controller) { c.confirmRevision = confirm }
}

// WithMemory sets the number of the engine's pieces and the tokens in each, until a load report
// replaces them.
func WithMemory(pieces, pieceTokens int) Option {
	return func(c *Controller) { c.memory.Store(decode.NewMemory(pieces, pieceTokens)) }
}

// WithNaive disables protections. Only tests use it.
func WithNaive(n Naive) Option {
	return func(c *Controller) { c.naive = n }
}

// Run probes the engine, expires leases, cancels orphans and sends orders until ctx is done.
func (c *Controller) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { c.every(ctx, expiryInterval, c.expiryTick) })
	wg.Go(func() { c.every(ctx, probeInterval, func() { c.probe(ctx) }) })
	wg.Go(func() { c.runSweeps(ctx) })
	wg.Go(func() { c.reconcile(ctx) })
	wg.Wait()
}

// Drain makes the controller refuse all new work. Running work continues.
func (c *Controller) Drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
}

// Running returns the number of attempts that are queued, reserved or decoding.
func (c *Controller) Running() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.workByKey)
}

// every calls do once in each interval until ctx is done.
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
