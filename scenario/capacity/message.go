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
	heartbeatAttempts = 64
	// maxPendingDials is the number of watches that may be dialled but not yet pending at the server. More
	// concurrent dials delay each other beyond the dial timeout.
	maxPendingDials = 20
	watchTimeout    = 30 * time.Second
)

type (
	// countingListener counts the bytes that all its connections read and write.
	countingListener struct {
		net.Listener
		byteCount *atomic.Int64
	}

	// countingConn adds the bytes that it reads and writes to byteCount.
	countingConn struct {
		net.Conn
		byteCount *atomic.Int64
	}

	// stubPeer answers heartbeats immediately and blocks watches until the client cancels them.
	stubPeer struct {
		// waitingWatches is the number of watches received so far.
		waitingWatches atomic.Int64
	}

	// loopbackPeer is a stub peer that serves on a loopback address, and a client of it.
	loopbackPeer struct {
		stub   *stubPeer
		client fleetv1.Peers
		server *http.Server
		// wireBytes counts the bytes of all connections, both ways.
		wireBytes atomic.Int64
		// dial returns a new client with its own connections.
		dial func() fleetv1.Peers
	}
)

// Heartbeat measures a heartbeat without attempts and one attempt in a heartbeat. The processor time is the sum
// of both ends.
func (b *Bench) Heartbeat() ([]ItemCost, error) {
	p, err := newLoopbackPeer()
	if err != nil {
		return nil, err
	}
	defer p.close()
	empty, err := p.measureHeartbeats("heartbeat and its answer, no attempts", b.Heartbeats, 0)
	if err != nil {
		return nil, err
	}
	loaded, err := p.measureHeartbeats("", b.Heartbeats, heartbeatAttempts)
	if err != nil {
		return nil, err
	}
	attempt := ItemCost{
		Name:           "attempt in a heartbeat",
		Items:          b.Heartbeats * heartbeatAttempts,
		CPUNanoseconds: (loaded.CPUNanoseconds - empty.CPUNanoseconds) / heartbeatAttempts,
		WireBytes:      (loaded.WireBytes - empty.WireBytes) / heartbeatAttempts,
	}
	return []ItemCost{empty, attempt}, nil
}

// WatchSubscriber measures one pending watch on its own connection. The memory is the sum of both ends.
func (b *Bench) WatchSubscriber() ([]ItemCost, error) {
	p, err := newLoopbackPeer()
	if err != nil {
		return nil, err
	}
	defer p.close()
	ctx, cancel := context.WithTimeout(context.Background(), watchTimeout)
	defer cancel()
	m := newMeter()
	p.wireBytes.Store(0)
	for i := range b.Subscribers {
		client := p.dial()
		go func() { _, _ = client.Watch(ctx, &fleetv1.WatchRequest{View: &fleetv1.View{Revision: 1}}) }()
		if err := p.awaitWatches(ctx, i+1-maxPendingDials); err != nil {
			return nil, err
		}
	}
	if err := p.awaitWatches(ctx, b.Subscribers); err != nil {
		return nil, err
	}
	cost := m.perItem("subscriber of a watch, both ends", b.Subscribers)
	cost.WireBytes = float64(p.wireBytes.Load()) / float64(b.Subscribers)
	return []ItemCost{cost}, nil
}

// newLoopbackPeer starts the server and returns the peer with one client.
func newLoopbackPeer() (*loopbackPeer, error) {
	keys := access.NewKeys("a fleet key for the measurement")
	p := &loopbackPeer{stub: &stubPeer{}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "exchange")
	}
	p.server = fleet.NewServer(keys.Require(fleetv1.NewPeersServer(p.stub)))
	go func() { _ = p.server.Serve(&countingListener{Listener: listener, byteCount: &p.wireBytes}) }()
	p.dial = func() fleetv1.Peers {
		return fleetv1.NewPeersProtobufClient(fleet.URL(listener.Addr().String()), fleet.NewClient(keys, nil))
	}
	p.client = p.dial()
	return p, nil
}

// measureHeartbeats sends count heartbeats, each with the given number of attempts, after a warm-up of a tenth
// as many. It returns the processor time and bytes of one heartbeat.
func (p *loopbackPeer) measureHeartbeats(name string, count, attempts int) (ItemCost, error) {
	heartbeat := &fleetv1.HeartbeatRequest{
		From: &fleetv1.Process{
			Name: "entry-104", Kind: "entry", FleetAddress: "10.3.17.104:7001",
			DataCentre: "data-centre-7", StartedUnixMs: 1_796_350_000_000,
		},
		View: &fleetv1.View{Revision: 41_218, Digest: request.KeyDigest("manifest", ""), VmsVersion: 90_210},
	}
	for i := range attempts {
		heartbeat.Attempts = append(heartbeat.Attempts, &fleetv1.Attempt{
			KeyDigest: request.KeyDigest("partner", fmt.Sprint(i)), Number: 1_796_350_000_000_000_000,
		})
	}
	for range count / 10 {
		if _, err := p.client.Heartbeat(context.Background(), heartbeat); err != nil {
			return ItemCost{}, eris.Wrap(err, "heartbeat")
		}
	}
	m := newMeter()
	p.wireBytes.Store(0)
	for range count {
		if _, err := p.client.Heartbeat(context.Background(), heartbeat); err != nil {
			return ItemCost{}, eris.Wrap(err, "heartbeat")
		}
	}
	cost := m.perItem(name, count)
	cost.MemoryBytes = 0
	cost.WireBytes = float64(p.wireBytes.Load()) / float64(count)
	return cost, nil
}

// awaitWatches waits until at least count watches are pending at the stub.
func (p *loopbackPeer) awaitWatches(ctx context.Context, count int) error {
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	for p.stub.waitingWatches.Load() < int64(count) {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return eris.Errorf("watch: %d of %d are pending", p.stub.waitingWatches.Load(), count)
		}
	}
	return nil
}

func (p *loopbackPeer) close() {
	_ = p.server.Close()
}

// Heartbeat implements fleetv1.Peers.
func (*stubPeer) Heartbeat(_ context.Context, r *fleetv1.HeartbeatRequest) (*fleetv1.HeartbeatResponse, error) {
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
func (p *stubPeer) Watch(ctx context.Context, r *fleetv1.WatchRequest) (*fleetv1.WatchResponse, error) {
	p.waitingWatches.Add(1)
	<-ctx.Done()
	return &fleetv1.WatchResponse{View: r.GetView()}, nil
}

// Part implements fleetv1.Peers.
func (*stubPeer) Part(context.Context, *fleetv1.PartRequest) (*fleetv1.PartResponse, error) {
	return &fleetv1.PartResponse{}, nil
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: c, byteCount: l.byteCount}, nil
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.byteCount.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.byteCount.Add(int64(n))
	return n, err
}
