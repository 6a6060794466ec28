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
	relayLease        = 1500 * time.Millisecond
	relayGrace        = time.Second
	expireInterval    = 100 * time.Millisecond
)

type (
	// relays holds the leases of the entries that relay answers kept here.
	relays struct {
		table *lease.Table

		mu      sync.Mutex
		cancels map[string]context.CancelFunc
	}
)

func newRelays() *relays {
	return &relays{table: lease.NewTable(relayLease), cancels: make(map[string]context.CancelFunc)}
}

func (r *relays) add(relay, item string, cancel context.CancelFunc) {
	r.mu.Lock()
	r.cancels[item] = cancel
	r.mu.Unlock()
	r.table.Add(relay, item, time.Now())
}

func (r *relays) remove(relay, item string) {
	r.table.Remove(relay, item)
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.cancels, item)
}

// cancel ends connections as if their callers had gone.
func (r *relays) cancel(items []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, item := range items {
		if cancel, found := r.cancels[item]; found {
			cancel()
		}
	}
}

// expireRelays ends the connections of relays that went silent.
func (e *Entry) expireRelays(ctx context.Context) {
	every(ctx, expireInterval, func() {
		expired := e.relays.table.Expire(time.Now())
		if len(expired) > 0 {
			e.log.Info(event.RelayLost, "connections", len(expired))
		}
		e.relays.cancel(expired)
	})
}

// renewLeases sends one heartbeat to each process where anything is held.
func (e *Entry) renewLeases(ctx context.Context) {
	every(ctx, heartbeatInterval, func() {
		for _, address := range e.holdings.Addresses() {
			go e.heartbeat(ctx, address)
		}
	})
}

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

// leaseItem names a leased attempt.
func leaseItem(a port.Attempt) string {
	return fmt.Sprintf("%s/%d", a.KeyDigest, a.Number)
}
