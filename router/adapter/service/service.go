// Package service sends calls to a plain service over HTTP.
package service

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"gooseberrypin.example/router/port"
	"gooseberrypin.example/router/response"
)

const (
	// MaxAnswerBytes is the maximum size of the body of a service's answer.
	MaxAnswerBytes = 1 << 20
	// IdempotencyKeyHeader is the header with the caller's idempotency key.
	IdempotencyKeyHeader = "Idempotency-Key"
	// PartnerHeader is the header with the name of the partner that made the call.
	PartnerHeader = "Gooseberry-Partner"
)

type (
	// Client implements port.Service. It opens a new connection for each call, because an http.Transport resends a
	// request with an Idempotency-Key by itself when a reused connection breaks.
	Client struct {
		client *http.Client
	}
)

// NewClient returns a client that neither follows redirects nor resends calls.
func NewClient() *Client {
	return &Client{client: &http.Client{
		Transport:     response.NewTransport(&http.Transport{DisableKeepAlives: true}),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Call implements port.Service. A call counts as not sent when no connection was established.
func (c *Client) Call(ctx context.Context, address string, call port.ServiceCall) port.ServiceOutcome {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	r, err := newRequest(httptrace.WithClientTrace(ctx, trace), address, call)
	if err != nil {
		return port.ServiceNotSent{Err: err}
	}
	answer, err := c.client.Do(r)
	if err != nil && !connected.Load() {
		return port.ServiceNotSent{Err: eris.Wrap(err, "service")}
	}
	if err != nil {
		return port.ServiceAnswerLost{Err: eris.Wrap(err, "service")}
	}
	defer func() { _ = answer.Body.Close() }()
	return readOutcome(answer)
}

func newRequest(ctx context.Context, address string, call port.ServiceCall) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, eris.Wrap(err, "service")
	}
	r.GetBody = nil
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set(PartnerHeader, call.Partner)
	if call.IdempotencyKey != "" {
		r.Header.Set(IdempotencyKeyHeader, call.IdempotencyKey)
	}
	return r, nil
}

// readOutcome reads the body of an answer. An answer whose body is truncated or too large counts as lost.
func readOutcome(answer *http.Response) port.ServiceOutcome {
	body, err := io.ReadAll(io.LimitReader(answer.Body, MaxAnswerBytes+1))
	if err != nil {
		return port.ServiceAnswerLost{Err: eris.Wrap(err, "service")}
	}
	if len(body) > MaxAnswerBytes {
		return port.ServiceAnswerLost{Err: eris.Errorf("service: answer is larger than %d bytes", MaxAnswerBytes)}
	}
	return port.ServiceAnswered{Status: answer.StatusCode, Body: body}
}
