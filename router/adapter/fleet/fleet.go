// Package fleet provides the HTTP client and server with which the system's own processes communicate over HTTP/2
// without TLS.
package fleet

import (
	"context"
	"net"
	"net/http"
	"time"

	"gooseberrypin.example/router/access"
)

const (
	dialTimeout       = 500 * time.Millisecond
	pingAfterIdle     = time.Second
	pingTimeout       = 1500 * time.Millisecond
	headerTimeout     = 5 * time.Second
	idleConnTimeout   = 90 * time.Second
	maxHeaderBytes    = 16 << 10
	maxStreamsPerConn = 10_000
)

// NewClient returns a client that sends the fleet key with each request. Overrides maps published addresses to the
// addresses to dial instead.
func NewClient(keys access.Keys, overrides map[string]string) *http.Client {
	return &http.Client{Transport: keys.Transport(NewTransport(overrides))}
}

// NewTransport returns an HTTP/2 transport without TLS that detects an unresponsive peer with pings. Overrides maps
// published addresses to the addresses to dial instead.
func NewTransport(overrides map[string]string) *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		Protocols:       protocols,
		IdleConnTimeout: idleConnTimeout,
		HTTP2:           &http.HTTP2Config{SendPingTimeout: pingAfterIdle, PingTimeout: pingTimeout},
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			if to, found := overrides[address]; found {
				address = to
			}
			return dialer.DialContext(ctx, network, address)
		},
	}
}

// NewServer returns a server for HTTP/1.1 and HTTP/2 without TLS.
func NewServer(handler http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           handler,
		Protocols:         protocols,
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: maxStreamsPerConn},
	}
}

// URL returns the base URL of a published IP:port.
func URL(address string) string {
	return "http://" + address
}
