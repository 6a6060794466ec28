// Package sidecar calls the sidecars of engines: over connect for streams and over twirp for unary calls.
package sidecar

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	fleetv1 "gooseberrypin.example/gen/fleet/v1"
	"gooseberrypin.example/gen/fleet/v1/fleetv1connect"
	"gooseberrypin.example/router/adapter/fleet"
	"gooseberrypin.example/router/adapter/wire"
	"gooseberrypin.example/router/claim"
	"gooseberrypin.example/router/port"
	"gooseberrypin.example/router/refusal"
)

const (
	defaultUnaryTimeout = time.Second
)

type (
	// Option configures the client.
	Option func(*client)

	// client implements port.Sidecars.
	client struct {
		http    *http.Client
		timeout time.Duration
		observe func(port.Load)

		mu    sync.Mutex
		peers map[string]*peer
	}

	// peer holds the generated clients for one address.
	peer struct {
		prefiller fleetv1connect.PrefillerClient
		decoder   fleetv1connect.DecoderClient
		engines   fleetv1.Engines
		claims    fleetv1.Claims
	}
)

// NewClient returns a client that calls sidecars by their fleet address.
func NewClient(c *http.Client, options ...Option) port.Sidecars {
	s := &client{http: c, timeout: defaultUnaryTimeout, observe: func(port.Load) {}, peers: make(map[string]*peer)}
	for _, o := range options {
		o(s)
	}
	return s
}

// WithTimeout sets the timeout of each unary call. The default is 1 s.
func WithTimeout(timeout time.Duration) Option {
	return func(c *client) { c.timeout = timeout }
}

// WithLoadObserver sets a function that receives the load reports contained in responses.
func WithLoadObserver(observe func(port.Load)) Option {
	return func(c *client) { c.observe = observe }
}

// StartPrefill implements port.Sidecars.
func (c *client) StartPrefill(ctx context.Context, address string, a port.Attempt) (*refusal.Refusal, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	m, err := c.peer(address).engines.StartPrefill(ctx, &fleetv1.StartPrefillRequest{Attempt: wire.FromAttempt(a)})
	if err != nil {
		return nil, eris.Wrapf(err, "start prefill at %s", address)
	}
	return wire.ToRefusal(m.GetRefusal()), nil
}

// Reserve implements port.Sidecars.
func (c *client) Reserve(ctx context.Context, address string, r port.Reservation) (port.Load, *refusal.Refusal, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	m, err := c.peer(address).engines.Reserve(ctx, &fleetv1.ReserveRequest{
		Attempt:         wire.FromAttempt(r.Attempt),
		Keeper:          r.Keeper,
		Partner:         r.Partner,
		Model:           r.Model,
		Fingerprint:     r.Fingerprint,
		PromptTokens:    int64(r.PromptTokens),
		MaxOutputTokens: int32(r.MaxOutputTokens),
		HoldMs:          r.Hold.Milliseconds(),
	})
	if err != nil {
		return port.Load{}, nil, eris.Wrapf(err, "reserve at %s", address)
	}
	load := wire.ToLoad(m.GetLoad())
	c.observeLoad(m.GetLoad())
	return load, wire.ToRefusal(m.GetRefusal()), nil
}

// Release implements port.Sidecars.
func (c *client) Release(ctx context.Context, address string, a port.Attempt) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	_, err := c.peer(address).engines.Release(ctx, &fleetv1.ReleaseRequest{Attempt: wire.FromAttempt(a)})
	return eris.Wrapf(err, "release at %s", address)
}

// Claim implements claim.Homes.
func (c *client) Claim(ctx context.Context, address string, q claim.Request) (claim.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	message := &fleetv1.ClaimRequest{
		KeyDigest:     q.KeyDigest,
		ContentDigest: q.ContentDigest,
		Keeper:        q.Keeper,
		KeeperAddress: q.KeeperAddress,
		Unreachable:   q.Unreachable,
	}
	m, err := c.peer(address).claims.Claim(ctx, message)
	if err != nil && ctx.Err() == nil {
		// A reused connection fails when the home's process terminates. A new connection shows whether the process
		// runs.
		m, err = c.peer(address).claims.Claim(ctx, message)
	}
	if err != nil {
		return nil, homeError(err, "claim", address)
	}
	switch o := m.GetOutcome().(type) {
	case *fleetv1.ClaimResponse_Granted:
		return claim.Granted{Number: o.Granted.GetNumber(), Covered: wire.Milliseconds(m.GetCoveredMs())}, nil
	case *fleetv1.ClaimResponse_Held:
		return claim.Held{Keeper: o.Held.GetKeeper(), KeeperAddress: o.Held.GetKeeperAddress()}, nil
	case *fleetv1.ClaimResponse_Refusal:
		return claim.Refused{Refusal: wire.ToRefusal(o.Refusal)}, nil
	}
	return nil, eris.Errorf("claim at %s: no outcome", address)
}

// Settle implements claim.Homes.
func (c *client) Settle(ctx context.Context, address, keyDigest string, number uint64, keeper string, answered bool) (claim.Settlement, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	m, err := c.peer(address).claims.Settle(ctx, &fleetv1.SettleRequest{
		Attempt:  &fleetv1.Attempt{KeyDigest: keyDigest, Number: number},
		Keeper:   keeper,
		Answered: answered,
	})
	if err != nil {
		return claim.Unknown, homeError(err, "settle", address)
	}
	switch {
	case m.GetSettled():
		return claim.Settled, nil
	case m.GetUnknown():
		return claim.Unknown, nil
	}
	return claim.Lost, nil
}

// homeError wraps the error of a call to a home. A refused connection becomes claim.ErrDown, because it shows that the
// home's process does not run.
func homeError(err error, what, address string) error {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return eris.Wrapf(claim.ErrDown, "%s at %s", what, address)
	}
	return eris.Wrapf(err, "%s at %s", what, address)
}

// observeLoad passes the load report of a response to the observer. A response without a report has a nil message.
func (c *client) observeLoad(m *fleetv1.Load) {
	if m != nil {
		c.observe(wire.ToLoad(m))
	}
}

// peer returns the generated clients for an address. It creates them on first use.
func (c *client) peer(address string) *peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, found := c.peers[address]
	if found {
		return p
	}
	url := fleet.URL(address)
	p = &peer{
		prefiller: fleetv1connect.NewPrefillerClient(c.http, url),
		decoder:   fleetv1connect.NewDecoderClient(c.http, url),
		engines:   fleetv1.NewEnginesProtobufClient(url, c.http),
		claims:    fleetv1.NewClaimsProtobufClient(url, c.http),
	}
	c.peers[address] = p
	return p
}
