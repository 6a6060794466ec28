// Package gateway serves the HTTP requests of callers in front of upstreams that hold their own
// reservations: it finds the route, chooses upstreams, decides what may be sent again, and relays
// answers. It keeps no state beyond a request but what it has seen of upstreams.
package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"gooseberrypin.example/router/event"
	"gooseberrypin.example/router/ingress"
	"gooseberrypin.example/router/line"
	"gooseberrypin.example/router/refusal"
	"gooseberrypin.example/router/retry"
	"gooseberrypin.example/router/upstream"
)

const (
	// defaultRetryRatio is the share of requests that may be sent once more.
	defaultRetryRatio = 0.1
	// defaultRetryBurst is the number of retries that an entry saves up for a pool.
	defaultRetryBurst = 10
	// defaultReservationLife covers a prefill where engines state no bound.
	defaultReservationLife = time.Second
	// noUpstreamRetry is when a caller comes back to a pool that has no upstream: a restart
	// takes about that long.
	noUpstreamRetry = time.Second
	// noConfigurationRetry is when a caller comes back to an entry that has just started.
	noConfigurationRetry = 500 * time.Millisecond
	// defaultAnswerBytes is what all answers of plain services that are being read may take together.
	defaultAnswerBytes = 32 << 20
	// leavingRetry is when a caller comes back from an entry that stops: others are there.
	leavingRetry = 10 * time.Millisecond
)

type (
	// Gateway serves requests. It is safe for concurrent use.
	Gateway struct {
		rules      *ingress.Store
		directory  *upstream.Directory
		upstreams  Upstreams
		log        event.Log
		observe    Observer
		dataCentre string
		retryRatio float64
		retryBurst int
		entries    func() int
		crashes    *crashes
		news       func()
		answers    allowance

		mu      sync.Mutex
		random  *rand.Rand
		pools   map[string]*pool
		leaving leave
	}

	// leave is a planned stop.
	leave struct {
		// end is when the process stops; zero: it does not.
		end time.Time
		// last is when the last generation is taken, as its length is only a guess.
		last time.Time
	}

	// Option changes a gateway.
	Option func(*Gateway)

	// pool is what the gateway keeps for one pool.
	pool struct {
		budget *retry.Budget
		line   *line.Queue
		pace   *pace
		// returns are refused generations that may come back.
		returns returns
	}
)

// New returns a gateway that follows the rules in force and the directory.
func New(rules *ingress.Store, directory *upstream.Directory, upstreams Upstreams, opts ...Option) *Gateway {
	g := &Gateway{
		rules:      rules,
		directory:  directory,
		upstreams:  upstreams,
		log:        event.Discard(),
		observe:    func(Record) {},
		retryRatio: defaultRetryRatio,
		retryBurst: defaultRetryBurst,
		entries:    func() int { return 1 },
		news:       func() {},
		answers:    allowance{most: defaultAnswerBytes},
		random:     rand.New(rand.NewPCG(1, 1)),
		pools:      make(map[string]*pool),
	}
	for _, opt := range opts {
		opt(g)
	}
	g.crashes = newCrashes(g.log, g.news)
	return g
}

// WithLog sets the log.
func WithLog(log event.Log) Option {
	return func(g *Gateway) { g.log = log }
}

// WithObserver sets what is told of each finished request.
func WithObserver(observe Observer) Option {
	return func(g *Gateway) { g.observe = observe }
}

// WithDataCentre sets where the entry is, so that close upstreams are preferred.
func WithDataCentre(name string) Option {
	return func(g *Gateway) { g.dataCentre = name }
}

// WithRetryRatio sets the share of requests that may be sent once more.
func WithRetryRatio(ratio float64) Option {
	return func(g *Gateway) { g.retryRatio = ratio }
}

// WithRetryBurst sets how many retries are saved up for each pool.
func WithRetryBurst(retries int) Option {
	return func(g *Gateway) { g.retryBurst = retries }
}

// WithEntries sets what tells how many entries share the upstreams.
func WithEntries(entries func() int) Option {
	return func(g *Gateway) { g.entries = entries }
}

// WithAnswerBytes bounds the memory of the answers that are being read.
func WithAnswerBytes(bytes int64) Option {
	return func(g *Gateway) { g.answers.most = bytes }
}

// WithSuspectNotifier sets what is called when other entries should hear soon of content that crashes upstreams.
func WithSuspectNotifier(tell func()) Option {
	return func(g *Gateway) { g.news = tell }
}

// WithSeed seeds the random choices.
func WithSeed(seed uint64) Option {
	return func(g *Gateway) { g.random = rand.New(rand.NewPCG(seed, seed)) }
}

// SetRetries changes the share of requests that may be sent once more, and how many retries are saved
// up for each pool.
func (g *Gateway) SetRetries(ratio float64, burst int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.retryRatio, g.retryBurst = ratio, burst
	for _, s := range g.pools {
		s.budget.SetFraction(ratio)
		s.budget.SetBurst(burst)
	}
}

// BeginShutdown begins a planned stop that ends by the given time. Requests that would outlast it, and
// generations that come after last, are refused, as another entry can serve them.
func (g *Gateway) BeginShutdown(last, end time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaving = leave{end: end, last: last}
}

// Serve answers a request through the reply. A refusal tells what remains to be told the caller;
// with a reply that has begun, that the answer is not whole.
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
	table := g.rules.Current()
	if table == nil {
		return refusal.New(refusal.RanNo, refusal.NoConfiguration, noConfigurationRetry, "no configuration yet")
	}
	record.Version = table.Configuration.Version
	route := table.Match(r.Host, r.Path)
	if route == nil {
		return refusal.New(refusal.RanNo, refusal.UnknownRule, 0, "no route for %s%s", r.Host, r.Path)
	}
	record.Route = route
	g.mu.Lock()
	record.Pool = route.Pick(g.random)
	g.mu.Unlock()
	ctx, cancel := context.WithDeadline(ctx, r.end(route))
	defer cancel()
	w := &work{gateway: g, request: r, route: route, pool: table.Configuration.Pools[record.Pool], reply: reply, record: record}
	w.shared = g.shared(w.pool)
	w.shared.budget.Try()
	w.contents = r.contents()
	if refused := w.kept(refusal.RanNo); refused != nil {
		return refused
	}
	switch route.Kind.(type) {
	case ingress.Streaming:
		return w.generate(ctx)
	case ingress.Idempotent, ingress.NonIdempotent:
		return w.call(ctx)
	}
	return refusal.New(refusal.RanNo, refusal.UnknownRule, 0, "route of an unknown kind")
}

// shared returns what all requests to a pool share.
func (g *Gateway) shared(p ingress.Pool) *pool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s, found := g.pools[p.Name]; found {
		return s
	}
	s := &pool{budget: retry.NewBudget(g.retryRatio, retry.WithEmptyStart(), retry.WithBurst(g.retryBurst)), pace: newPace()}
	members := func() []*upstream.Member {
		return g.directory.Ready(p.Name, upstream.PhaseDecode, time.Now())
	}
	life := reservationLife(p)
	reserve := func(ctx context.Context, m *upstream.Member, tokens int) line.Outcome {
		return g.reserve(ctx, m, tokens, life)
	}
	s.line = line.NewQueue(reserve, g.upstreams.FreeReservation, members,
		line.WithRandom(rand.New(rand.NewPCG(g.random.Uint64(), g.random.Uint64()))), line.WithEntries(g.entries))
	g.pools[p.Name] = s
	return s
}

// reservationLife is how long a pool's engines hold memory for a decode that is on its way.
func reservationLife(p ingress.Pool) time.Duration {
	if p.Engine != nil && p.Engine.MaxReservation > 0 {
		return p.Engine.MaxReservation
	}
	return defaultReservationLife
}

// refuseLeaving refuses a request that a planned stop would cut. A guess may be wrong, which is
// why it is not enough for a request that comes late.
func (g *Gateway) refuseLeaving(length time.Duration, guess bool) *refusal.Refusal {
	g.mu.Lock()
	l := g.leaving
	g.mu.Unlock()
	now := time.Now()
	cut := now.Add(length).After(l.end) || guess && now.After(l.last)
	if l.end.IsZero() || !cut {
		return nil
	}
	return refusal.New(refusal.RanNo, refusal.Leaving, leavingRetry, "the entry stops before the answer would end")
}
