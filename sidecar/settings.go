package sidecar

import (
	"slices"

	"gooseberrypin.example/router/configuration"
	"gooseberrypin.example/router/settings"
	"gooseberrypin.example/sidecar/engine"
)

const (
	naiveLeases   = "leases"
	naiveOrphans  = "orphans"
	naiveSuspects = "suspects"
	naiveLeaving  = "leaving"
	naiveOrders   = "orders"
	naiveBookings = "bookings"
	naivePeers    = "peer_configuration"
)

type (
	// Settings are the settings of a sidecar.
	Settings struct {
		settings.Process
		// Upstream is the upstream's name in the configuration.
		Upstream string `json:"upstream"`
		// UpstreamAddress is the upstream's own IP:port.
		UpstreamAddress string `json:"upstream_address"`
		// Kind is "engine" or "service".
		Kind configuration.Kind `json:"kind"`
		// OrderKey authenticates orders to an engine that requires it.
		OrderKey string `json:"order_key,omitempty"`
		// Naive lists protections to disable. Only tests use it.
		Naive []string `json:"naive,omitempty"`
	}
)

// Check returns one error with all faults in the settings, or nil.
func (s *Settings) Check() error {
	var f settings.Faults
	s.Process.Check(&f)
	f.Required("upstream", s.Upstream)
	f.Address("upstream_address", s.UpstreamAddress)
	if s.Kind != configuration.KindEngine && s.Kind != configuration.KindService {
		f.Addf("kind: %q is neither %q nor %q", s.Kind, configuration.KindEngine, configuration.KindService)
	}
	known := []string{naiveLeases, naiveOrphans, naiveSuspects, naiveLeaving, naiveOrders, naiveBookings, naivePeers}
	for _, n := range s.Naive {
		if !slices.Contains(known, n) {
			f.Addf("naive: %q is unknown", n)
		}
	}
	return f.Err()
}

// engineNaive returns the protections to disable in the engine's controller.
func (s *Settings) engineNaive() engine.Naive {
	return engine.Naive{
		KeepsLeases:     slices.Contains(s.Naive, naiveLeases),
		KeepsOrphans:    slices.Contains(s.Naive, naiveOrphans),
		IgnoresSuspects: slices.Contains(s.Naive, naiveSuspects),
		IgnoresLeaving:  slices.Contains(s.Naive, naiveLeaving),
		OrdersAtOnce:    slices.Contains(s.Naive, naiveOrders),
	}
}
