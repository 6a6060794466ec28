package capacity

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	fleetv1 "gooseberrypin.example/gen/fleet/v1"
	"gooseberrypin.example/router/access"
	"gooseberrypin.example/router/adapter/fleet"
	"gooseberrypin.example/router/request"
)

const (
	manyAttempts = 64
	// dialsAtOnce keeps connections from waiting for each other beyond their timeout.
	dialsAtOnce      = 20
	subscribeTimeout = 30 * time.Second
)

type (
	// countingListener counts the bytes of all its connections, both ways.
	countingListener struct {
		net.Listener
		bytes *atomic.Int64
	}

	countingConn struct {
		net.Conn
		bytes *atomic.Int64
	}

	// silentPeer answers heartbeats at once and lets watches wait.
	silentPeer struct {
		waiting atomic.Int64
	}

	// exchange is a peer on loopback and a client of it.
	exchange struct {
		peer   *silentPeer
		client fleetv1.Peers
		server *http.Server
		bytes  atomic.Int64
		dial   func() fleetv1.Peers
	}
)

// Heartbeat measures a heartbeat with and without attempts; the processor time is that
// of both ends together.
func (b *Bench) Heartbeat() ([]Slope, error) {
	x, err := newExchange()
	if err != nil {
		return nil, err
	}
	defer x.close()
	empty, err := x.heartbeats("heartbeat and its answer, no attempts", b.Heartbeats, 0)
	if err != nil {
		return nil, err
	}
	many, err := x.heartbeats("", b.Heartbeats, manyAttempts)
	if err != nil {
		return nil, err
	}
	each := Slope{
		Name:           "attempt in a heartbeat",
		Items:          b.Heartbeats * manyAttempts,
		CPUNanoseconds: (many.CPUNanoseconds - empty.CPUNanoseconds) / manyAttempts,
		WireBytes:      (many.WireBytes - empty.WireBytes) / manyAttempts,
	}
	return []Slope{empty, each}, nil
}

// Subscriber measures a waiting watch with a connection of its own; the memory is that
// of both ends together.
func (b *Bench) Subscriber() ([]Slope, error) {
	x, err := newExchange()
	if err != nil {
		return nil, err
	}
	defer x.close()
	ctx, cancel := context.WithTimeout(context.Background(), subscribeTimeout)
	defer cancel()
	m := newMeter()
	x.bytes.Store(0)
	for i := range b.Subscribers {
		client := x.dial()
		go func() { _, _ = client.Watch(ctx, &fleetv1.WatchRequest{View: &fleetv1.View{Revision: 1}}) }()
		if err := x.awaitWatches(ctx, i+1-dialsAtOnce); err != nil {
			return nil, err
		}
	}
	if err := x.awaitWatches(ctx, b.Subscribers); err != nil {
		return nil, err
	}
	s := m.slope("subscriber of a watch, both ends", b.Subscribers)
	s.WireBytes = float64(x.bytes.Load()) / float64(b.Subscribers)
	return []Slope{s}, nil
}

func newExchange() (*exchange, error) {
	keys := access.NewKeys("a fleet key for the measurement")
	x := &exchange{peer: &silentPeer{}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "exchange")
	}
	x.server = fleet.NewServer(keys.Require(fleetv1.NewPeersServer(x.peer)))
	go func() { _ = x.server.Serve(&countingListener{Listener: listener, bytes: &x.bytes}) }()
	x.dial = func() fleetv1.Peers {
		return fleetv1.NewPeersProtobufClient(fleet.URL(listener.Addr().String()), fleet.NewClient(keys, nil))
	}
	x.client = x.dial()
	return x, nil
}

func (x *exchange) heartbeats(name string, count, attempts int) (Slope, error) {
	beat := &fleetv1.HeartbeatRequest{
		From: &fleetv1.Process{
			Name: "entry-104", Kind: "entry", FleetAddress: "10.3.17.104:7001",
			DataCentre: "data-centre-7", StartedUnixMs: 1_796_350_000_000,
		},
		View: &fleetv1.View{Revision: 41_218, Digest: request.KeyDigest("manifest", ""), VmsVersion: 90_210},
	}
	for i := range attempts {
		beat.Attempts = append(beat.Attempts, &fleetv1.Attempt{
			KeyDigest: request.KeyDigest("partner", fmt.Sprint(i)), Number: 1_796_350_000_000_000_000,
		})
	}
	for range count / 10 {
		if _, err := x.client.Heartbeat(context.Background(), beat); err != nil {
			return Slope{}, eris.Wrap(err, "heartbeat")
		}
	}
	m := newMeter()
	x.bytes.Store(0)
	for range count {
		if _, err := x.client.Heartbeat(context.Background(), beat); err != nil {
			return Slope{}, eris.Wrap(err, "heartbeat")
		}
	}
	s := m.slope(name, count)
	s.MemoryBytes = 0
	s.WireBytes = float64(x.bytes.Load()) / float64(count)
	return s, nil
}

func (x *exchange) awaitWatches(ctx context.Context, count int) error {
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for x.peer.waiting.Load() < int64(count) {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return eris.Errorf("watch: %d of %d wait", x.peer.waiting.Load(), count)
		}
	}
	return nil
}

func (x *exchange) close() {
	_ = x.server.Close()
}

// Heartbeat implements fleetv1.Peers.
func (*silentPeer) Heartbeat(_ context.Context, r *fleetv1.HeartbeatRequest) (*fleetv1.HeartbeatResponse, error) {
	return &fleetv1.HeartbeatResponse{
		Process: r.GetFrom(),
		View:    r.GetView(),
		Load: &fleetv1.Load{
			Upstream: "upstream-1733", QueueDelayMs: 140, FreePieces: 212, TotalPieces: 1600,
			Running: 41, RunningLimit: 48, StepUs: 31_000, Accepting: true, AgeMs: 180,
		},
	}, nil
}

// Watch implements fleetv1.Peers.
func (p *silentPeer) Watch(ctx context.Context, r *fleetv1.WatchRequest) (*fleetv1.WatchResponse, error) {
	p.waiting.Add(1)
	<-ctx.Done()
	return &fleetv1.WatchResponse{View: r.GetView()}, nil
}

// Part implements fleetv1.Peers.
func (*silentPeer) Part(context.Context, *fleetv1.PartRequest) (*fleetv1.PartResponse, error) {
	return &fleetv1.PartResponse{}, nil
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: c, bytes: l.bytes}, nil
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}
