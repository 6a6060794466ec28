package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"gooseberrypin.example/router/line"
	"gooseberrypin.example/router/upstream"
)

const (
	// NoAnswer tells that a prefill was sent and had no whole answer.
	NoAnswer NotRunReason = iota
	// Full upstreams have no place or memory for the request.
	Full
	// Replaced upstreams have another incarnation at their address.
	Replaced
	// Unreachable upstreams took no connection.
	Unreachable
)

type (
	// Upstreams sends work to upstreams. Ending the context of a call cancels the work there.
	Upstreams interface {
		// Call sends a request to a plain service. The head of the answer is awaited.
		Call(ctx context.Context, m *upstream.Member, r *Request, t SendOptions) Result
		// Reserve asks a decode engine to hold memory for a generation.
		Reserve(ctx context.Context, m *upstream.Member, tokens int, life time.Duration) line.Outcome
		// Prefill computes the KV cache of the request's prompt.
		Prefill(ctx context.Context, m *upstream.Member, r *Request, t SendOptions) PrefillResult
		// Decode streams the answer.
		Decode(ctx context.Context, m *upstream.Member, r *Request, t DecodeOptions) Result
		// FreeReservation gives up reserved memory. It does not wait.
		FreeReservation(m *upstream.Member, id string)
		// Probe opens a connection to an upstream, which may be used later.
		Probe(ctx context.Context, m *upstream.Member) error
		// FreeCache gives up a prefilled KV cache. It does not wait.
		FreeCache(m *upstream.Member, cache string)
	}

	// SendOptions go with each request to an upstream.
	SendOptions struct {
		// Remaining is how long the caller still waits. The upstream stops after it.
		Remaining time.Duration
		// Priority ranks requests at an engine; 0 is the most urgent.
		Priority int
		// HeadTimeout bounds the time until the head of the answer; zero: as long as the caller waits.
		HeadTimeout time.Duration
	}

	// DecodeOptions are the terms of a decode.
	DecodeOptions struct {
		SendOptions
		// Reservation is the memory held for this decode; empty: none.
		Reservation string
		// Source is the engine that prefilled the prompt; nil: the decode engine reads it itself.
		Source *upstream.Member
		// Cache is the KV cache at the source.
		Cache string
		// LastEventID is the last event that the caller has; empty: none.
		LastEventID string
	}

	// Result is an upstream's outcome.
	//
	//sumtype:decl
	Result interface{ result() }

	// Body is the body of an answer. Released before its end, it ends the work upstream.
	Body interface {
		io.Reader
		Release()
	}

	// Answer is an answer whose body is still to be read. Its owner releases the body.
	Answer struct {
		Status int
		Header http.Header
		Body   Body
		// Length of the body; negative: not known.
		Length int64
	}

	// NotRun tells that the upstream did not run the request and never will.
	NotRun struct {
		Reason NotRunReason
		// RetryAfter is when the upstream expects room; zero: it did not say.
		RetryAfter time.Duration
		Err        error
	}

	// Unknown tells that the request was sent and nobody can say whether it runs.
	Unknown struct {
		Err error
		// ConnectionLost tells that the connection ended.
		ConnectionLost bool
	}

	// NotRunReason is why an upstream did not run a request.
	NotRunReason int

	// PrefillResult is the outcome of a prefill.
	//
	//sumtype:decl
	PrefillResult interface{ prefillResult() }

	// Prefilled is a KV cache that waits at the engine for a short time.
	Prefilled struct {
		Cache  string
		Tokens int
	}

	// PrefillFailed tells that there is no KV cache. A prefill may always be repeated.
	PrefillFailed struct {
		Reason NotRunReason
		Err    error
		// ConnectionLost tells that the connection ended before the answer.
		ConnectionLost bool
	}
)

func (Answer) result()  {}
func (NotRun) result()  {}
func (Unknown) result() {}

func (Prefilled) prefillResult()     {}
func (PrefillFailed) prefillResult() {}

// String returns the reason as logs show it.
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
