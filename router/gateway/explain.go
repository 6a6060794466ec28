package gateway

import (
	"math/rand/v2"
	"time"

	"gooseberrypin.example/router/ingress"
	"gooseberrypin.example/router/pace"
	"gooseberrypin.example/router/quarantine"
	"gooseberrypin.example/router/quota"
	"gooseberrypin.example/router/refusal"
	"gooseberrypin.example/router/reservation"
	"gooseberrypin.example/router/speed"
	"gooseberrypin.example/router/upstream"
)

const (
	// usualDraw is the random number by which an explanation judges whether a request is within its customer's fair share:
	// the likelier outcome.
	usualDraw = 0.5
	// retryAfterResolution is how much two retry delays of one explanation may differ although they are not spread.
	retryAfterResolution = 10 * time.Millisecond
)

type (
	// QuotaPeek returns what Quota.Take would decide about a request to an incarnation, without taking it. It returns nil if
	// another entry would be asked.
	QuotaPeek func(incarnation string) quota.Decision

	// CustomerQuotaPeek returns what CustomerQuota.Take would decide about a request of a customer, without taking it.
	CustomerQuotaPeek func(customer string, amount float64) quota.CustomerPeek

	// peek is what a request that is only explained uses instead of what requests share, so that it changes nothing.
	peek struct {
		random *randomness
		pace   *pace.Limiter
	}

	// explainedRequest is a request that is explained for one pool.
	explainedRequest struct {
		*activeRequest
		result *PoolExplanation
		now    time.Time
	}
)

// WithPeeks sets the functions by which explanations read quotas. By default there are no quotas.
func WithPeeks(upstreams QuotaPeek, customers CustomerQuotaPeek) Option {
	return func(g *Gateway) { g.peekQuota, g.peekCustomerQuota = upstreams, customers }
}

// Explain returns what would happen to a request that arrived now. It makes the decisions of Serve without sending anything,
// and changes no state. It doesn't retain the request.
func (g *Gateway) Explain(r *Request) Explanation {
	draw := usualDraw
	p := &peek{random: newRandomness(rand.Uint64()), pace: g.pace.Peek()}
	p.random.fixed = &draw
	e := Explanation{}
	a, refused := g.admit(r, p.random)
	if a.table != nil {
		e.Version, e.CustomersInForce = a.table.Configuration.Version, a.table.HasCustomers()
	}
	if a.route != nil {
		e.Route, e.Kind, e.Priority = a.route.Name, kindName(a.route.Kind), a.route.Priority
		e.Rank = a.table.Rank(a.customer, a.route)
	}
	if a.customer != nil {
		e.Customer = a.customer.Name
	}
	if refused != nil {
		e.Refusal = p.expect(func() *refusal.Refusal {
			if _, again := g.admit(r, p.random); again != nil {
				return again
			}
			return refused
		})
		return e
	}
	total := 0
	for _, s := range a.route.Shares {
		total += s.Weight
	}
	served := false
	for _, s := range a.route.Shares {
		if s.Weight == 0 {
			continue
		}
		ar := g.explained(r, a, s.Pool, p)
		if e.Content == nil {
			ar.explainQuota(&e)
			ar.explainContent(&e)
		}
		pool := PoolExplanation{Pool: s.Pool, Chance: float64(s.Weight) / float64(max(1, total))}
		explained := &explainedRequest{activeRequest: ar, result: &pool, now: time.Now()}
		explained.explain()
		served = served || pool.Refusal == nil
		e.Pools = append(e.Pools, pool)
	}
	if e.Refusal == nil && !served {
		e.Refusal = e.Pools[0].Refusal
	}
	return e
}

// explained returns a request that is explained for a pool.
func (g *Gateway) explained(r *Request, a admission, pool string, p *peek) *activeRequest {
	request := *r
	ar := &activeRequest{
		gateway: g, request: &request, table: a.table, route: a.route, customer: a.customer, pool: a.table.Configuration.Pools[pool],
		record: &Record{Request: &request, Route: a.route, Pool: pool}, peek: p,
	}
	ar.poolState = g.peekPoolState(ar.pool)
	return ar
}

// peekPoolState returns the state of a pool, or a new one if there is none yet.
func (g *Gateway) peekPoolState(p ingress.Pool) *poolState {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s, found := g.pools[p.Name]; found {
		return s
	}
	return g.newPoolState(p, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
}

// peekSpeeds returns what speedsOf would return.
func (g *Gateway) peekSpeeds(pool string, phase upstream.Phase) *speed.View {
	published := func() []*upstream.Member { return g.directory.Published(pool, phase) }
	return g.speeds.Peek(published, pool, phase, time.Now())
}

// random returns the source of the random choices for the request.
func (ar *activeRequest) random() *randomness {
	if ar.peek != nil {
		return ar.peek.random
	}
	return ar.gateway.random
}

// paceLimiter returns the limiter that decides where the request may be sent.
func (ar *activeRequest) paceLimiter() *pace.Limiter {
	if ar.peek != nil {
		return ar.peek.pace
	}
	return ar.gateway.pace
}

// expect returns a refusal with the bounds of its retry delay, which refuse may draw at random. It returns nil for no refusal.
func (p *peek) expect(refuse func() *refusal.Refusal) *ExpectedRefusal {
	usual := *p.random.fixed
	defer func() { *p.random.fixed = usual }()
	*p.random.fixed = 0
	least := refuse()
	if least == nil {
		return nil
	}
	*p.random.fixed = 1
	shortest, longest := least.RetryAfter, least.RetryAfter
	if other := refuse(); other != nil && (other.RetryAfter-shortest).Abs() > retryAfterResolution {
		shortest, longest = min(shortest, other.RetryAfter), max(longest, other.RetryAfter)
	}
	return &ExpectedRefusal{
		Reason: least.Reason.String(), RetryAfterMS: shortest.Milliseconds(), MaxRetryAfterMS: longest.Milliseconds(), Why: least.Message,
		refusal: least,
	}
}

// explainQuota explains the quota of the customer.
func (ar *activeRequest) explainQuota(e *Explanation) {
	if ar.customer == nil {
		return
	}
	ar.charge.amount = quotaAmount(ar.customer.Quota, ar.request)
	p := ar.gateway.peekCustomerQuota(ar.customer.Name, ar.charge.amount)
	e.Quota = &QuotaState{
		Unit: ar.customer.Quota.Unit.String(), Amount: ar.charge.amount, PerSecond: p.Limit.PerSecond, Burst: p.Limit.Burst,
		Held: p.Held, OwnPart: p.OwnPart, Asks: p.Asks,
	}
	switch d := p.Decision.(type) {
	case quota.Allowed:
		e.Quota.Allowed = true
	case quota.Denied:
		e.Refusal = ar.peek.expect(func() *refusal.Refusal { return ar.refuseBeyondQuota(d) })
	}
}

// explainContent explains whether the content is quarantined.
func (ar *activeRequest) explainContent(e *Explanation) {
	refused := ar.checkContents()
	verdict, content := ar.gateway.crashes.table.CheckRequest(ar.contents, time.Now())
	e.Content = &ContentState{Content: content.Name}
	switch v := verdict.(type) {
	case quarantine.Free:
		e.Content.Verdict = "free"
	case quarantine.Suspected:
		e.Content.Verdict = "suspected"
	case quarantine.Quarantined:
		e.Content.Verdict, e.Content.RemainingMS = "quarantined", v.Remaining.Milliseconds()
	}
	if refused != nil && e.Refusal == nil {
		e.Refusal = ar.peek.expect(func() *refusal.Refusal { return ar.refuseQuarantined(refusal.RanNo) })
	}
}

// explain explains what would happen in the pool.
func (x *explainedRequest) explain() {
	switch x.route.Kind.(type) {
	case ingress.Streaming:
		x.explainGeneration()
	case ingress.Idempotent, ingress.NonIdempotent:
		x.refuseIf(func() *refusal.Refusal { return x.gateway.refuseDuringShutdown(x.remaining(), false) })
		x.explainService(x.refuseUnsent)
	}
}

// refuseIf records a refusal, unless there is one already or refuse returns nil.
func (x *explainedRequest) refuseIf(refuse func() *refusal.Refusal) {
	if x.result.Refusal == nil {
		x.result.Refusal = x.peek.expect(refuse)
	}
}

// explainService explains the choice of an upstream without phases. refuse refuses the request if there is none.
func (x *explainedRequest) explainService(refuse func(limited time.Duration) *refusal.Refusal) {
	members, retryAfter := x.gateway.services(x.pool.Name)
	allowed := members
	if len(members) > 0 {
		if allowed = x.paceLimiter().Allowed(members, x.now); len(allowed) == 0 {
			x.result.WaitsMS = x.paceWait().Milliseconds()
			retryAfter = fullRetryAfter
		}
	}
	excluded := make(map[string]bool)
	m, limited := x.selectService(allowed, retryAfter, excluded, x.limitedFor)
	phase := x.phase(upstream.PhaseNone, members, allowed)
	for _, other := range allowed {
		excluded[other.ID] = x.limitedFor(other) > 0
	}
	weights := make(map[string]float64)
	for _, other := range cheapest(allowed, excluded, serviceCost(x.gateway.dataCentre)) {
		weights[other.ID] = 1
	}
	phase.weigh(weights)
	x.result.Phases = append(x.result.Phases, phase)
	if m == nil {
		x.refuseIf(func() *refusal.Refusal { return refuse(limited) })
	}
}

// limitedFor returns how long the stated limit of an upstream leaves no request to this entry, as far as it knows.
func (x *explainedRequest) limitedFor(m *upstream.Member) time.Duration {
	if d, ok := x.gateway.peekQuota(m.Incarnation()).(quota.Denied); ok {
		return max(d.RetryAfter, time.Millisecond)
	}
	return 0
}

// explainGeneration explains the choice of engines for a generation, in the order in which they are chosen: first the one that
// decodes, then the one that prefills the prompt.
func (x *explainedRequest) explainGeneration() {
	n := &generation{activeRequest: x.activeRequest, ran: refusal.RanNo}
	x.refuseIf(n.admit)
	n.identify()
	engines := x.gateway.directory.Published(x.pool.Name, upstream.PhaseDecode)
	if len(engines) == 0 {
		x.explainService(n.refuseUnplaced)
		return
	}
	if limited := n.limitedBeyondWait(x.now); limited > 0 {
		x.refuseIf(func() *refusal.Refusal { return n.refuseLimited(n.ran, limited) })
	}
	speeds := n.speedsOf(upstream.PhaseDecode)
	w := n.waiter()
	f := n.poolState.memoryQueue.Peek(w, speeds, x.now)
	x.result.Memory = &MemoryState{
		Tokens: w.Tokens, Waiting: f.Waiting, Ahead: f.Ahead, AsksNow: f.Attempts, ExpectedWaitMS: f.Wait.Milliseconds(),
		MaxWaitMS: max(0, w.Expires.Sub(x.now)).Milliseconds(), WithinShare: n.withinShare(), Denial: string(f.Denial),
	}
	if f.Denial != reservation.NotDenied {
		x.refuseIf(n.refuseFull)
	}
	decode := x.phase(upstream.PhaseDecode, engines, engines)
	if speeds.Uneven() {
		decode.By = BySpeed
	}
	weights := make(map[string]float64)
	var likeliest *upstream.Member
	for _, c := range f.Candidates {
		decode.setObstacle(c)
		weights[c.Member.ID] = c.Weight
		if c.Weight > 0 && (likeliest == nil || c.Weight > weights[likeliest.ID]) {
			likeliest = c.Member
		}
	}
	decode.weigh(weights)
	x.result.Phases = append(x.result.Phases, decode)
	if likeliest == nil {
		likeliest = engines[0]
	}
	x.explainPrefill(n, likeliest)
}

// explainPrefill explains the choice of a prefill engine for a generation that is granted memory at a decode engine.
func (x *explainedRequest) explainPrefill(n *generation, decode *upstream.Member) {
	members := x.gateway.directory.Ready(x.pool.Name, upstream.PhasePrefill, x.now)
	allowed := n.pacedPrefills(members)
	phase := x.phase(upstream.PhasePrefill, members, allowed)
	excluded := make(map[string]bool)
	for _, m := range allowed {
		excluded[m.ID] = x.limitedFor(m) > 0
	}
	weights := make(map[string]float64)
	if speeds := n.speedsOf(upstream.PhasePrefill); speeds.Uneven() {
		phase.By = BySpeed
		for _, m := range allowed {
			if !excluded[m.ID] {
				weights[m.ID] = soonestWeight(speeds, m, decode.DataCentre, n.request.Generation.PromptTokens)
			}
		}
	} else {
		for _, m := range cheapest(allowed, excluded, prefillCost(decode.DataCentre)) {
			weights[m.ID] = 1
		}
	}
	phase.weigh(weights)
	switch m := heaviest(allowed, weights); {
	case m == nil:
		phase.Skipped = "no prefill engine may get the prompt; the decode engine reads it"
	case n.decodeEnginePrefillsSooner(m, members, decode):
		phase.Skipped = "the decode engine reads the prompt sooner"
	}
	x.result.Phases = append(x.result.Phases, phase)
}

// heaviest returns the member with the largest weight, or nil if none has one.
func heaviest(members []*upstream.Member, weights map[string]float64) *upstream.Member {
	var best *upstream.Member
	for _, m := range members {
		if w := weights[m.ID]; w > 0 && (best == nil || w > weights[best.ID]) {
			best = m
		}
	}
	return best
}

// phase returns the upstreams of a phase with their states. usable are those that may get requests, and allowed those of them
// that are below their pace limits.
func (x *explainedRequest) phase(phase upstream.Phase, usable, allowed []*upstream.Member) PhaseExplanation {
	e := PhaseExplanation{Phase: phase.String(), By: ByLoad, Candidates: []CandidateState{}}
	below, considered := make(map[string]bool), make(map[string]bool)
	for _, m := range usable {
		considered[m.ID] = true
	}
	for _, m := range allowed {
		below[m.ID] = true
	}
	speeds := x.gateway.peekSpeeds(x.pool.Name, phase)
	for _, m := range x.gateway.directory.InRole(x.pool.Name, phase) {
		e.Candidates = append(e.Candidates, x.candidate(m, speeds, considered[m.ID] && !below[m.ID]))
	}
	return e
}

// candidate returns the state of an upstream.
func (x *explainedRequest) candidate(m *upstream.Member, speeds *speed.View, atPaceLimit bool) CandidateState {
	load := m.Load()
	condition, until := m.Condition(x.now)
	c := CandidateState{Upstream: m.ID, DataCentre: m.DataCentre, State: string(condition), InFlight: load.Requests, Tokens: load.Tokens}
	decision := x.gateway.peekQuota(m.Incarnation())
	c.AsksOwner = decision == nil
	if d, ok := decision.(quota.Denied); ok && condition == upstream.Usable {
		c.State, until = Limited, x.now.Add(d.RetryAfter)
	}
	if atPaceLimit && c.State == string(upstream.Usable) {
		c.State = AtPaceLimit
	}
	if !until.IsZero() {
		c.Until = &until
	}
	if age, found := x.gateway.speeds.Age(m.Upstream, x.now); found {
		c.PerTokenUS, c.SpeedAgeMS = float64(speeds.PerToken(m))/float64(time.Microsecond), age.Milliseconds()
	}
	if m.Phase != upstream.PhaseDecode {
		c.PaceLimit, c.PaceShare = x.paceLimiter().Limit(m.Upstream, x.now)
	}
	return c
}

// weigh sets the weights of the candidates, which then add up to 1.
func (e *PhaseExplanation) weigh(weights map[string]float64) {
	total, weighted := 0.0, 0
	for _, w := range weights {
		total += w
	}
	for i := range e.Candidates {
		c := &e.Candidates[i]
		if w := weights[c.Upstream]; w > 0 {
			c.Weight = w / total
			e.Chosen = c.Upstream
			weighted++
		}
	}
	if weighted > 1 {
		e.Chosen = ""
	}
}

// setObstacle sets why an engine is not asked for decode memory.
func (e *PhaseExplanation) setObstacle(from reservation.Candidate) {
	for i := range e.Candidates {
		if c := &e.Candidates[i]; c.Upstream == from.Member.ID {
			c.Obstacle = string(from.Obstacle)
			if !from.Until.IsZero() {
				c.ObstacleUntil = &from.Until
			}
		}
	}
}
