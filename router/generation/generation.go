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
	defaultReservationHold = 1500 * time.Millisecond
	defaultMaxTries        = 3
	defaultMaxOutput       = 1024
	// finishLength is the finish reason of an answer of the greatest length.
	finishLength          = "length"
	defaultRetryAfter     = 250 * time.Millisecond
	releaseTimeout        = time.Second
	maxPrefillTargets     = 3
	maxReservationTargets = 3
	prefillDeadlineSlack  = 500 * time.Millisecond
)

type (
	// Target is an upstream chosen for a request.
	Target struct {
		Upstream       string
		SidecarAddress string
	}

	// Job is a request to run.
	Job struct {
		Generation  request.Generation
		Fingerprint string
		Attempt     port.Attempt
		// Keeper identifies the entry's process for its leases.
		Keeper string
		// Plan is the admitted first try. If it is nil, the first try is admitted by Run.
		Plan Plan
		// Suspect reports whether the content ran on an upstream that crashed. Suspect content is decoded at the
		// upstream with the fewest streams.
		Suspect bool
	}

	// Route admits requests and chooses their upstreams.
	Route interface {
		// Admit admits a try of a prompt or refuses it before any work is done. It does not choose the prefill upstreams
		// in avoid, which have refused an earlier try.
		Admit(g *request.Generation, prompt string, avoid []string, now time.Time) (Plan, *refusal.Refusal)
		// MarkUnreachable excludes an unreachable upstream from new work for a short time.
		MarkUnreachable(upstream string, now time.Time)
	}

	// Plan is an admitted try. Each plan ends with exactly one call of Finish or End.
	Plan interface {
		// PrefillTarget returns the chosen prefill upstream.
		PrefillTarget() Target
		// Deadline returns when the next token is due.
		Deadline() time.Time
		// Late reports whether the try is predicted to miss its latency target. Such a try is admitted only when it
		// displaces no other.
		Late() bool
		// DecodeTarget blocks until a decode upstream has free memory and returns it. The most urgent try is served
		// first. For suspect content it returns the upstream with the fewest streams.
		DecodeTarget(ctx context.Context, suspect bool, avoid []string) (Target, *refusal.Refusal)
		// Reserved records the decode upstream that reserved memory.
		Reserved(t Target)
		// Prefilled records that the prefill upstream has cached the prompt.
		Prefilled()
		// Finish ends the try after a complete answer.
		Finish(outputTokens int)
		// End ends the try after an incomplete answer of zero or more tokens.
		End(outputTokens int)
	}

	// Holdings records the sidecars where attempts hold resources, so that heartbeats renew their leases.
	Holdings interface {
		Add(address string, a port.Attempt)
		Remove(address string, a port.Attempt)
		// OnLost registers lost, which is called when the process at an address misses its heartbeats. The returned
		// function removes the registration.
		OnLost(address string, lost func()) (remove func())
	}

	// Crashes records which content ran on upstreams that crashed.
	Crashes interface {
		// RecordCrash updates the suspect content from the sidecar of a crashed engine. It returns a refusal when the
		// content with the fingerprint must not be tried again.
		RecordCrash(ctx context.Context, address, fingerprint string) *refusal.Refusal
		// RecordSuccess records that content ran to a complete answer, so that it is no longer suspect.
		RecordSuccess(fingerprint string)
	}

	// Retries is the budget of retries that the entry makes itself.
	Retries interface {
		// RecordFirstTry counts a first try.
		RecordFirstTry()
		// Allow takes one retry from the budget. It returns false when none is left.
		Allow() bool
	}

	// Outcome is the result of a request: Completed or Refused.
	//
	//sumtype:decl
	Outcome interface{ outcome() }

	// Completed is the outcome when the record has all tokens of the answer.
	Completed struct{ FinishReason string }

	// Refused is the outcome when there is no complete answer.
	Refused struct{ Refusal *refusal.Refusal }

	// Runner runs requests.
	Runner interface {
		// Run appends tokens to the record until the answer is complete or refused. It returns a refusal when ctx ends.
		Run(ctx context.Context, r *request.Record, j Job) Outcome
	}

	// Option configures a Runner.
	Option func(*runner)

	runner struct {
		sidecars        port.Sidecars
		route           Route
		holdings        Holdings
		crashes         Crashes
		retries         Retries
		log             event.Log
		reservationHold time.Duration
		maxTries        int
	}

	// result is the result of one try.
	result struct {
		finishReason string
		// refused is nil after a complete answer.
		refused *refusal.Refusal
		// retryable reports whether another try may follow.
		retryable bool
	}
)

func (Completed) outcome() {}
func (Refused) outcome()   {}

// NewRunner returns a Runner that works through the sidecars s and takes retries from the budget b.
func NewRunner(s port.Sidecars, route Route, h Holdings, c Crashes, b Retries, options ...Option) Runner {
	r := &runner{
		sidecars:        s,
		route:           route,
		holdings:        h,
		crashes:         c,
		retries:         b,
		log:             event.Discard(),
		reservationHold: defaultReservationHold,
		maxTries:        defaultMaxTries,
	}
	for _, o := range options {
		o(r)
	}
	return r
}

// WithLog sets the log of events. The default discards them.
func WithLog(l event.Log) Option {
	return func(r *runner) { r.log = l }
}

// Run implements Runner.
func (r *runner) Run(ctx context.Context, record *request.Record, j Job) Outcome {
	r.retries.RecordFirstTry()
	ran := refusal.RanNo
	for try := 1; ; try++ {
		w := &work{runner: r, record: record, job: j, plan: j.Plan}
		j.Plan = nil
		if w.hasWholeAnswer() {
			// The keeper before this one has relayed all tokens.
			w.endPlan()
			return Completed{FinishReason: finishLength}
		}
		res := w.run(ctx)
		if res.refused == nil {
			r.crashes.RecordSuccess(j.Fingerprint)
			return Completed{FinishReason: res.finishReason}
		}
		if w.hasWholeAnswer() {
			return Completed{FinishReason: finishLength}
		}
		ran = w.ran(ran)
		if ctx.Err() != nil {
			return Refused{refusal.New(ran, refusal.Cancelled, 0, "the caller has gone")}
		}
		if w.crashedAt != "" {
			j.Suspect = true
			if refused := r.crashes.RecordCrash(ctx, w.crashedAt, j.Fingerprint); refused != nil {
				return Refused{refused}
			}
		}
		if !res.retryable || try >= r.maxTries || !r.retries.Allow() {
			return Refused{res.refused.AtLeast(ran)}
		}
	}
}
