package entry

import (
	"context"
	"fmt"
	"sync"
	"time"

	fleetv1 "gooseberrypin.example/gen/fleet/v1"
	"gooseberrypin.example/router/adapter/fleet"
	"gooseberrypin.example/router/adapter/peer"
	"gooseberrypin.example/router/adapter/wire"
	"gooseberrypin.example/router/event"
	"gooseberrypin.example/router/lease"
	"gooseberrypin.example/router/port"
)

const (
	heartbeatInterval = 500 * time.Millisecond
	heartbeatTimeout  = 450 * time.Millisecond
	relayLeaseTerm    = 1500 * time.Millisecond
	// newConnectionGrace is the age up to which a connection is kept although its relay's heartbeat does not list it. The
	// relay may have sent the heartbeat before it opened the connection.
	newConnectionGrace = time.Second
	expireInterval     = 100 * time.Millisecond
)

type (
	// relays holds the leases of entries that relay this entry's answers to callers. Each leased item is a connection
	// with its cancel function.
	relays struct {
		table *lease.Table

		mu      sync.Mutex
		cancels map[string]context.CancelFunc
	}
)

func newRelays() *relays {
	return &relays{table: lease.NewTable(relayLeaseTerm), cancels: make(map[string]context.CancelFunc)}
}

// add leases a connection to a relay.
func (r *relays) add(relay, item string, cancel context.CancelFunc) {
	r.mu.Lock()
	r.cancels[item] = cancel
	r.mu.Unlock()
	r.table.Add(relay, item, time.Now())
}

// remove ends the lease of a connection.
func (r *relays) remove(relay, item string) {
	r.table.Remove(relay, item)
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.cancels, item)
}

// cancel cancels connections, with the same effect as when their callers disconnect.
func (r *relays) cancel(items []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, item := range items {
		if cancel, found := r.cancels[item]; found {
			cancel()
		}
	}
}

// expireRelays periodically cancels the connections of relays that have sent no heartbeat for relayLeaseTerm.
func (e *Entry) expireRelays(ctx context.Context) {
	every(ctx, expireInterval, func() {
		expired := e.relays.table.Expire(time.Now())
		if len(expired) > 0 {
			e.log.Info(event.RelayLost, "connections", len(expired))
		}
		e.relays.cancel(expired)
	})
}

// renewLeases periodically sends a heartbeat to each process that holds an attempt or a connection for this entry.
func (e *Entry) renewLeases(ctx context.Context) {
	every(ctx, heartbeatInterval, func() {
		for _, address := range e.holdings.Addresses() {
			go e.heartbeat(ctx, address)
		}
	})
}

// heartbeat sends one heartbeat with the leases to renew, and merges the view, suspects and load of the response.
func (e *Entry) heartbeat(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	q := &fleetv1.HeartbeatRequest{
		From:     e.process(),
		View:     peer.FromView(e.reader.View()),
		Suspects: e.crashes.suspects(),
	}
	q.From.Name = e.id
	for _, a := range e.holdings.Attempts(address) {
		q.Attempts = append(q.Attempts, wire.FromAttempt(a))
	}
	m, err := fleetv1.NewPeersProtobufClient(fleet.URL(address), e.http).Heartbeat(ctx, q)
	if err != nil {
		e.metrics.Add("heartbeats_missed", 1)
		e.holdings.HeartbeatMissed(address)
		return
	}
	e.holdings.HeartbeatAnswered(address)
	e.metrics.Add("heartbeats", 1)
	e.reader.ObserveView(address, peer.ToView(m.GetView()))
	e.crashes.merge(m.GetSuspects())
	if l := m.GetLoad(); l.GetUpstream() != "" {
		e.route.Observe(wire.ToLoad(l), time.Now())
	}
}

// leaseItem returns the name of a leased attempt.
func leaseItem(a port.Attempt) string {
	return fmt.Sprintf("%s/%d", a.KeyDigest, a.Number)
}
