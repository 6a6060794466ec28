package port

import (
	"context"
)

type (
	// Service calls the upstreams of plain services.
	Service interface {
		// Call sends a call at most once to the upstream at an address. It never resends.
		Call(ctx context.Context, address string, c ServiceCall) ServiceOutcome
	}

	// ServiceCall is one call to a plain service.
	ServiceCall struct {
		Path           string
		Body           []byte
		Partner        string
		IdempotencyKey string
	}

	// ServiceOutcome is ServiceAnswered, ServiceNotSent or ServiceAnswerLost.
	//
	//sumtype:decl
	ServiceOutcome interface {
		serviceOutcome()
	}

	// ServiceAnswered contains the service's complete answer, with any HTTP status.
	ServiceAnswered struct {
		Status int
		Body   []byte
	}

	// ServiceNotSent means that no byte of the call was sent.
	ServiceNotSent struct {
		Err error
	}

	// ServiceAnswerLost means that the call may have been sent and no complete answer was received.
	ServiceAnswerLost struct {
		Err error
	}
)

func (ServiceAnswered) serviceOutcome()   {}
func (ServiceNotSent) serviceOutcome()    {}
func (ServiceAnswerLost) serviceOutcome() {}
