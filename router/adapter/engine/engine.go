// Package engine calls a model engine over HTTP and JSON.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"iter"
	"net"
	"net/http"
	"net/url"
	"strings"
	"syscall"
	"time"

	"gooseberrypin.example/router/port"
	"gooseberrypin.example/router/response"
)

const (
	dialTimeout       = time.Second
	maxErrorTextBytes = 512
	jsonType          = "application/json"
	ordersPath        = "/v1/orders"
)

type (
	// Client implements port.Engine for one engine.
	Client struct {
		base     string
		orderKey string
		http     *http.Client
	}
)

// NewClient returns a client of the engine at an IP:port. The client sends orderKey as a bearer token with orders only.
func NewClient(address, orderKey string) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := response.NewTransport(&http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: http.DefaultMaxIdleConnsPerHost})
	return &Client{base: "http://" + address, orderKey: orderKey, http: &http.Client{Transport: transport}}
}

// Prefill implements port.Engine.
func (c *Client) Prefill(ctx context.Context, work port.PrefillWork) (port.PrefillResult, error) {
	var result port.PrefillResult
	return result, c.call(ctx, http.MethodPost, "/v1/prefill", work, &result)
}

// Import implements port.Engine. A transfer failure that the engine reports becomes an EngineError with the fault
// EngineKVUnavailable.
func (c *Client) Import(ctx context.Context, work port.ImportWork) iter.Seq2[port.ImportProgress, error] {
	return func(yield func(port.ImportProgress, error) bool) {
		for progress, err := range ndjsonValues[port.ImportProgress](ctx, c, "/v1/import", work) {
			if err == nil && progress.Failure != "" {
				err = &port.EngineError{Fault: port.EngineKVUnavailable, MayHaveStarted: true, Message: progress.Failure}
			}
			if !yield(progress, err) || err != nil || progress.Done {
				return
			}
		}
	}
}

// Decode implements port.Engine.
func (c *Client) Decode(ctx context.Context, work port.DecodeWork) iter.Seq2[port.EngineToken, error] {
	return func(yield func(port.EngineToken, error) bool) {
		for token, err := range ndjsonValues[port.EngineToken](ctx, c, "/v1/decode", work) {
			if !yield(token, err) || err != nil || token.Finished {
				return
			}
		}
	}
}

// Cancel implements port.Engine. The engine reports an unknown stream as not found, which is no error here.
func (c *Client) Cancel(ctx context.Context, streamID string) error {
	err := c.call(ctx, http.MethodDelete, "/v1/streams/"+url.PathEscape(streamID), nil, nil)
	var fault *port.EngineError
	if errors.As(err, &fault) && fault.Fault == port.EngineKVUnavailable {
		return nil
	}
	return err
}

// Streams implements port.Engine.
func (c *Client) Streams(ctx context.Context) ([]port.EngineStream, error) {
	var list []port.EngineStream
	return list, c.call(ctx, http.MethodGet, "/v1/streams", nil, &list)
}

// Load implements port.Engine.
func (c *Client) Load(ctx context.Context) (port.EngineLoad, error) {
	var load port.EngineLoad
	return load, c.call(ctx, http.MethodGet, "/v1/load", nil, &load)
}

// Order implements port.Engine.
func (c *Client) Order(ctx context.Context, order port.EngineOrder) error {
	return c.call(ctx, http.MethodPost, ordersPath, order, nil)
}

// call sends in as JSON, unless it is nil, and decodes the response into out. A nil out discards the response.
func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	response, err := c.send(ctx, method, path, in)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if out == nil {
		_, _ = io.Copy(io.Discard, response.Body)
		return nil
	}
	if err := json.NewDecoder(response.Body).Decode(out); err != nil {
		return connectionError(err)
	}
	return nil
}

// ndjsonValues yields the values of an NDJSON response until the caller stops. The end of the response yields an error,
// because the caller stops at the final value of a complete response.
func ndjsonValues[T any](ctx context.Context, c *Client, path string, in any) iter.Seq2[T, error] {
	return func(yield func(T, error) bool) {
		var value T
		response, err := c.send(ctx, http.MethodPost, path, in)
		if err != nil {
			yield(value, err)
			return
		}
		defer func() { _ = response.Body.Close() }()
		decoder := json.NewDecoder(response.Body)
		for {
			var next T
			if err := decoder.Decode(&next); err != nil {
				yield(next, connectionError(err))
				return
			}
			if !yield(next, nil) {
				return
			}
		}
	}
}

// send returns the response to a request with in as its JSON body. A nil in sends no body. A status of 400 or higher is
// an error.
func (c *Client) send(ctx context.Context, method, path string, in any) (*http.Response, error) {
	var body io.Reader
	if in != nil {
		content, err := json.Marshal(in)
		if err != nil {
			return nil, &port.EngineError{Fault: port.EngineRefused, Message: err.Error()}
		}
		body = bytes.NewReader(content)
	}
	r, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return nil, &port.EngineError{Fault: port.EngineRefused, Message: err.Error()}
	}
	r.Header.Set("Content-Type", jsonType)
	if c.orderKey != "" && path == ordersPath {
		r.Header.Set("Authorization", "Bearer "+c.orderKey)
	}
	response, err := c.http.Do(r)
	if err != nil {
		return nil, connectionError(err)
	}
	return response, statusError(response)
}

// statusError returns the EngineError of a response with a status of 400 or higher, and nil for others.
func statusError(response *http.Response) error {
	if response.StatusCode < http.StatusBadRequest {
		return nil
	}
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorTextBytes))
	fault := port.EngineRefused
	switch response.StatusCode {
	case http.StatusNotFound:
		fault = port.EngineKVUnavailable
	case http.StatusInsufficientStorage:
		fault = port.EngineFull
	case http.StatusConflict:
		fault = port.EngineConflict
	}
	return &port.EngineError{Fault: fault, Message: strings.TrimSpace(string(text))}
}

// connectionError returns the EngineError of a failed connection. Only a refused connection proves that nothing was
// sent.
func connectionError(err error) error {
	return &port.EngineError{
		Fault:          port.EngineLost,
		MayHaveStarted: !errors.Is(err, syscall.ECONNREFUSED),
		Message:        err.Error(),
	}
}
