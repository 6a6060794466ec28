package partner

import (
	"time"

	callerv1 "gooseberrypin.example/gen/caller/v1"
)

type (
	// Outcome is what became of a request.
	//sumtype:decl
	Outcome interface {
		outcome()
	}

	// Answered has one whole answer.
	Answered struct {
		Trace
		// Text is the whole text of a generation.
		Text string
		// Status and Body are the answer of a service.
		Status int32
		Body   []byte
	}

	// Refused has the last refusal.
	Refused struct {
		Trace
		Refusal *callerv1.Refusal
	}

	// Failed tells that no whole answer and no refusal came.
	Failed struct {
		Trace
		Err error
	}

	// Trace is what was seen on the way.
	Trace struct {
		Key      string
		Attempts int
		// Answers counts whole answers of a run of their own; more than one is a duplicate.
		Answers int
		// Replayed counts answers that were kept from the one run.
		Replayed int
		// Mismatches counts answers with a gap, a wrong digest or another content.
		Mismatches int
		// DidNotRun counts the tries that were refused with "did not run".
		DidNotRun  int
		FirstToken time.Duration
		Total      time.Duration
		// Gaps are the times between messages with tokens.
		Gaps []time.Duration
		// Reasons counts refusals by reason.
		Reasons map[string]int
	}
)

func (Answered) outcome() {}
func (Refused) outcome()  {}
func (Failed) outcome()   {}

// AllDidNotRun tells that every try was refused with "did not run".
func (t *Trace) AllDidNotRun() bool {
	return t.Attempts > 0 && t.DidNotRun == t.Attempts
}
