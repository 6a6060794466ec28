// Package partner is a client that sends the requests of a partner. It resends immediately when an attempt is slow,
// refused or interrupted.
package partner

import (
	"net"
	"net/http"
	"time"

	"gooseberrypin.example/gen/caller/v1/callerv1connect"
)

const (
	defaultHedgeDelay      = 2 * time.Second
	defaultTimeout         = 30 * time.Second
	defaultMaxAttempts     = 100
	defaultDuplicateWindow = 300 * time.Millisecond
	dialTimeout            = time.Second
)

type (
	// Client sends requests of one partner to several entries. It is safe for concurrent use.
	Client struct {
		entries         []entry
		credential      string
		hedgeDelay      time.Duration
		timeout         time.Duration
		duplicateWindow time.Duration
		maxAttempts     int
		waitRetryAfter  bool
	}

	// Option changes a Client.
	Option func(*Client)

	entry struct {
		address string
		client  callerv1connect.RouterClient
	}
)

// WithHedgeDelay sets the interval at which a request without a token or an answer starts another attempt. Earlier
// attempts continue.
func WithHedgeDelay(d time.Duration) Option {
	return func(c *Client) { c.hedgeDelay = d }
}

// WithTimeout sets the time after which a request is abandoned.
func WithTimeout(d time.Duration) Option {
	return func(c *Client) { c.timeout = d }
}

// WithMaxAttempts sets the maximum number of attempts of a request.
func WithMaxAttempts(n int) Option {
	return func(c *Client) { c.maxAttempts = n }
}

// WithRetryAfter makes the client wait for the retry-after time of a refusal before it resends. A refusal without such a time
// is not retried.
func WithRetryAfter() Option {
	return func(c *Client) { c.waitRetryAfter = true }
}

// WithDuplicateWindow sets the time for which the client waits for a second answer from the other attempts after the
// first one.
func WithDuplicateWindow(d time.Duration) Option {
	return func(c *Client) { c.duplicateWindow = d }
}

// New returns a client of the entries at the given addresses, with the credential of the partner.
func New(credential string, addresses []string, options ...Option) *Client {
	c := &Client{
		credential:      credential,
		hedgeDelay:      defaultHedgeDelay,
		timeout:         defaultTimeout,
		duplicateWindow: defaultDuplicateWindow,
		maxAttempts:     defaultMaxAttempts,
	}
	for _, o := range options {
		o(c)
	}
	client := &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: defaultMaxAttempts,
	}}
	for _, address := range addresses {
		router := callerv1connect.NewRouterClient(client, "http://"+address)
		c.entries = append(c.entries, entry{address: address, client: router})
	}
	return c
}
