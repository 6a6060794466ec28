// Package platform reads manifests, their parts and the VM list from the platform's configuration service over HTTP.
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
	maxResponseBytes = 4 << 20
)

type (
	// Client implements port.Platform over HTTP.
	Client struct {
		base   string
		client *http.Client
	}
)

// NewClient returns a client of the configuration service at an IP:port.
func NewClient(address string, client *http.Client) *Client {
	return &Client{base: "http://" + address, client: client}
}

// Manifest implements port.Platform.
func (c *Client) Manifest(ctx context.Context, after int64, wait time.Duration) ([]byte, error) {
	return c.get(ctx, "/v1/manifest", watchQuery(after, wait))
}

// Part implements port.Platform.
func (c *Client) Part(ctx context.Context, sha256 string) ([]byte, error) {
	return c.get(ctx, "/v1/parts/"+url.PathEscape(sha256), nil)
}

// VMs implements port.Platform.
func (c *Client) VMs(ctx context.Context, after int64, wait time.Duration) ([]byte, error) {
	return c.get(ctx, "/v1/vms", watchQuery(after, wait))
}

// watchQuery returns the query of a long poll for a version above after. The service responds after at most wait.
func watchQuery(after int64, wait time.Duration) url.Values {
	return url.Values{
		"after":   {strconv.FormatInt(after, 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
}

// get returns the body of a response with status 200, or nil for status 204. Any other status is an error.
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
		return nil, eris.New(fmt.Sprintf("platform: %s returned status %s", path, response.Status))
	}
}

func readAll(body io.Reader) ([]byte, error) {
	content, err := io.ReadAll(io.LimitReader(body, maxResponseBytes+1))
	if err != nil {
		return nil, eris.Wrap(err, "platform")
	}
	if len(content) > maxResponseBytes {
		return nil, eris.Errorf("platform: response is larger than %d bytes", maxResponseBytes)
	}
	return content, nil
}
