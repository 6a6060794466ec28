package port

import (
	"context"

	"gooseberrypin.example/router/booking"
)

type (
	// Bookings calls the sidecars of other plain services.
	Bookings interface {
		// Acknowledge queries a member's sidecar for the revision that it acts on and the number of runs that were
		// granted under older revisions. The upstream from sends the question.
		Acknowledge(ctx context.Context, from string, q booking.Question) AcknowledgeOutcome
		// HandOver sends records to a member and returns the number that it accepted.
		HandOver(ctx context.Context, to booking.Member, o booking.HandOver) (int, error)
	}

	// AcknowledgeOutcome is Acknowledged, AcknowledgeUnsupported or AcknowledgeFailed.
	//
	//sumtype:decl
	AcknowledgeOutcome interface {
		acknowledgeOutcome()
	}

	// Acknowledged contains the sidecar's answer.
	Acknowledged struct {
		Acknowledgement booking.Acknowledgement
	}

	// AcknowledgeUnsupported means that the process at the member's address is not the sidecar of a plain service.
	AcknowledgeUnsupported struct{}

	// AcknowledgeFailed means that no valid answer was received.
	AcknowledgeFailed struct {
		Err error
	}
)

func (Acknowledged) acknowledgeOutcome()           {}
func (AcknowledgeUnsupported) acknowledgeOutcome() {}
func (AcknowledgeFailed) acknowledgeOutcome()      {}
