package gateway

import (
	"net/http"
	"time"

	"gooseberrypin.example/router/access"
	"gooseberrypin.example/router/ingress"
	"gooseberrypin.example/router/memory"
)

type (
	// Request is one request of a caller, with its complete body.
	Request struct {
		// ID identifies this attempt of the caller. The answer of an upstream carries the same ID.
		ID     string
		Method string
		Host   string
		// Target is the path and query as the caller sent them.
		Target string
		// Path is the path that is matched against the routes.
		Path string
		// Caller identifies the client, for instance by its network address. It is used together with the
		// Authorization field.
		Caller string
		// Header holds the end-to-end fields, without the hop-by-hop ones.
		Header http.Header
		Body   []byte
		// Arrived is when the head of the request was received.
		Arrived time.Time
		// Wait is how long after Arrived the caller waits for the answer; zero if it did not say.
		Wait time.Duration
		// Generation is set for requests to model engines.
		Generation *Generation
		// LastEventID is the ID of the last event that the caller received of an earlier, truncated answer; empty
		// if there is none.
		LastEventID string
		// KeyDigest is the digest of the customer's key, if HasKey is true.
		KeyDigest access.Digest
		HasKey    bool
		// Memory holds the body, and the answer while it is buffered; nil selects memory of the gateway. Its owner releases
		// it after the request.
		Memory *memory.Allocation
	}

	// Generation describes a request to a model, as its caller stated it.
	Generation struct {
		Model string
		// Content identifies the parts of the prompt. It is the same for all attempts of one request.
		Content string
		// Parts are the IDs of the parts of the prompt, in order. Other requests may have all but the last one, which
		// belongs to the request or its session.
		Parts           []string
		PromptTokens    int
		MaxOutputTokens int
		// LengthHint is the caller's estimate of the output length in tokens; zero if there is none.
		LengthHint int
	}

	// Reply writes the answer to the caller.
	Reply interface {
		// Begin sends the head of the answer. A negative length means that the length of the body is
		// unknown.
		Begin(status int, header http.Header, length int64)
		// Write sends a part of the body without buffering it.
		Write(p []byte) error
	}
)

// promptParts returns the IDs of the parts of the prompt, or nil for a request without a prompt.
func (r *Request) promptParts() []string {
	if r.Generation == nil {
		return nil
	}
	return r.Generation.Parts
}

// deadline returns when the wait of the caller ends: after its own limit or the timeout of the route,
// whichever is shorter.
func (r *Request) deadline(route *ingress.Route) time.Time {
	wait := route.Timeout
	if r.Wait > 0 {
		wait = min(wait, r.Wait)
	}
	return r.Arrived.Add(wait)
}

// likelyOutput returns the output length that few outputs exceed, and a margin in tokens, but at most the maximum.
func (g *Generation) likelyOutput(margin int) int {
	output := g.MaxOutputTokens
	if g.LengthHint > 0 {
		likely := int(lengthHintFactor*float64(g.LengthHint)) + margin
		if output <= 0 || likely < output {
			output = likely
		}
	}
	return output
}
