// Package gateway serves the HTTP requests of callers. It matches a request to a route, reserves memory
// at upstreams, chooses upstreams, decides whether a request may be sent again, and relays the answer.
//
// Upstreams manage their own reservations. The only state that outlives a request is the retry budgets,
// latency estimates and recently refused requests of each pool, the content suspected of crashing
// upstreams, and the observed health of upstreams.
package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"gooseberrypin.example/router/contention"
	"gooseberrypin.example/router/event"
	"gooseberrypin.example/router/ingress"
	"gooseberrypin.example/router/length"
	"gooseberrypin.example/router/memory"
	"gooseberrypin.example/router/migration"
	"gooseberrypin.example/router/pace"
	"gooseberrypin.example/router/quota"
	"gooseberrypin.example/router/refusal"
	"gooseberrypin.example/router/reservation"
	"gooseberrypin.example/router/retry"
	"gooseberrypin.example/router/revocation"
	"gooseberrypin.example/router/speed"
	"gooseberrypin.example/router/upstream"
)

const (
	// defaultRetryRatio is the number of retries that each request adds to the retry budget of its pool.
	defaultRetryRatio = 0.1
	// defaultRetryBurst is the largest number of unused retries in the budget of a pool.
	defaultRetryBurst = 10
	// defaultReservationLife applies to pools whose configuration sets no longest life of a reservation.
	// It covers a prefill.
	defaultReservationLife = time.Second
	// noUpstreamRetryAfter is the retry delay for callers of a pool without upstreams: a restart takes
	// about that long.
	noUpstreamRetryAfter = time.Second
	// noConfigurationRetryAfter is the retry delay for callers of an entry that has just started.
	noConfigurationRetryAfter = 500 * time.Millisecond
	// defaultAnswerBytes bounds the memory of all answers that are buffered at the same time.
	defaultAnswerBytes = 32 << 20
	// shutdownRetryAfter is the retry delay for callers of an entry that shuts down. It is short, as
	// other entries can serve the request.
	shutdownRetryAfter = 10 * time.Millisecond
)

type (
	// Gateway serves requests. It is safe for concurrent use.
	Gateway struct {
		rules          *ingress.Store
		directory      *upstream.Directory
		upstreams      Upstreams
		log            event.Log
		observe        Observer
		dataCentre     string
		retryRatio     float64
		retryBurst     int
		entries        func() int
		crashes        *crashDetector
		notifySuspects func()
		// answerMemory is for requests without memory of their own.
		answerMemory  *memory.Budget
		quota         Quota
		customerQuota CustomerQuota
		// peekQuota and peekCustomerQuota read what quota and customerQuota would decide.
		peekQuota         QuotaPeek
		peekCustomerQuota CustomerQuotaPeek
		checkKeys         KeyCheck
		// speeds holds the learned speeds of engines; nil if they are not learned.
		speeds *speed.Table
		// pace limits the work in flight at upstreams; nil if it is not limited.
		pace *pace.Limiter
		// moves moves running streams between engines; its mover is nil if they do not move.
		moves streamMoves
		// exceededShare is the share of outputs that may exceed what is reserved for them; 0 if a fixed multiple of the stated
		// length is reserved.
		exceededShare float64
		// contention reports whether generations compete for memory by their standing.
		contention bool
		// shares holds the fair shares of customers; nil if their loads are not known.
		shares *contention.Shares

		random *randomness

		mu       sync.Mutex
		pools    map[string]*poolState
		shutdown shutdown
	}

	// shutdown is a planned stop of the process. The zero value stands for none.
	shutdown struct {
		// end is when the process stops.
		end time.Time
		// lastGeneration is when the gateway stops admitting generations. The expected duration of a
		// generation is only an estimate, so it does not suffice to admit one shortly before the end.
		lastGeneration time.Time
	}

	// admission is by what a request is judged before its pool is chosen.
	admission struct {
		// table is nil without a configuration, and route nil if none matches.
		table *ingress.Table
		route *ingress.Route
		// customer is nil if no customers are in force, or on a public route without a known key.
		customer *ingress.Customer
	}

	// Option configures a gateway.
	Option func(*Gateway)

	// poolState is the state that all requests to one pool share.
	poolState struct {
		retryBudget *retry.Budget
		memoryQueue *reservation.Queue
		planner     *migration.Planner
		estimates   *estimates
		lengths     *length.Estimator
		// refused holds the refused generations that their callers may send again.
		refused refusedRequests
		order   poolOrder
	}
)

// New returns a gateway that serves requests by the current rules with the upstreams of the directory.
func New(rules *ingress.Store, directory *upstream.Directory, upstreams Upstreams, opts ...Option) *Gateway {
	g := &Gateway{
		rules:          rules,
		directory:      directory,
		upstreams:      upstreams,
		log:            event.Discard(),
		observe:        func(Record) {},
		retryRatio:     defaultRetryRatio,
		retryBurst:     defaultRetryBurst,
		entries:        func() int { return 1 },
		notifySuspects: func() {},
		answerMemory:   memory.NewBudget(defaultAnswerBytes),
		quota:          unlimited{},
		customerQuota:  unlimitedCustomers{},
		peekQuota:      func(string) quota.Decision { return quota.Allowed{} },
		peekCustomerQuota: func(string, float64) quota.CustomerPeek {
			return quota.CustomerPeek{Decision: quota.Allowed{}}
		},
		checkKeys: func() revocation.Verdict { return revocation.Trusted{} },
		random:    newRandomness(1),
		pools:     make(map[string]*poolState),
	}
	for _, opt := range opts {
		opt(g)
	}
	g.crashes = newCrashDetector(g.log, g.notifySuspects)
	return g
}

// WithLog sets the log.
func WithLog(log event.Log) Option {
	return func(g *Gateway) { g.log = log }
}

// WithObserver sets the function that receives the record of each finished request.
func WithObserver(observe Observer) Option {
	return func(g *Gateway) { g.observe = observe }
}

// WithDataCentre sets the data centre of the entry. Upstreams in the same data centre are preferred.
func WithDataCentre(name string) Option {
	return func(g *Gateway) { g.dataCentre = name }
}

// WithRetryRatio sets the number of retries that each request adds to the retry budget of its pool.
func WithRetryRatio(ratio float64) Option {
	return func(g *Gateway) { g.retryRatio = ratio }
}

// WithRetryBurst sets the largest number of unused retries in the budget of each pool.
func WithRetryBurst(retries int) Option {
	return func(g *Gateway) { g.retryBurst = retries }
}

// WithEntries sets the function that returns the number of entries that share the upstreams.
func WithEntries(entries func() int) Option {
	return func(g *Gateway) { g.entries = entries }
}

// WithAnswerBytes bounds the memory, in bytes, of all answers that are buffered at the same time for requests without memory
// of their own.
func WithAnswerBytes(bytes int64) Option {
	return func(g *Gateway) { g.answerMemory = memory.NewBudget(bytes) }
}

// WithSuspectNotifier sets the function that is called when the suspects changed and other entries should receive
// them soon.
func WithSuspectNotifier(notify func()) Option {
	return func(g *Gateway) { g.notifySuspects = notify }
}

// WithQuota sets what decides whether requests may be sent to upstreams that limit the requests of all entries together.
func WithQuota(q Quota) Option {
	return func(g *Gateway) { g.quota = q }
}

// WithSeed seeds the random choices.
func WithSeed(seed uint64) Option {
	return func(g *Gateway) { g.random = newRandomness(seed) }
}

// SetRetries changes the retry ratio and the retry burst of all pools, as WithRetryRatio and
// WithRetryBurst set them.
func (g *Gateway) SetRetries(ratio float64, burst int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.retryRatio, g.retryBurst = ratio, burst
	for _, s := range g.pools {
		s.retryBudget.SetFraction(ratio)
		s.retryBudget.SetBurst(burst)
	}
}

// BeginShutdown announces a planned stop of the process at the given end. From now on, the gateway refuses requests
// that may not finish by then, and generations that arrive after lastGeneration: another entry can serve
// them.
func (g *Gateway) BeginShutdown(lastGeneration, end time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.shutdown = shutdown{end: end, lastGeneration: lastGeneration}
}

// Serve answers a request through the reply. It returns nil after a complete answer. A refusal means that
// the caller has no answer yet, or an incomplete one if the reply has begun.
func (g *Gateway) Serve(ctx context.Context, r *Request, reply Reply) *refusal.Refusal {
	record := Record{Request: r}
	refused := g.serve(ctx, r, reply, &record)
	record.Refusal = refused
	record.Took = time.Since(r.Arrived)
	g.observe(record)
	g.logRequest(record)
	return refused
}

func (g *Gateway) serve(ctx context.Context, r *Request, reply Reply, record *Record) *refusal.Refusal {
	a, refused := g.admit(r, g.random)
	if a.table != nil {
		record.Version = a.table.Configuration.Version
	}
	record.Route = a.route
	if refused != nil {
		return refused
	}
	if a.customer != nil {
		record.Customer = a.customer.Name
	}
	record.Pool = g.random.pickPool(a.route)
	ctx, cancel := context.WithDeadline(ctx, r.deadline(a.route))
	defer cancel()
	held, release := g.allocation(r)
	defer release()
	w := &activeRequest{gateway: g, request: r, memory: held, table: a.table, route: a.route, customer: a.customer, pool: a.table.Configuration.Pools[record.Pool], reply: reply, record: record}
	w.poolState = g.poolState(w.pool)
	if refused := w.takeCustomerQuota(ctx); refused != nil {
		return refused
	}
	refused = w.serve(ctx)
	w.returnCustomerQuota(refused)
	return refused
}

// admit returns by what a request is judged, and a refusal if it may not be sent to any pool.
func (g *Gateway) admit(r *Request, random *randomness) (admission, *refusal.Refusal) {
	table, verdict := g.admissionTable()
	if table == nil {
		return admission{}, refusal.New(refusal.RanNo, refusal.NoConfiguration, noConfigurationRetryAfter, "no configuration yet")
	}
	route := table.Match(r.Host, r.Path)
	if route == nil {
		return admission{table: table}, refusal.New(refusal.RanNo, refusal.UnknownRule, 0, "no route for %s%s", r.Host, r.Path)
	}
	customer, refused := g.authenticate(r, table, route, verdict, random)
	return admission{table: table, route: route, customer: customer}, refused
}

// poolState returns the state of a pool, which it creates for the first request.
func (g *Gateway) poolState(p ingress.Pool) *poolState {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s, found := g.pools[p.Name]; found {
		return s
	}
	s := g.newPoolState(p, g.random.newRand())
	g.pools[p.Name] = s
	return s
}

// newPoolState returns the state of a pool without requests. The caller holds the lock.
func (g *Gateway) newPoolState(p ingress.Pool, random *rand.Rand) *poolState {
	s := &poolState{retryBudget: retry.NewBudget(g.retryRatio, retry.WithEmptyStart(), retry.WithBurst(g.retryBurst)), estimates: newEstimates(), lengths: length.NewEstimator(), planner: migration.NewPlanner()}
	decodeEngines := func() []*upstream.Member {
		return g.directory.Ready(p.Name, upstream.PhaseDecode, time.Now())
	}
	decodeSpeeds := func() *speed.View { return g.speedsOf(p.Name, upstream.PhaseDecode) }
	memoryTokens := 0
	if p.Engine != nil {
		memoryTokens = p.Engine.KVTokens
	}
	life := reservationLife(p)
	reserve := func(ctx context.Context, m *upstream.Member, tokens int) reservation.Outcome {
		return g.reserve(ctx, m, tokens, life)
	}
	s.memoryQueue = reservation.NewQueue(reserve, g.upstreams.FreeReservation, decodeEngines,
		reservation.WithRandom(random), reservation.WithEntries(g.entries),
		reservation.WithSpeeds(decodeSpeeds, memoryTokens))
	return s
}

// reservationLife returns how long the engines of a pool hold reserved memory until the decode request
// arrives.
func reservationLife(p ingress.Pool) time.Duration {
	if p.Engine != nil && p.Engine.MaxReservationLife > 0 {
		return p.Engine.MaxReservationLife
	}
	return defaultReservationLife
}

// refuseDuringShutdown refuses a request that a planned stop would truncate: one that takes longer than the
// time left, or one with an estimated duration that arrives after the last generation is admitted. It
// returns nil if the request may be served.
func (g *Gateway) refuseDuringShutdown(duration time.Duration, estimated bool) *refusal.Refusal {
	g.mu.Lock()
	s := g.shutdown
	g.mu.Unlock()
	now := time.Now()
	tooLate := now.Add(duration).After(s.end) || estimated && now.After(s.lastGeneration)
	if s.end.IsZero() || !tooLate {
		return nil
	}
	return refusal.New(refusal.RanNo, refusal.Leaving, shutdownRetryAfter, "the entry stops before the answer would end")
}
