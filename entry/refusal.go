package entry

import (
	"math"
	"strconv"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"gooseberrypin.example/router/adapter/wire"
	"gooseberrypin.example/router/refusal"
)

const (
	retryAfterHeader = "Retry-After"
)

// toError returns a refusal as an error for the caller, with the typed refusal as a detail and the header Retry-After.
func toError(why *refusal.Refusal) error {
	e := connect.NewError(code(why.Reason), eris.New(why.Message))
	if d, err := connect.NewErrorDetail(wire.FromRefusal(why)); err == nil {
		e.AddDetail(d)
	}
	if why.RetryAfter > 0 {
		seconds := math.Ceil(float64(why.RetryAfter) / float64(time.Second))
		e.Meta().Set(retryAfterHeader, strconv.Itoa(int(seconds)))
	}
	return e
}

// code returns the status code for a reason. The default is CodeUnavailable.
func code(r refusal.Reason) connect.Code {
	switch r {
	case refusal.Malformed, refusal.KeyMissing, refusal.KeyTooOld, refusal.KeyInFuture, refusal.KeyReused:
		return connect.CodeInvalidArgument
	case refusal.UnknownPartner:
		return connect.CodeUnauthenticated
	case refusal.UnknownRule:
		return connect.CodeNotFound
	case refusal.Overloaded, refusal.PartnerShare, refusal.TableFull:
		return connect.CodeResourceExhausted
	case refusal.Quarantined, refusal.Tombstoned:
		return connect.CodeFailedPrecondition
	case refusal.AlreadyAnswered:
		return connect.CodeAlreadyExists
	case refusal.Superseded, refusal.StaleAttempt:
		return connect.CodeAborted
	case refusal.Deadline:
		return connect.CodeDeadlineExceeded
	case refusal.Cancelled:
		return connect.CodeCanceled
	}
	return connect.CodeUnavailable
}
