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
)

const (
	dialTimeout     = time.Second
	maxFailureBytes = 512
	jsonType        = "application/json"
	ordersPath      = "/v1/orders"
)

type (
	// Client is the port.Engine of one engine.
	Client struct {
		base     string
		orderKey string
		http     *http.Client
	}
)

// NewClient returns a client of the engine at an IP:port. The order key is sent with orders only.
func NewClient(address, orderKey string) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: http.DefaultMaxIdleConnsPerHost}
	return &Client{base: "http://" + address, orderKey: orderKey, http: &http.Client{Transport: transport}}
}

// Prefill implements port.Engine.
func (c *Client) Prefill(ctx context.Context, work port.PrefillWork) (port.PrefillResult, error) {
	var result port.PrefillResult
	return result, c.call(ctx, http.MethodPost, "/v1/prefill", work, &result)
}

// Import implements port.Engine.
func (c *Client) Import(ctx context.Context, work port.ImportWork) iter.Seq2[port.ImportProgress, error] {
	return func(yield func(port.ImportProgress, error) bool) {
		for progress, err := range lines[port.ImportProgress](ctx, c, "/v1/import", work) {
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
		for token, err := range lines[port.EngineToken](ctx, c, "/v1/decode", work) {
			if !yield(token, err) || err != nil || token.Finished {
				return
			}
		}
	}
}

// Cancel implements port.Engine.
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
		return lost(err)
	}
	return nil
}

// lines yields the values of an NDJSON answer. An answer that is cut ends with an error.
func lines[T any](ctx context.Context, c *Client, path string, in any) iter.Seq2[T, error] {
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
				yield(next, lost(err))
				return
			}
			if !yield(next, nil) {
				return
			}
		}
	}
}

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
		return nil, lost(err)
	}
	return response, statusError(response)
}

func statusError(response *http.Response) error {
	if response.StatusCode < http.StatusBadRequest {
		return nil
	}
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxFailureBytes))
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

// lost reports a broken connection. Only a refused dial proves that nothing was sent.
func lost(err error) error {
	return &port.EngineError{
		Fault:          port.EngineLost,
		MayHaveStarted: !errors.Is(err, syscall.ECONNREFUSED),
		Message:        err.Error(),
	}
}
