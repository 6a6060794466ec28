package booking

import (
	"gooseberrypin.example/router/refusal"
)

type (
	// Outcome is what becomes of a try.
	//sumtype:decl
	Outcome interface {
		outcome()
	}

	// Granted tells to run the call now, and to report its end.
	Granted struct {
		// Revision is the revision under which the run was granted.
		Revision int64
	}

	// Joined tells that the key runs already. Done is closed when it ends.
	Joined struct {
		Done <-chan struct{}
	}

	// Completed has the result of the one run.
	Completed struct {
		Result Result
	}

	// Refused tells why the call does not run.
	Refused struct {
		Refusal *refusal.Refusal
	}
)

func (Granted) outcome()   {}
func (Joined) outcome()    {}
func (Completed) outcome() {}
func (Refused) outcome()   {}
