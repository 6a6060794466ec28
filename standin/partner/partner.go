// Package partner is a client that resends at once.
package partner

import (
	"net"
	"net/http"
	"time"

	"gooseberrypin.example/gen/caller/v1/callerv1connect"
)

const (
	defaultPatience = 2 * time.Second
	defaultTimeout  = 30 * time.Second
	defaultTries    = 100
	defaultGrace    = 300 * time.Millisecond
	dialTimeout     = time.Second
)

type (
	// Client sends requests of one partner to several entries.
	Client struct {
		entries    []entry
		credential string
		patience   time.Duration
		timeout    time.Duration
		grace      time.Duration
		tries      int
		heed       bool
	}

	// Option changes a Client.
	Option func(*Client)

	entry struct {
		address string
		router  callerv1connect.RouterClient
	}
)

// WithHedgeDelay sets the wait for a first token or an answer before a resend.
func WithHedgeDelay(d time.Duration) Option {
	return func(c *Client) { c.patience = d }
}

// WithTimeout sets the time after which a request is given up.
func WithTimeout(d time.Duration) Option {
	return func(c *Client) { c.timeout = d }
}

// WithMaxAttempts bounds the tries of a request.
func WithMaxAttempts(n int) Option {
	return func(c *Client) { c.tries = n }
}

// WithRetryAfter makes the client wait as long as a refusal says.
func WithRetryAfter() Option {
	return func(c *Client) { c.heed = true }
}

// WithDuplicateWindow sets how long older tries are watched for a second answer.
func WithDuplicateWindow(d time.Duration) Option {
	return func(c *Client) { c.grace = d }
}

// New returns a client of the entries at the given addresses.
func New(credential string, addresses []string, options ...Option) *Client {
	c := &Client{
		credential: credential,
		patience:   defaultPatience,
		timeout:    defaultTimeout,
		grace:      defaultGrace,
		tries:      defaultTries,
	}
	for _, o := range options {
		o(c)
	}
	client := &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: defaultTries,
	}}
	for _, address := range addresses {
		router := callerv1connect.NewRouterClient(client, "http://"+address)
		c.entries = append(c.entries, entry{address: address, router: router})
	}
	return c
}
