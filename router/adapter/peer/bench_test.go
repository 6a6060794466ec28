package peer_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"

	fleetv1 "gooseberrypin.example/gen/fleet/v1"
	"gooseberrypin.example/router/adapter/peer"
	"gooseberrypin.example/router/port"
	"gooseberrypin.example/router/vm"
)

const (
	targetVMs = 2730
)

// BenchmarkWatchOfVMListAtTargetSize measures watches of peers that all need the same VM list, with targetVMs VMs.
func BenchmarkWatchOfVMListAtTargetSize(b *testing.B) {
	list := vm.List{Version: 1}
	for n := range targetVMs {
		list.VMs = append(list.VMs, vm.VM{
			Name: fmt.Sprintf("vm-%d", n), Role: vm.RoleUpstream, State: vm.Live, Region: fmt.Sprintf("region-%d", n%8),
			DataCentre: fmt.Sprintf("centre-%d", n%19), FleetAddress: fmt.Sprintf("10.0.%d.%d:7100", n/250, n%250),
		})
	}
	content, err := json.Marshal(list)
	if err != nil {
		b.Fatal(err)
	}
	p := peer.NewPublisher(&source{update: port.Update{VMs: content}})
	wire := 0
	b.ReportAllocs()
	for b.Loop() {
		response, err := p.Watch(context.Background(), &fleetv1.WatchRequest{})
		if err != nil {
			b.Fatal(err)
		}
		wire = len(response.GetVms())
	}
	b.ReportMetric(float64(len(content)), "list_bytes")
	b.ReportMetric(float64(wire), "wire_bytes")
}
