// Package exchange sends HTTP/1.1 requests to upstreams over connections that it owns, exactly
// once each: it never repeats a request by itself, and says whether one may have arrived.
package exchange

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// maxStrays is the number of answers to earlier requests that are skipped on one connection.
	maxStrays = 2
)

var (
	errStrays = eris.New("too many answers to other requests")
	// ErrSilent tells that no answer began within the request's time.
	ErrSilent = eris.New("no answer in time")
)

type (
	// Result is what is known of one sent request.
	//
	//sumtype:decl
	Result interface{ result() }

	// NotSent requests never reached the upstream.
	NotSent struct{ Err error }

	// Unanswered requests were sent, at least in part, and have no whole answer head. They may run.
	Unanswered struct {
		Err error
		// Disconnected tells that the connection ended; otherwise it was given up here.
		Disconnected bool
	}

	// Answered requests have an answer, whose body is still to be read and released.
	Answered struct {
		Response *http.Response
		Body     *Body
	}

	// Request is one request to one address.
	Request struct {
		Address string
		// HTTP is written as it stands. Its body is a byte slice with a known length.
		HTTP *http.Request
		// Matches reports whether a response belongs to this request; nil takes any.
		Matches func(*http.Response) bool
		// ConnectTimeout bounds the opening of a connection; zero takes the client's own bound.
		ConnectTimeout time.Duration
		// ResponseHeaderTimeout bounds the time until the head of the answer; zero leaves it to the context.
		ResponseHeaderTimeout time.Duration
	}

	// Client sends requests. It is safe for concurrent use.
	Client struct {
		dial  func(ctx context.Context, address string) (*conn, error)
		idle  *idlePool
		dials atomic.Int64
	}

	// Body is the body of an answer. Read to its end, it gives the connection back.
	Body struct {
		source io.Reader
		once   sync.Once
		finish func(whole bool)
		whole  bool
	}
)

func (NotSent) result()    {}
func (Unanswered) result() {}
func (Answered) result()   {}

// Dials is the number of connections opened so far.
func (c *Client) Dials() int64 {
	return c.dials.Load()
}

// Do sends a request. Ending ctx closes its connection, also while the body is read.
func (c *Client) Do(ctx context.Context, r Request) Result {
	k, err := c.connection(ctx, r)
	if err != nil {
		return NotSent{Err: err}
	}
	stop := context.AfterFunc(ctx, k.abort)
	written := k.send(r.HTTP)
	response, err := k.receive(r)
	if err != nil {
		stop()
		k.abort()
		failed := <-written
		if k.sent() == 0 {
			return NotSent{Err: eris.Wrap(errors.Join(err, failed), "upstream")}
		}
		return Unanswered{Err: eris.Wrap(err, "upstream"), Disconnected: ctx.Err() == nil && ended(err)}
	}
	return Answered{Response: response, Body: c.attach(k, response, stop, written)}
}

// ended reports whether an error tells that the connection ended; otherwise its peer sent what is no
// answer, or nothing in time.
func ended(err error) bool {
	for _, given := range []error{ErrSilent, errStrays, errInterim, errEndless} {
		if errors.Is(err, given) {
			return false
		}
	}
	return true
}

func (c *Client) connection(ctx context.Context, r Request) (*conn, error) {
	if k := c.idle.take(r.Address, time.Now()); k != nil {
		return k, nil
	}
	return c.open(ctx, r.Address, r.ConnectTimeout)
}

// open opens a connection; a limit of zero leaves the bound to the client.
func (c *Client) open(ctx context.Context, address string, limit time.Duration) (*conn, error) {
	c.dials.Add(1)
	if limit > 0 {
		limited, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		ctx = limited
	}
	return c.dial(ctx, address)
}

// Probe opens a connection to an address, which a later request may use.
func (c *Client) Probe(ctx context.Context, address string, limit time.Duration) error {
	k, err := c.open(ctx, address, limit)
	if err != nil {
		return err
	}
	c.idle.put(k, time.Now())
	return nil
}

// attach makes the end of the body decide what becomes of the connection.
func (c *Client) attach(k *conn, response *http.Response, stop func() bool, written <-chan error) *Body {
	finish := func(whole bool) {
		live := stop()
		select {
		case err := <-written:
			if live && whole && err == nil && k.reusable(response) {
				c.idle.put(k, time.Now())
				return
			}
		default: // The upstream answered before it had read the request.
		}
		k.abort()
	}
	return &Body{source: response.Body, finish: finish}
}

// Read implements io.Reader.
func (b *Body) Read(p []byte) (int, error) {
	n, err := b.source.Read(p)
	if errors.Is(err, io.EOF) {
		b.whole = true
		b.once.Do(func() { b.finish(true) })
	}
	return n, err
}

// Release gives up what was not read. The connection is closed unless the body was read whole.
func (b *Body) Release() {
	b.once.Do(func() { b.finish(b.whole) })
}
