package partner

import (
	"time"

	callerv1 "gooseberrypin.example/gen/caller/v1"
)

type (
	// Outcome is the result of a request: Answered, Refused or Failed.
	//sumtype:decl
	Outcome interface {
		outcome()
	}

	// Answered is the outcome of a request with a complete answer.
	Answered struct {
		Trace
		// Text is the complete text of a generation.
		Text string
		// Status and Body are the answer of a service.
		Status int32
		Body   []byte
	}

	// Refused is the outcome of a request whose last attempt was refused.
	Refused struct {
		Trace
		Refusal *callerv1.Refusal
	}

	// Failed is the outcome of a request whose last attempt failed without a refusal.
	Failed struct {
		Trace
		Err error
	}

	// Trace records the attempts of a request and their timing.
	Trace struct {
		Key      string
		Attempts int
		// Answers counts complete answers that were not replayed. More than one means that the request ran more
		// than once.
		Answers int
		// Replayed counts complete answers that the router replayed from a stored result.
		Replayed int
		// Mismatches counts answers with a gap in the offsets, a wrong token count or digest, or a body that differs
		// from the first answer.
		Mismatches int
		// DidNotRun counts the attempts that were refused with the statement that the request did not run.
		DidNotRun int
		// FirstToken and Total are measured from the start of the request.
		FirstToken time.Duration
		Total      time.Duration
		// Gaps are the times between successive messages with tokens.
		Gaps []time.Duration
		// Reasons counts refusals by reason.
		Reasons map[string]int
	}
)

func (Answered) outcome() {}
func (Refused) outcome()  {}
func (Failed) outcome()   {}

// AllDidNotRun reports whether every attempt was refused with the statement that the request did not run.
func (t *Trace) AllDidNotRun() bool {
	return t.Attempts > 0 && t.DidNotRun == t.Attempts
}
