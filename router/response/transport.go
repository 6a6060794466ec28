package response

import (
	"context"
	"net"
	"net/http"
)

type (
	// transport is an http.RoundTripper that returns an error for a broken response.
	transport struct {
		next *http.Transport
	}
)

// NewTransport returns a round tripper that reads its responses over connections of type Conn and checks their heads. It takes over
// t, which must not be used otherwise.
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
	a, err := t.next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := CheckHead(a); err != nil {
		// Closing a body that was not read to its end closes the connection.
		_ = a.Body.Close()
		return nil, err
	}
	return a, nil
}
