package port

import (
	"context"
)

type (
	// Service runs calls at a plain service.
	Service interface {
		// Call sends a call once. It is never sent again by itself.
		Call(ctx context.Context, address string, c ServiceCall) ServiceOutcome
	}

	// ServiceCall is one call to a plain service.
	ServiceCall struct {
		Path           string
		Body           []byte
		Partner        string
		IdempotencyKey string
	}

	// ServiceOutcome is what became of a call.
	//sumtype:decl
	ServiceOutcome interface {
		serviceOutcome()
	}

	// ServiceAnswered has the service's answer.
	ServiceAnswered struct {
		Status int
		Body   []byte
	}

	// ServiceNotSent tells that no byte of the call left.
	ServiceNotSent struct {
		Err error
	}

	// ServiceAnswerLost tells that the call left and no whole answer came back.
	ServiceAnswerLost struct {
		Err error
	}
)

func (ServiceAnswered) serviceOutcome()   {}
func (ServiceNotSent) serviceOutcome()    {}
func (ServiceAnswerLost) serviceOutcome() {}
