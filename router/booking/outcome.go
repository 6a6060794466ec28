package booking

import (
	"gooseberrypin.example/router/refusal"
)

type (
	// Outcome is the decision on an attempt: Granted, Joined, Completed or Refused.
	//sumtype:decl
	Outcome interface {
		outcome()
	}

	// Granted requires the caller to run the call now and to report how the run ends.
	Granted struct {
		// Revision is the revision under which the run was granted.
		Revision int64
	}

	// Joined reports that the key is already running. Done is closed when the run ends.
	Joined struct {
		Done <-chan struct{}
	}

	// Completed carries the stored result of the key's run.
	Completed struct {
		Result Result
	}

	// Refused carries the reason why the call does not run.
	Refused struct {
		Refusal *refusal.Refusal
	}
)

func (Granted) outcome()   {}
func (Joined) outcome()    {}
func (Completed) outcome() {}
func (Refused) outcome()   {}
