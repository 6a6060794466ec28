// Package platform reads the platform's configuration service and VM list over HTTP.
package platform

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// maxBytes bounds one answer.
	maxBytes = 4 << 20
)

type (
	// Client implements port.Platform.
	Client struct {
		base   string
		client *http.Client
	}
)

// NewClient returns a client for the platform's IP:port.
func NewClient(address string, client *http.Client) *Client {
	return &Client{base: "http://" + address, client: client}
}

// Manifest implements port.Platform.
func (c *Client) Manifest(ctx context.Context, after int64, wait time.Duration) ([]byte, error) {
	return c.get(ctx, "/v1/manifest", watch(after, wait))
}

// Part implements port.Platform.
func (c *Client) Part(ctx context.Context, sha256 string) ([]byte, error) {
	return c.get(ctx, "/v1/parts/"+url.PathEscape(sha256), nil)
}

// VMs implements port.Platform.
func (c *Client) VMs(ctx context.Context, after int64, wait time.Duration) ([]byte, error) {
	return c.get(ctx, "/v1/vms", watch(after, wait))
}

func watch(after int64, wait time.Duration) url.Values {
	return url.Values{
		"after":   {strconv.FormatInt(after, 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
}

// get returns the body, or nil for 204.
func (c *Client) get(ctx context.Context, path string, query url.Values) ([]byte, error) {
	target := c.base + path
	if len(query) > 0 {
		target += "?" + query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, eris.Wrap(err, "platform")
	}
	response, err := c.client.Do(request)
	if err != nil {
		return nil, eris.Wrap(err, "platform")
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusNoContent:
		return nil, nil
	case http.StatusOK:
		return readAll(response.Body)
	default:
		return nil, eris.New(fmt.Sprintf("platform: %s answers %s", path, response.Status))
	}
}

func readAll(body io.Reader) ([]byte, error) {
	content, err := io.ReadAll(io.LimitReader(body, maxBytes+1))
	if err != nil {
		return nil, eris.Wrap(err, "platform")
	}
	if len(content) > maxBytes {
		return nil, eris.Errorf("platform: an answer has more than %d bytes", maxBytes)
	}
	return content, nil
}
