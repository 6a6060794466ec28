package sidecar

import (
	"context"
	"sync"
	"time"

	fleetv1 "gooseberrypin.example/gen/fleet/v1"
	"gooseberrypin.example/router/adapter/fleet"
	"gooseberrypin.example/router/adapter/peer"
	"gooseberrypin.example/router/adapter/wire"
	"gooseberrypin.example/router/port"
	"gooseberrypin.example/router/vm"
)

const (
	pushTimeout         = 300 * time.Millisecond
	maxConcurrentPushes = 16
	// maxPushTargets is the maximum number of processes to which new suspects are pushed. The
	// others receive them with heartbeats.
	maxPushTargets = 1024
)

type (
	// peersServer implements the twirp service Peers.
	peersServer struct {
		*peer.Publisher
		sidecar *Sidecar
	}
)

// Heartbeat implements the service Peers.
func (p *peersServer) Heartbeat(_ context.Context, q *fleetv1.HeartbeatRequest) (*fleetv1.HeartbeatResponse, error) {
	c := p.sidecar
	now := time.Now()
	c.suspects.Merge(wire.ToSuspects(q.GetSuspects()), now)
	if q.GetView() != nil {
		c.reader.ObserveView(q.GetFrom().GetFleetAddress(), peer.ToView(q.GetView()))
	}
	return &fleetv1.HeartbeatResponse{
		Process:  c.process(),
		View:     peer.FromView(c.reader.View()),
		Load:     c.load(),
		Suspects: wire.FromSuspects(c.suspects.Suspects(now)),
		Lost:     c.renewLeases(q),
	}, nil
}

// renewLeases renews the leases of the attempts that a keeper lists and cancels its other
// attempts. It returns the listed attempts that are not held here.
func (c *Sidecar) renewLeases(q *fleetv1.HeartbeatRequest) []*fleetv1.Attempt {
	switch u := c.upstream.(type) {
	case modelEngine:
		wanted := make([]port.Attempt, 0, len(q.GetAttempts()))
		for _, a := range q.GetAttempts() {
			wanted = append(wanted, wire.ToAttempt(a))
		}
		var lost []*fleetv1.Attempt
		for _, a := range u.controller.Heartbeat(q.GetFrom().GetName(), wanted) {
			lost = append(lost, wire.FromAttempt(a))
		}
		return lost
	case plainService:
	}
	return nil
}

// process returns this process's description for messages to other processes.
func (c *Sidecar) process() *fleetv1.Process {
	address, _ := c.fleetAddress.Load().(string)
	return &fleetv1.Process{
		Name:          c.settings.Name,
		Kind:          processKind,
		FleetAddress:  address,
		DataCentre:    c.settings.DataCentre,
		StartedUnixMs: c.started.UnixMilli(),
		Draining:      c.draining.Load(),
	}
}

// pushSuspects sends the suspects to the entries and to the other members of this upstream's
// pools. It does not wait for the next heartbeats, because a caller may resend immediately.
func (c *Sidecar) pushSuspects() {
	message := &fleetv1.HeartbeatRequest{
		From:     c.process(),
		View:     peer.FromView(c.reader.View()),
		Suspects: wire.FromSuspects(c.suspects.Suspects(time.Now())),
	}
	ctx, cancel := context.WithTimeout(context.Background(), pushTimeout)
	defer cancel()
	slots := make(chan struct{}, maxConcurrentPushes)
	var wg sync.WaitGroup
	for _, address := range c.pushTargets() {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			_, _ = fleetv1.NewPeersProtobufClient(fleet.URL(address), c.client).Heartbeat(ctx, message)
		})
	}
	wg.Wait()
}

// pushTargets returns the fleet addresses of the processes to which new suspects are pushed.
func (c *Sidecar) pushTargets() []string {
	addresses := c.entryAddresses(maxPushTargets)
	s := c.store.Current()
	if s == nil {
		return addresses
	}
	for _, p := range s.Index.PoolsOf(c.settings.Upstream) {
		for _, u := range s.Index.Members(p.Name) {
			if u.Name != c.settings.Upstream && len(addresses) < maxPushTargets {
				addresses = append(addresses, u.SidecarAddress)
			}
		}
	}
	return addresses
}

// entryAddresses returns the fleet addresses of the first n entries in the VM list.
func (c *Sidecar) entryAddresses(n int) []string {
	var addresses []string
	for _, v := range c.vms.Current().VMs {
		if v.Role == vm.RoleEntry && v.FleetAddress != "" && len(addresses) < n {
			addresses = append(addresses, v.FleetAddress)
		}
	}
	return addresses
}
