// Package generation runs one request of a model: prefill, reservation, transfer and decode.
package generation

import (
	"context"
	"time"

	"gooseberrypin.example/router/event"
	"gooseberrypin.example/router/port"
	"gooseberrypin.example/router/refusal"
	"gooseberrypin.example/router/request"
)

const (
	defaultHold         = 1500 * time.Millisecond
	defaultMaxTries     = 3
	defaultMaxOutput    = 1024
	defaultRetryAfter   = 250 * time.Millisecond
	releaseTimeout      = time.Second
	prefillTargets      = 3
	reservationAttempts = 3
	prefillSlack        = 500 * time.Millisecond
)

type (
	// Target is an upstream to work with.
	Target struct {
		Upstream       string
		SidecarAddress string
	}

	// Job is what a runner needs to know of a request.
	Job struct {
		Generation  request.Generation
		Fingerprint string
		Attempt     port.Attempt
		// Keeper identifies the entry's process for its leases.
		Keeper string
		// Plan is the admitted first try.
		Plan Plan
		// Suspect work ran on an upstream that died: it runs where few others do.
		Suspect bool
	}

	// Route decides which requests begin, and chooses upstreams.
	Route interface {
		// Admit begins a try of a prompt, or refuses it before any work. Upstreams to avoid
		// refused the same try.
		Admit(g *request.Generation, prompt string, avoid []string, now time.Time) (Plan, *refusal.Refusal)
		// MarkUnreachable keeps work from an upstream that can't be reached, for a short time.
		MarkUnreachable(upstream string, now time.Time)
	}

	// Plan is an admitted try until Finish or End.
	Plan interface {
		// PrefillTarget returns the prefill upstream.
		PrefillTarget() Target
		// Deadline is when the next token is due.
		Deadline() time.Time
		// Late tells that the try was admitted only because it displaces nobody.
		Late() bool
		// DecodeTarget waits for a decode upstream with room, the most urgent try first. Suspect
		// work goes where the fewest streams run.
		DecodeTarget(ctx context.Context, suspect bool, avoid []string) (Target, *refusal.Refusal)
		// Reserved notes the decode upstream that granted memory.
		Reserved(t Target)
		// Prefilled notes that the prefill upstream has the prompt cached.
		Prefilled()
		// Finish ends the try with a whole answer.
		Finish(outputTokens int)
		// End ends the try without one.
		End(outputTokens int)
	}

	// Holdings records where attempts hold anything, so that heartbeats renew their leases.
	Holdings interface {
		Add(address string, a port.Attempt)
		Remove(address string, a port.Attempt)
		// OnLost calls lost when the process at an address misses its heartbeats.
		OnLost(address string, lost func()) (forget func())
	}

	// Crashes records which content ran on upstreams that died.
	Crashes interface {
		// RecordCrash learns from the sidecar of an engine that died what it suspects, and
		// refuses content that must not be tried again.
		RecordCrash(ctx context.Context, address, fingerprint string) *refusal.Refusal
		// RecordSuccess clears content whose answer became whole.
		RecordSuccess(fingerprint string)
	}

	// Retries is the budget of retries inside the system.
	Retries interface {
		// Try counts a first try.
		Try()
		// Allow takes one retry from the budget.
		Allow() bool
	}

	// Outcome is Whole or Refused.
	//
	//sumtype:decl
	Outcome interface{ outcome() }

	// Completed tells that the record has all tokens of the answer.
	Completed struct{ FinishReason string }

	// Refused tells why there is no whole answer.
	Refused struct{ Refusal *refusal.Refusal }

	// Runner runs requests.
	Runner interface {
		// Run appends tokens to the record until the answer is whole or refused. It ends
		// early with ctx.
		Run(ctx context.Context, r *request.Record, j Job) Outcome
	}

	// Option changes a runner's bounds.
	Option func(*runner)

	runner struct {
		sidecars port.Sidecars
		route    Route
		holdings Holdings
		crashes  Crashes
		retries  Retries
		log      event.Log
		hold     time.Duration
		maxTries int
	}

	// result is how one try ended.
	result struct {
		finishReason string
		why          *refusal.Refusal
		retryable    bool
	}
)

func (Completed) outcome() {}
func (Refused) outcome()   {}

// NewRunner returns a runner.
func NewRunner(s port.Sidecars, route Route, h Holdings, c Crashes, b Retries, options ...Option) Runner {
	r := &runner{
		sidecars: s,
		route:    route,
		holdings: h,
		crashes:  c,
		retries:  b,
		log:      event.Discard(),
		hold:     defaultHold,
		maxTries: defaultMaxTries,
	}
	for _, o := range options {
		o(r)
	}
	return r
}

// WithLog writes events to a log.
func WithLog(l event.Log) Option {
	return func(r *runner) { r.log = l }
}

// Run implements Runner.
func (r *runner) Run(ctx context.Context, record *request.Record, j Job) Outcome {
	r.retries.Try()
	ran := refusal.RanNo
	for try := 1; ; try++ {
		w := &work{runner: r, record: record, job: j, plan: j.Plan}
		j.Plan = nil
		res := w.run(ctx)
		if res.why == nil {
			r.crashes.RecordSuccess(j.Fingerprint)
			return Completed{FinishReason: res.finishReason}
		}
		ran = w.ran(ran)
		if ctx.Err() != nil {
			return Refused{refusal.New(ran, refusal.Cancelled, 0, "the caller has gone")}
		}
		if w.crashedAt != "" {
			j.Suspect = true
			if why := r.crashes.RecordCrash(ctx, w.crashedAt, j.Fingerprint); why != nil {
				return Refused{why}
			}
		}
		if !res.retryable || try >= r.maxTries || !r.retries.Allow() {
			return Refused{res.why.AtLeast(ran)}
		}
	}
}
