package entry

import (
	"context"
	"time"

	fleetv1 "gooseberrypin.example/gen/fleet/v1"
	"gooseberrypin.example/router/adapter/peer"
	"gooseberrypin.example/router/adapter/wire"
)

type (
	// peers implements the fleet service Peers.
	peers struct {
		*peer.Publisher
		entry *Entry
	}
)

func newPeers(e *Entry) *peers {
	return &peers{Publisher: peer.NewPublisher(e.reader), entry: e}
}

// Heartbeat implements Heartbeat of the service Peers. It renews the sender's leases and cancels the connections that the
// sender no longer lists.
func (p *peers) Heartbeat(_ context.Context, q *fleetv1.HeartbeatRequest) (*fleetv1.HeartbeatResponse, error) {
	e := p.entry
	var wanted []string
	for _, a := range q.GetAttempts() {
		wanted = append(wanted, leaseItem(wire.ToAttempt(a)))
	}
	dropped, _ := e.relays.table.Renew(q.GetFrom().GetName(), wanted, newConnectionGrace, time.Now())
	e.relays.cancel(dropped)
	e.crashes.merge(q.GetSuspects())
	e.reader.ObserveView(q.GetFrom().GetFleetAddress(), peer.ToView(q.GetView()))
	return &fleetv1.HeartbeatResponse{
		Process:  e.process(),
		View:     peer.FromView(e.reader.View()),
		Suspects: e.crashes.suspects(),
	}, nil
}
