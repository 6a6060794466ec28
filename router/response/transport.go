package response

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"

	"github.com/rotisserie/eris"
)

var (
	errConn = eris.New("response over a connection that does not check heads")
)

type (
	// transport is an http.RoundTripper that returns an error for a broken response.
	transport struct {
		next *http.Transport
	}
)

// NewTransport returns a round tripper that reads its responses over connections of type Conn and checks their heads. It takes over
// t, which must not be used otherwise, for HTTP/1.1 without TLS.
func NewTransport(t *http.Transport) http.RoundTripper {
	dial := t.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
	return transport{t}
}

// NewClient returns a client with the default settings of net/http over such a round tripper.
func NewClient() *http.Client {
	t := &http.Transport{}
	if d, ok := http.DefaultTransport.(*http.Transport); ok {
		t = d.Clone()
	}
	return &http.Client{Transport: NewTransport(t)}
}

// RoundTrip implements http.RoundTripper.
func (t transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var conn *Conn
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		if c, ok := i.Conn.(*Conn); ok {
			c.BeginHead(nil)
			conn = c
		}
	}}
	a, err := t.next.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := check(conn, a); err != nil {
		_ = a.Body.Close()
		return nil, err
	}
	return a, nil
}

// check checks a response that was read over a connection, and closes the connection if it is broken. It may be idle already, but
// what follows such a response is no other one.
func check(c *Conn, a *http.Response) error {
	if c == nil {
		return errConn
	}
	err := c.CheckHead(a)
	if err != nil {
		_ = c.Close()
	}
	return err
}
