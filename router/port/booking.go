package port

import (
	"context"

	"gooseberrypin.example/router/booking"
)

type (
	// Bookings asks the sidecars of other plain services.
	Bookings interface {
		// Acknowledge puts a question in the name of an upstream.
		Acknowledge(ctx context.Context, from string, q booking.Question) AcknowledgeOutcome
		// HandOver gives records to a member, and returns how many it took.
		HandOver(ctx context.Context, to booking.Member, o booking.HandOver) (int, error)
	}

	// AcknowledgeOutcome is what became of a question.
	//sumtype:decl
	AcknowledgeOutcome interface {
		acknowledgeOutcome()
	}

	// Acknowledged has the answer.
	Acknowledged struct {
		Acknowledgement booking.Acknowledgement
	}

	// AcknowledgeUnsupported tells that the process there is not the sidecar of a plain service.
	AcknowledgeUnsupported struct{}

	// AcknowledgeFailed tells that no answer came.
	AcknowledgeFailed struct {
		Err error
	}
)

func (Acknowledged) acknowledgeOutcome()           {}
func (AcknowledgeUnsupported) acknowledgeOutcome() {}
func (AcknowledgeFailed) acknowledgeOutcome()      {}
