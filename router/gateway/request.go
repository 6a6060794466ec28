package gateway

import (
	"net/http"
	"time"

	"gooseberrypin.example/router/ingress"
)

type (
	// Request is one request of a caller, read whole.
	Request struct {
		// ID names this try of the caller; answers of upstreams bear it.
		ID     string
		Method string
		Host   string
		// Target is the path and query as the caller wrote them.
		Target string
		// Path is the decoded path, by which the route is found.
		Path string
		// Caller names who sent the request, in front of an Authorization field.
		Caller string
		// Header has the fields that concern more than one connection.
		Header http.Header
		Body   []byte
		// Arrived is when the head of the request was read.
		Arrived time.Time
		// Wait is how long the caller waits from then on; zero: it did not say.
		Wait time.Duration
		// Generation is set for requests to model engines.
		Generation *Generation
		// LastEventID is the last event that the caller has of an answer that broke off; empty: none.
		LastEventID string
	}

	// Generation is what a caller says of a request to a model.
	Generation struct {
		Model string
		// Content names the prompt's parts; tries of one request have the same.
		Content         string
		PromptTokens    int
		MaxOutputTokens int
		// LengthHint is the caller's estimate of the output, in tokens; zero: none.
		LengthHint int
	}

	// Reply is the way back to the caller.
	Reply interface {
		// Begin sends the head of the answer. A negative length is not known yet.
		Begin(status int, header http.Header, length int64)
		// Write sends a part of the body at once.
		Write(p []byte) error
	}
)

// end is when the caller has waited for as long as it or the route allows.
func (r *Request) end(route *ingress.Route) time.Time {
	wait := route.Timeout
	if r.Wait > 0 {
		wait = min(wait, r.Wait)
	}
	return r.Arrived.Add(wait)
}
