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
	pushTimeout = 300 * time.Millisecond
	pushWorkers = 16
	// maxConcerned bounds the processes that are told at once; heartbeats tell the others.
	maxConcerned = 1024
)

type (
	// peers serves the twirp service Peers.
	peers struct {
		*peer.Publisher
		sidecar *Sidecar
	}
)

// Heartbeat implements the service Peers.
func (p *peers) Heartbeat(_ context.Context, q *fleetv1.HeartbeatRequest) (*fleetv1.HeartbeatResponse, error) {
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
		Lost:     c.renew(q),
	}, nil
}

// renew keeps the attempts that a keeper lists, ends its others and returns the unknown ones.
func (c *Sidecar) renew(q *fleetv1.HeartbeatRequest) []*fleetv1.Attempt {
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

// pushSuspects tells all entries and the other members of the own pools of new suspects,
// as a caller resends at once.
func (c *Sidecar) pushSuspects() {
	message := &fleetv1.HeartbeatRequest{
		From:     c.process(),
		View:     peer.FromView(c.reader.View()),
		Suspects: wire.FromSuspects(c.suspects.Suspects(time.Now())),
	}
	ctx, cancel := context.WithTimeout(context.Background(), pushTimeout)
	defer cancel()
	slots := make(chan struct{}, pushWorkers)
	var wg sync.WaitGroup
	for _, address := range c.concerned() {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			_, _ = fleetv1.NewPeersProtobufClient(fleet.URL(address), c.client).Heartbeat(ctx, message)
		})
	}
	wg.Wait()
}

// concerned returns the addresses of the processes that must know a suspect soon.
func (c *Sidecar) concerned() []string {
	addresses := c.entries(maxConcerned)
	s := c.store.Current()
	if s == nil {
		return addresses
	}
	for _, p := range s.Index.PoolsOf(c.settings.Upstream) {
		for _, u := range s.Index.Members(p.Name) {
			if u.Name != c.settings.Upstream && len(addresses) < maxConcerned {
				addresses = append(addresses, u.SidecarAddress)
			}
		}
	}
	return addresses
}

// entries returns the fleet addresses of up to n entries.
func (c *Sidecar) entries(n int) []string {
	var addresses []string
	for _, v := range c.vms.Current().VMs {
		if v.Role == vm.RoleEntry && v.FleetAddress != "" && len(addresses) < n {
			addresses = append(addresses, v.FleetAddress)
		}
	}
	return addresses
}
