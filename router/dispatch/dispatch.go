// Package dispatch decides for an entry which requests of a model begin, at which prefill
// upstream, and in which order they get decode memory.
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
	// Margin is by how much a first token must be predicted before its deadline.
	Margin = 10 * time.Millisecond
	// TransferCostPerToken is the time that the transfer of a token's KV cache takes.
	TransferCostPerToken = 13 * time.Microsecond

	defaultFirstToken    = 380 * time.Millisecond
	defaultBetweenTokens = 37 * time.Millisecond
	defaultPieceTokens   = 4096
	defaultOutput        = 256
	defaultOverhead      = 2 * time.Millisecond
	outputWeight         = 0.02
	// sparePressure is up to where late work displaces nobody.
	sparePressure = 0.85
	noRoomRetry   = 200 * time.Millisecond
)

type (
	// Pools are the upstreams that a model's requests may use now.
	Pools struct {
		Prefills []string
		Decodes  []string
		// SharingEntries is the number of entries that use the same decode upstreams.
		SharingEntries int
	}

	// Request is what a decision needs to know.
	Request struct {
		Key     string
		Partner string
		Weight  float64
		Prompt  prefill.Prompt
		// Continued requests have tokens already; their next token is due from now on.
		Continued bool
	}

	// Option changes a dispatcher.
	Option func(*Dispatcher)

	// Dispatcher decides for the requests of one model at one entry. It is safe for
	// concurrent use.
	Dispatcher struct {
		prefills *prefill.Chooser
		decodes  *decode.Chooser
		gate     *admission.Gate
		arrivals *admission.Arrivals
		limiter  *share.Limiter

		firstToken    time.Duration
		betweenTokens time.Duration
		margin        time.Duration
		overhead      time.Duration
		transferCost  time.Duration
		pieceTokens   int

		mu sync.Mutex
		// output is the mean length of an answer, in tokens.
		output float64
		// pending counts the admitted requests that have no decode memory yet.
		pending int
		line    []*Ticket
	}
)

// New returns a dispatcher that draws from random.
func New(random *rand.Rand, opts ...Option) *Dispatcher {
	fork := func() *rand.Rand { return rand.New(rand.NewPCG(random.Uint64(), random.Uint64())) }
	d := &Dispatcher{
		prefills:      prefill.NewChooser(fork()),
		decodes:       decode.NewChooser(fork()),
		arrivals:      admission.NewArrivals(),
		limiter:       share.NewLimiter(fork()),
		firstToken:    defaultFirstToken,
		betweenTokens: defaultBetweenTokens,
		margin:        Margin,
		overhead:      defaultOverhead,
		transferCost:  TransferCostPerToken,
		pieceTokens:   defaultPieceTokens,
		output:        defaultOutput,
	}
	for _, opt := range opts {
		opt(d)
	}
	d.gate = admission.NewGate(fork(), admission.WithMargin(d.margin))
	return d
}

// WithChoosers sets how upstreams are chosen.
func WithChoosers(p *prefill.Chooser, c *decode.Chooser) Option {
	return func(d *Dispatcher) { d.prefills, d.decodes = p, c }
}

// WithTargets sets the times to the first token and between tokens.
func WithTargets(firstToken, betweenTokens time.Duration) Option {
	return func(d *Dispatcher) { d.firstToken, d.betweenTokens = firstToken, betweenTokens }
}

// WithTransferCostPerToken sets the time that the transfer of a token's KV cache takes.
func WithTransferCostPerToken(token time.Duration) Option {
	return func(d *Dispatcher) { d.transferCost = token }
}

// WithOverhead sets the time that messages take from the arrival to the first token.
func WithOverhead(overhead time.Duration) Option {
	return func(d *Dispatcher) { d.overhead = overhead }
}

// WithPieceTokens sets the size of a piece of decode memory.
func WithPieceTokens(tokens int) Option {
	return func(d *Dispatcher) { d.pieceTokens = tokens }
}

// Admit begins a request whose first token is predicted in time, or that is late but
// displaces nobody. A refused request did not run.
func (d *Dispatcher) Admit(r Request, p Pools, now time.Time) (*Ticket, *refusal.Refusal) {
	first, again := d.arrivals.First(r.Key, now)
	deadline := first.Add(d.firstToken)
	if r.Continued {
		deadline = now.Add(d.firstToken)
	}
	pressure := d.pressure(p)
	if now.After(deadline) && pressure > sparePressure {
		return nil, d.gate.Shed(now.Sub(deadline))
	}
	taken, why := d.share(r, again, pressure, p.SharingEntries, now)
	if why != nil {
		return nil, why
	}
	t := &Ticket{request: r, Deadline: deadline}
	if why := d.forecast(t, p, pressure, now); why != nil {
		d.limiter.Refund(r.Partner, taken)
		return nil, why
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	t.pending = true
	d.pending++
	return t, nil
}

// ObservePrefill takes the load of a prefill upstream.
func (d *Dispatcher) ObservePrefill(h prefill.Hint) {
	d.prefills.Observe(h)
}

// ObserveDecode takes the load of a decode upstream, and what it tells about all of them.
func (d *Dispatcher) ObserveDecode(h decode.Hint, decodes []string) {
	d.decodes.Observe(h)
	if _, limit := d.decodes.Load(decodes); limit > 0 {
		d.limiter.SetRate(float64(limit) / d.betweenTokens.Seconds())
	}
}

// Forget makes an upstream worth a try whatever was known of it.
func (d *Dispatcher) Forget(upstream string, now time.Time) {
	d.decodes.Forget(upstream)
	d.prefills.Observe(prefill.Hint{Upstream: upstream, Accepting: true, At: now})
}

// TransferTime is the predicted time that a prompt's KV cache takes to the decode upstream.
func (d *Dispatcher) TransferTime(tokens int) time.Duration {
	return time.Duration(tokens) * d.transferCost
}

// forecast chooses the prefill upstream and predicts the time of the first token.
func (d *Dispatcher) forecast(t *Ticket, p Pools, pressure float64, now time.Time) *refusal.Refusal {
	spare := pressure <= sparePressure
	wait := d.decodes.PredictedWait(d.ahead(p), p.Decodes, now)
	f := admission.Forecast{
		QueueDelay: wait,
		Transfer:   d.TransferTime(t.request.Prompt.Tokens) + d.overhead,
		FirstStep:  d.firstStep(),
		Deadline:   t.Deadline,
	}
	if why := d.gate.Admit(f, now); why != nil && !spare {
		return why
	}
	choice, found := d.prefills.Choose(t.request.Prompt, p.Prefills, now)
	if !found {
		return refusal.New(refusal.RanNo, refusal.Overloaded, noRoomRetry, "no prefill upstream accepts work")
	}
	t.Choice = choice
	f.QueueDelay = max(wait, choice.Delay) + d.overhead
	f.Prefill = choice.Predicted - choice.Delay
	if why := d.gate.Admit(f, now); why != nil {
		if !spare {
			d.prefills.Withdraw(t.request.Prompt, choice)
			return why
		}
		t.Late = true
		t.Deadline = now.Add(f.Total() + d.firstToken)
	}
	return nil
}

// share takes a request from its partner's share, and returns the tokens that it took.
func (d *Dispatcher) share(r Request, again bool, pressure float64, sharers int, now time.Time) (int, *refusal.Refusal) {
	d.mu.Lock()
	output := int(d.output)
	d.mu.Unlock()
	d.limiter.SetPressure(pressure)
	take := d.limiter.Take
	if again {
		take = d.limiter.TakeResend
	}
	return output, take(r.Partner, r.Weight, output, sharers, now)
}

// pressure is the part of the streams that is known to be taken, with those that are
// admitted and have no memory yet.
func (d *Dispatcher) pressure(p Pools) float64 {
	running, limit := d.decodes.Load(p.Decodes)
	return float64(running+d.ahead(p)) / float64(max(1, limit))
}

// ahead estimates the requests of all entries that wait for decode memory.
func (d *Dispatcher) ahead(p Pools) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pending * p.SharingEntries
}

// firstStep is the mean time from joining a batch to the first token.
func (d *Dispatcher) firstStep() time.Duration {
	return FirstStep(d.betweenTokens)
}

// FirstStep is the mean time from joining a batch to the first token, at the target for
// the time between tokens.
func FirstStep(betweenTokens time.Duration) time.Duration {
	return betweenTokens * 3 / 2
}
