package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"gooseberrypin.example/router/reservation"
	"gooseberrypin.example/router/upstream"
)

const (
	// NoAnswer means that a prefill was sent and its answer is missing or incomplete.
	NoAnswer NotRunReason = iota
	// Full means that the upstream has no slot or memory for the request.
	Full
	// Replaced means that another incarnation runs at the address of the upstream.
	Replaced
	// Unreachable means that the upstream accepted no connection.
	Unreachable
)

type (
	// Upstreams sends requests to upstreams. Cancelling the context of a request cancels it at the
	// upstream.
	Upstreams interface {
		// Call sends a request to a plain service. It returns when the head of the answer has arrived.
		Call(ctx context.Context, m *upstream.Member, r *Request, o SendOptions) Result
		// Reserve requests KV cache memory for a generation at a decode engine, which holds it for the given
		// life.
		Reserve(ctx context.Context, m *upstream.Member, tokens int, life time.Duration) reservation.Outcome
		// Prefill computes the KV cache of the request's prompt.
		Prefill(ctx context.Context, m *upstream.Member, r *Request, o SendOptions) PrefillResult
		// Decode generates the answer. The body of the result streams its events.
		Decode(ctx context.Context, m *upstream.Member, r *Request, o DecodeOptions) Result
		// FreeReservation frees reserved memory. It does not block.
		FreeReservation(m *upstream.Member, id string)
		// Probe opens a connection to an upstream. A later request may use it.
		Probe(ctx context.Context, m *upstream.Member) error
		// FreeCache frees a prefilled KV cache. It does not block.
		FreeCache(m *upstream.Member, cache string)
	}

	// SendOptions are the options of a request to an upstream.
	SendOptions struct {
		// Remaining is the time until the deadline of the caller. The upstream stops work after it.
		Remaining time.Duration
		// Priority ranks requests at an engine from 0, the most urgent, to 9.
		Priority int
		// HeadTimeout bounds the time until the head of the answer. Zero sets no bound beyond the deadline of
		// the caller.
		HeadTimeout time.Duration
		Identity    Identity
	}

	// Identity is what an upstream receives about the customer of a request.
	Identity struct {
		// InForce reports whether customers are in force. If not, the caller's own statements are passed on.
		InForce bool
		// Customer is the name of the customer; empty if there is none.
		Customer string
	}

	// DecodeOptions are the options of a decode request.
	DecodeOptions struct {
		SendOptions
		// Reservation is the ID of the memory that is reserved for this decode; empty if there is none.
		Reservation string
		// Source is the engine that prefilled the prompt. If it is nil, the decode engine prefills the
		// prompt itself.
		Source *upstream.Member
		// Cache is the handle of the KV cache at the source.
		Cache string
		// LastEventID is the ID of the last event that the caller has received; empty if there is none. The
		// stream continues after it.
		LastEventID string
	}

	// Result is the outcome of a request at an upstream: Answer, NotRun or Unknown.
	//
	//sumtype:decl
	Result interface{ result() }

	// Body is the body of an answer.
	Body interface {
		io.Reader
		// Release frees the body. Called before the end of the body, it cancels the request at the
		// upstream.
		Release()
	}

	// Answer is an answer whose body is still to be read. The receiver releases the body.
	Answer struct {
		Status int
		Header http.Header
		Body   Body
		// Length is the length of the body in bytes; negative if it is unknown.
		Length int64
		// IsCloseDelimited is whether the body has neither a length nor chunks. It ends with the connection, also if the upstream
		// terminates.
		IsCloseDelimited bool
	}

	// NotRun means that the upstream did not run the request and never will.
	NotRun struct {
		Reason NotRunReason
		Err    error
	}

	// Unknown means that the request was sent and the upstream may or may not run it.
	Unknown struct {
		Err error
		// ConnectionLost reports whether the connection was lost, rather than closed by this process.
		ConnectionLost bool
	}

	// NotRunReason is why an upstream did not run a request.
	NotRunReason int

	// PrefillResult is the outcome of a prefill: Prefilled or PrefillFailed.
	//
	//sumtype:decl
	PrefillResult interface{ prefillResult() }

	// Prefilled is a KV cache that the prefill engine keeps for a short time.
	Prefilled struct {
		// Cache is the handle of the KV cache.
		Cache  string
		Tokens int
	}

	// PrefillFailed means that there is no KV cache. A prefill may always be repeated.
	PrefillFailed struct {
		Reason NotRunReason
		Err    error
		// ConnectionLost reports whether the connection was lost before the end of the answer, rather than closed
		// by this process.
		ConnectionLost bool
	}
)

func (Answer) result()  {}
func (NotRun) result()  {}
func (Unknown) result() {}

func (Prefilled) prefillResult()     {}
func (PrefillFailed) prefillResult() {}

// String returns the name of the reason in logs.
func (r NotRunReason) String() string {
	switch r {
	case NoAnswer:
		return "no_answer"
	case Full:
		return "full"
	case Replaced:
		return "replaced"
	case Unreachable:
		return "unreachable"
	}
	return "unknown"
}
