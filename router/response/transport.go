package response

import (
	"context"
	"net"
	"net/http"
)

// NewTransport returns a transport that reads its responses over connections of type Conn. It takes over t, which must not be used
// otherwise.
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
	return t
}
