// Package dispatch performs an entry's admission control for the requests of a model. It chooses their prefill
// upstreams and the order in which they are assigned decode memory.
package dispatch

import (
	"math/rand/v2"
	"sync"
	"time"

	"gooseberrypin.example/router/admission"
	"gooseberrypin.example/router/decode"
	"gooseberrypin.example/router/prefill"
	"gooseberrypin.example/router/refusal"
	"gooseberrypin.example/router/share"
)

const (
	// Margin is the minimum time between a predicted first token and its deadline.
	Margin = 10 * time.Millisecond
	// TransferCostPerToken is the transfer time of the KV cache of one token.
	TransferCostPerToken = 13 * time.Microsecond

	defaultFirstToken    = 380 * time.Millisecond
	defaultBetweenTokens = 37 * time.Millisecond
	defaultPieceTokens   = 4096
	defaultOutput        = 256
	defaultOverhead      = 2 * time.Millisecond
	outputSmoothing      = 0.02
	// maxSparePressure is the pressure up to which late requests are admitted, because they displace no other request.
	maxSparePressure     = 0.85
	noCapacityRetryAfter = 200 * time.Millisecond
)

type (
	// Pools are the upstreams that a model's requests may use at present.
	Pools struct {
		Prefills []string
		Decodes  []string
		// SharingEntries is the estimated number of entries that use the same decode upstreams, including this one.
		SharingEntries int
	}

	// Request describes a request for admission.
	Request struct {
		// Key identifies the request. A resent request has the same key.
		Key     string
		Partner string
		// Weight is the weight of the partner's share.
		Weight float64
		Prompt prefill.Prompt
		// Continued reports whether the answer already has tokens. The deadline of a continued request counts from its
		// admission and not from its first arrival.
		Continued bool
	}

	// Option configures a Dispatcher.
	Option func(*Dispatcher)

	// Dispatcher admits the requests of one model at one entry and assigns upstreams to them. It is safe for
	// concurrent use.
	Dispatcher struct {
		prefills *prefill.Chooser
		decodes  *decode.Chooser
		gate     *admission.Gate
		arrivals *admission.Arrivals
		limiter  *share.Limiter

		firstTokenTarget     time.Duration
		betweenTokensTarget  time.Duration
		margin               time.Duration
		overhead             time.Duration
		transferCostPerToken time.Duration
		pieceTokens          int

		mu sync.Mutex
		// meanOutput is the smoothed length of an answer, in tokens.
		meanOutput float64
		// pending is the number of admitted requests without decode memory.
		pending int
		// waiting are the tickets in the queue for decode memory.
		waiting []*Ticket
	}
)

// New returns a dispatcher without load reports. It seeds its random sources from random.
func New(random *rand.Rand, opts ...Option) *Dispatcher {
	fork := func() *rand.Rand { return rand.New(rand.NewPCG(random.Uint64(), random.Uint64())) }
	d := &Dispatcher{
		prefills:             prefill.NewChooser(fork()),
		decodes:              decode.NewChooser(fork()),
		arrivals:             admission.NewArrivals(),
		limiter:              share.NewLimiter(fork()),
		firstTokenTarget:     defaultFirstToken,
		betweenTokensTarget:  defaultBetweenTokens,
		margin:               Margin,
		overhead:             defaultOverhead,
		transferCostPerToken: TransferCostPerToken,
		pieceTokens:          defaultPieceTokens,
		meanOutput:           defaultOutput,
	}
	for _, opt := range opts {
		opt(d)
	}
	d.gate = admission.NewGate(fork(), admission.WithMargin(d.margin))
	return d
}

// WithChoosers sets the choosers of the prefill and decode upstreams.
func WithChoosers(p *prefill.Chooser, c *decode.Chooser) Option {
	return func(d *Dispatcher) { d.prefills, d.decodes = p, c }
}

// WithTargets sets the latency targets for the time to first token and the time between tokens. The defaults are
// 380 ms and 37 ms.
func WithTargets(firstToken, betweenTokens time.Duration) Option {
	return func(d *Dispatcher) { d.firstTokenTarget, d.betweenTokensTarget = firstToken, betweenTokens }
}

// WithTransferCostPerToken sets the transfer time of the KV cache of one token. The default is
// TransferCostPerToken.
func WithTransferCostPerToken(token time.Duration) Option {
	return func(d *Dispatcher) { d.transferCostPerToken = token }
}

// WithOverhead sets the total latency of messages between the arrival and the first token. The default is 2 ms.
func WithOverhead(overhead time.Duration) Option {
	return func(d *Dispatcher) { d.overhead = overhead }
}

// WithPieceTokens sets the size of a piece of decode memory in tokens. The default is 4096.
func WithPieceTokens(tokens int) Option {
	return func(d *Dispatcher) { d.pieceTokens = tokens }
}

// Admit admits a request whose first token is predicted to meet its deadline. It also admits a late request while
// the pressure is low, because that request displaces no other. A resent request keeps the deadline of its first
// arrival, unless it is continued. A refused request did not run.
func (d *Dispatcher) Admit(r Request, p Pools, now time.Time) (*Ticket, *refusal.Refusal) {
	first, resent := d.arrivals.First(r.Key, now)
	deadline := first.Add(d.firstTokenTarget)
	if r.Continued {
		deadline = now.Add(d.firstTokenTarget)
	}
	pressure := d.pressure(p)
	if now.After(deadline) && pressure > maxSparePressure {
		return nil, d.gate.Shed(now.Sub(deadline))
	}
	takenTokens, refused := d.takeShare(r, resent, pressure, p.SharingEntries, now)
	if refused != nil {
		return nil, refused
	}
	t := &Ticket{request: r, Deadline: deadline}
	if refused := d.forecast(t, p, pressure, now); refused != nil {
		d.limiter.Refund(r.Partner, takenTokens)
		return nil, refused
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	t.pending = true
	d.pending++
	return t, nil
}

// ObservePrefill records the load of a prefill upstream.
func (d *Dispatcher) ObservePrefill(h prefill.Hint) {
	d.prefills.Observe(h)
}

// ObserveDecode records the load of a decode upstream. It sets the token rate that partners share from the stream
// limits of all decode upstreams.
func (d *Dispatcher) ObserveDecode(h decode.Hint, decodes []string) {
	d.decodes.Observe(h)
	if _, limit := d.decodes.Load(decodes); limit > 0 {
		d.limiter.SetRate(float64(limit) / d.betweenTokensTarget.Seconds())
	}
}

// Forget replaces the recorded load of an upstream, so that it is chosen again: its decode hint is removed, and it
// counts as a prefill upstream that accepts work and has no queue.
func (d *Dispatcher) Forget(upstream string, now time.Time) {
	d.decodes.Forget(upstream)
	d.prefills.Observe(prefill.Hint{Upstream: upstream, Accepting: true, At: now})
}

// TransferTime returns the predicted transfer time of the KV cache of a number of tokens to the decode upstream.
func (d *Dispatcher) TransferTime(tokens int) time.Duration {
	return time.Duration(tokens) * d.transferCostPerToken
}

// forecast chooses a ticket's prefill upstream and predicts the time of the first token. It refuses a request that
// would miss its deadline, unless the pressure is low. In that case it marks the ticket as late and extends its deadline.
func (d *Dispatcher) forecast(t *Ticket, p Pools, pressure float64, now time.Time) *refusal.Refusal {
	spare := pressure <= maxSparePressure
	wait := d.decodes.PredictedWait(d.waitingAhead(p), p.Decodes, now)
	f := admission.Forecast{
		QueueDelay: wait,
		Transfer:   d.TransferTime(t.request.Prompt.Tokens) + d.overhead,
		FirstStep:  d.firstStep(),
		Deadline:   t.Deadline,
	}
	if refused := d.gate.Admit(f, now); refused != nil && !spare {
		return refused
	}
	choice, found := d.prefills.Choose(t.request.Prompt, p.Prefills, now)
	if !found {
		return refusal.New(refusal.RanNo, refusal.Overloaded, noCapacityRetryAfter, "no prefill upstream accepts work")
	}
	t.Choice = choice
	f.QueueDelay = max(wait, choice.Delay) + d.overhead
	f.Prefill = choice.Predicted - choice.Delay
	if refused := d.gate.Admit(f, now); refused != nil {
		if !spare {
			d.prefills.Withdraw(t.request.Prompt, choice)
			return refused
		}
		t.Late = true
		t.Deadline = now.Add(f.Total() + d.firstTokenTarget)
	}
	return nil
}

// takeShare charges a request's predicted output to its partner's share and returns the number of tokens charged.
func (d *Dispatcher) takeShare(r Request, resent bool, pressure float64, sharingEntries int, now time.Time) (int, *refusal.Refusal) {
	d.mu.Lock()
	output := int(d.meanOutput)
	d.mu.Unlock()
	d.limiter.SetPressure(pressure)
	take := d.limiter.Take
	if resent {
		take = d.limiter.TakeResend
	}
	return output, take(r.Partner, r.Weight, output, sharingEntries, now)
}

// pressure returns the utilization of the decode upstreams: the streams in use and those admitted without decode
// memory, as a fraction of the stream limit.
func (d *Dispatcher) pressure(p Pools) float64 {
	running, limit := d.decodes.Load(p.Decodes)
	return float64(running+d.waitingAhead(p)) / float64(max(1, limit))
}

// waitingAhead returns the estimated number of requests of all entries that wait for decode memory. It assumes that
// all entries have as many as this one.
func (d *Dispatcher) waitingAhead(p Pools) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pending * p.SharingEntries
}

// firstStep returns FirstStep at the dispatcher's target.
func (d *Dispatcher) firstStep() time.Duration {
	return FirstStep(d.betweenTokensTarget)
}

// FirstStep returns the mean time from joining a batch to the first token, one and a half steps, for a time between
// tokens.
func FirstStep(betweenTokens time.Duration) time.Duration {
	return betweenTokens * 3 / 2
}
