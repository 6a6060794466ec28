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
	resultBytes = 200
	desk        = "desk"
	deskVM      = "vm-desk"
	// settledFor lets a home run keys that are created now.
	settledFor = time.Minute
	tick       = 500 * time.Millisecond
)

// Booking measures one record of a call that ran, with a result of 200 bytes.
func (b *Bench) Booking() ([]Slope, error) {
	now := time.Now()
	home, err := b.newHome(now.Add(-settledFor))
	if err != nil {
		return nil, err
	}
	m := newMeter()
	for i := range b.Items {
		c := booking.Call{
			Key:           request.KeyDigest("partner", attempt(i)),
			Created:       now,
			ContentDigest: request.KeyDigest("content", attempt(i)),
			Pool:          desk,
			Revision:      1,
		}
		granted, ok := home.Begin(c, now).(booking.Granted)
		if !ok {
			return nil, eris.Errorf("booking: record %d was not granted", i)
		}
		home.Complete(c, granted, booking.Result{Status: 200, Body: make([]byte, resultBytes)})
	}
	s := m.slope("idempotency record of a call, 200 B result", b.Items)
	runtime.KeepAlive(home)
	return []Slope{s}, nil
}

// Part measures the check of a configuration of the target's size, for each byte of its parts.
func Part() ([]Slope, error) {
	const rounds = 5
	manifest, parts := configuration.Split(newConfiguration(Upstreams, Partners))
	total, largest := 0, 0
	for _, part := range parts {
		total += len(part)
		largest = max(largest, len(part))
	}
	kept := make([]*configuration.Snapshot, rounds)
	m := newMeter()
	for i := range kept {
		snapshot, faults := configuration.Build(manifest, parts)
		if len(faults) > 0 {
			return nil, eris.Errorf("part: %s", faults[0])
		}
		kept[i] = snapshot
	}
	whole := m.slope("configuration of the target, kept and checked", rounds)
	whole.WireBytes = float64(total + len(manifest))
	runtime.KeepAlive(kept)
	count := float64(len(parts))
	each := Slope{
		Name:           "its part, on average",
		Items:          rounds * len(parts),
		MemoryBytes:    whole.MemoryBytes / count,
		CPUNanoseconds: whole.CPUNanoseconds / count,
		WireBytes:      float64(total) / count,
	}
	biggest := Slope{Name: "its largest part", Items: 1, WireBytes: float64(largest)}
	return []Slope{whole, each, biggest}, nil
}

// newHome returns a home that settled at the given time.
func (b *Bench) newHome(settled time.Time) (*booking.Home, error) {
	index, err := configuration.NewIndex(&configuration.Configuration{
		Revision: 1,
		Pools:    []configuration.Pool{{Name: desk, Role: configuration.RoleService, Selector: "role=service"}},
		Rules:    []configuration.Rule{{Name: desk, Service: desk, ServicePool: desk}},
		Upstreams: []configuration.Upstream{
			{Name: desk, Kind: configuration.KindService, VM: deskVM, Labels: label.Labels{"role": "service"}},
		},
	})
	if err != nil {
		return nil, err
	}
	home := booking.NewHome(booking.Member{Upstream: desk, VM: deskVM},
		booking.WithMaxRecords(2*int64(b.Items)), booking.WithMaxResultBytes(4*int64(b.Items)*resultBytes))
	home.Adopt(index, settled)
	home.SetVMs(&vm.List{Version: 1, VMs: []vm.VM{{Name: deskVM, Role: vm.RoleUpstream, State: vm.Live}}}, settled)
	for at := settled; at.Before(settled.Add(settledFor)); at = at.Add(tick) {
		home.Tick(at)
	}
	return home, nil
}
