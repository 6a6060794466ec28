// Package exchange sends HTTP/1.1 requests to upstreams over its own connections. It sends each request at
// most once, never repeats one by itself, and reports whether a request may have arrived.
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
	// maxUnmatchedResponses is the number of responses to earlier requests that are skipped on one
	// connection.
	maxUnmatchedResponses = 2
)

var (
	errTooManyUnmatched = eris.New("too many answers to other requests")
	// ErrNoResponse reports that no response head arrived within ResponseHeaderTimeout.
	ErrNoResponse = eris.New("no answer in time")
)

type (
	// Result is the outcome of a request: NotSent, Unanswered or Answered.
	//
	//sumtype:decl
	Result interface{ result() }

	// NotSent reports that no part of the request was sent.
	NotSent struct{ Err error }

	// Unanswered reports that the request was sent, at least in part, and that no complete response head
	// arrived. The request may run.
	Unanswered struct {
		Err error
		// Disconnected is whether the connection failed or delivered a malformed response head. Otherwise
		// this client abandoned the request, because of a timeout, its context or a limit on what it reads.
		Disconnected bool
	}

	// Answered holds a response. The caller must read its body or release it.
	Answered struct {
		Response *http.Response
		Body     *Body
		// Reused is whether the connection served an earlier request. The response may then be a late one to that request,
		// unless something in it identifies this one.
		Reused bool
	}

	// Request is an HTTP request to one address.
	Request struct {
		Address string
		// HTTP is the request as it is written. It has a method. If URL.Opaque is set, it is the target, byte for byte, and
		// URL.Scheme is empty. The body is held in memory and has a known length.
		HTTP *http.Request
		// Matches reports whether a response belongs to this request. If nil, any response does.
		Matches func(*http.Response) bool
		// Grow takes memory for a long response head and reports whether it was left. If it is nil, heads are limited to 8 KiB.
		Grow func(bytes int64) bool
		// ConnectTimeout bounds the opening of a connection; zero sets no bound beyond the client's dial
		// timeout.
		ConnectTimeout time.Duration
		// ResponseHeaderTimeout bounds the time until the response head; zero sets no bound beyond the
		// context.
		ResponseHeaderTimeout time.Duration
	}

	// Client sends requests over a pool of connections. It is safe for concurrent use.
	Client struct {
		dial  func(ctx context.Context, address string) (*conn, error)
		idle  *idlePool
		dials atomic.Int64
	}

	// Body is the body of a response. Reading it to its end returns the connection to the pool.
	Body struct {
		source   io.Reader
		once     sync.Once
		finish   func(complete bool)
		conn     *conn
		complete bool
	}
)

func (NotSent) result()    {}
func (Unanswered) result() {}
func (Answered) result()   {}

// Dials returns the number of connections that the client has begun to open.
func (c *Client) Dials() int64 {
	return c.dials.Load()
}

// Do sends a request and reads the response head. When ctx ends, the connection is closed, also while the
// body is being read.
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
		writeErr := <-written
		if k.bytesWritten() == 0 {
			return NotSent{Err: eris.Wrap(errors.Join(err, writeErr), "upstream")}
		}
		return Unanswered{Err: eris.Wrap(err, "upstream"), Disconnected: ctx.Err() == nil && isConnectionError(err)}
	}
	reused := k.answered
	k.answered = true
	return Answered{Response: response, Body: c.newBody(k, response, stop, written), Reused: reused}
}

// isConnectionError reports whether a request failed with its connection. A malformed response head counts as
// such a failure, as a truncated one is malformed. Otherwise no matching response arrived in time or within
// the limits on what is read.
func isConnectionError(err error) bool {
	for _, other := range []error{ErrNoResponse, errTooManyUnmatched, errTooManyInterim, errHeadTooLarge, errHeadMemory, errSkippedTooLong} {
		if errors.Is(err, other) {
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

// open opens a connection. A timeout of zero sets no bound beyond the client's dial timeout.
func (c *Client) open(ctx context.Context, address string, timeout time.Duration) (*conn, error) {
	c.dials.Add(1)
	if timeout > 0 {
		limited, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		ctx = limited
	}
	return c.dial(ctx, address)
}

// Probe opens a connection to an address and adds it to the pool. A timeout of zero sets no bound beyond the
// client's dial timeout.
func (c *Client) Probe(ctx context.Context, address string, timeout time.Duration) error {
	k, err := c.open(ctx, address, timeout)
	if err != nil {
		return err
	}
	c.idle.put(k, time.Now())
	return nil
}

// newBody returns the body of a response. At its end, the connection goes to the pool if it can serve another
// request, and is closed otherwise.
func (c *Client) newBody(k *conn, response *http.Response, stop func() bool, written <-chan error) *Body {
	finish := func(complete bool) {
		active := stop()
		select {
		case err := <-written:
			if active && complete && err == nil && k.reusable(response) {
				if k.widened {
					k.setReceiveBuffer(k.receiveBytes)
				}
				c.idle.put(k, time.Now())
				return
			}
		default: // The upstream responded before it had read the request.
		}
		k.abort()
	}
	return &Body{source: response.Body, finish: finish, conn: k}
}

// Read implements io.Reader.
func (b *Body) Read(p []byte) (int, error) {
	n, err := b.source.Read(p)
	if errors.Is(err, io.EOF) {
		b.complete = true
		b.once.Do(func() { b.finish(true) })
	}
	return n, err
}

// Widen enlarges the receive buffer of the connection until the body is complete, if the client sets the sizes of socket buffers.
// A large body then does not need a round trip for each buffer.
func (b *Body) Widen(receiveBytes int) {
	b.conn.setReceiveBuffer(receiveBytes / 2)
}

// Release closes the connection unless the body was read to its end.
func (b *Body) Release() {
	b.once.Do(func() { b.finish(b.complete) })
}
