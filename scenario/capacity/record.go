package capacity

import (
	"runtime"
	"time"

	"github.com/rotisserie/eris"

	"gooseberrypin.example/router/booking"
	"gooseberrypin.example/router/configuration"
	"gooseberrypin.example/router/label"
	"gooseberrypin.example/router/request"
	"gooseberrypin.example/router/vm"
)

const (
	// resultBytes is the size of a stored result.
	resultBytes = 200
	serviceName = "desk"
	serviceVM   = "vm-desk"
	// settleTime is how long before the measurement the home starts. It is long enough that the home has settled
	// and grants keys created now.
	settleTime   = time.Minute
	tickInterval = 500 * time.Millisecond
)

// CallRecord measures the idempotency record of a call that ran, with a result of resultBytes.
func (b *Bench) CallRecord() ([]ItemCost, error) {
	now := time.Now()
	home, err := b.newHome(now.Add(-settleTime))
	if err != nil {
		return nil, err
	}
	m := newMeter()
	for i := range b.Items {
		c := booking.Call{
			Key:           request.KeyDigest("partner", itemKey(i)),
			Created:       now,
			ContentDigest: request.KeyDigest("content", itemKey(i)),
			Pool:          serviceName,
			Revision:      1,
		}
		granted, ok := home.Begin(c, now).(booking.Granted)
		if !ok {
			return nil, eris.Errorf("booking: call %d was not granted", i)
		}
		home.Complete(c, granted, booking.Result{Status: 200, Body: make([]byte, resultBytes)})
	}
	cost := m.perItem("idempotency record of a call, 200 B result", b.Items)
	runtime.KeepAlive(home)
	return []ItemCost{cost}, nil
}

// ConfigurationParts measures building and checking a configuration of the target size from its parts: the
// whole configuration, the average of a part, and the size of the largest part.
func ConfigurationParts() ([]ItemCost, error) {
	const rounds = 5
	manifest, parts := configuration.Split(newConfiguration(Upstreams, Partners))
	partBytes, largestBytes := 0, 0
	for _, part := range parts {
		partBytes += len(part)
		largestBytes = max(largestBytes, len(part))
	}
	snapshots := make([]*configuration.Snapshot, rounds)
	m := newMeter()
	for i := range snapshots {
		snapshot, faults := configuration.Build(manifest, parts)
		if len(faults) > 0 {
			return nil, eris.Errorf("configuration: %s", faults[0])
		}
		snapshots[i] = snapshot
	}
	full := m.perItem("configuration of the target size, checked", rounds)
	full.WireBytes = float64(partBytes + len(manifest))
	runtime.KeepAlive(snapshots)
	count := float64(len(parts))
	average := ItemCost{
		Name:           "part of that configuration, average",
		Items:          rounds * len(parts),
		MemoryBytes:    full.MemoryBytes / count,
		CPUNanoseconds: full.CPUNanoseconds / count,
		WireBytes:      float64(partBytes) / count,
	}
	largest := ItemCost{Name: "part of that configuration, largest", Items: 1, WireBytes: float64(largestBytes)}
	return []ItemCost{full, average, largest}, nil
}

// newHome returns a home that adopted its configuration at start and then ran for settleTime. It has room for
// the records and results of b.Items calls.
func (b *Bench) newHome(start time.Time) (*booking.Home, error) {
	index, err := configuration.NewIndex(&configuration.Configuration{
		Revision: 1,
		Pools:    []configuration.Pool{{Name: serviceName, Role: configuration.RoleService, Selector: "role=service"}},
		Rules:    []configuration.Rule{{Name: serviceName, Service: serviceName, ServicePool: serviceName}},
		Upstreams: []configuration.Upstream{
			{Name: serviceName, Kind: configuration.KindService, VM: serviceVM, Labels: label.Labels{"role": "service"}},
		},
	})
	if err != nil {
		return nil, err
	}
	home := booking.NewHome(booking.Member{Upstream: serviceName, VM: serviceVM},
		booking.WithMaxRecords(2*int64(b.Items)), booking.WithMaxResultBytes(4*int64(b.Items)*resultBytes))
	home.Adopt(index, start)
	home.SetVMs(&vm.List{Version: 1, VMs: []vm.VM{{Name: serviceVM, Role: vm.RoleUpstream, State: vm.Live}}}, start)
	for at := start; at.Before(start.Add(settleTime)); at = at.Add(tickInterval) {
		home.Tick(at)
	}
	return home, nil
}
