package entry

import (
	"slices"

	"gooseberrypin.example/router/settings"
)

const (
	naiveClaim      = "claim"
	naiveDrain      = "drain"
	naiveKeeperLost = "keeper_lost"
	naivePeers      = "peer_configuration"
)

type (
	// Settings are the settings of an entry.
	Settings struct {
		settings.Process
		// CallerAddress serves partners, as IP:port.
		CallerAddress string `json:"caller_address"`
		// Naive switches mechanisms off by name. Only tests use it.
		Naive []string `json:"naive,omitempty"`
	}
)

// Check returns all faults as one error, or nil.
func (s *Settings) Check() error {
	var f settings.Faults
	s.Process.Check(&f)
	f.Address("caller_address", s.CallerAddress)
	for _, name := range s.Naive {
		if !slices.Contains([]string{naiveClaim, naiveDrain, naiveKeeperLost, naivePeers}, name) {
			f.Addf("naive: %q is unknown", name)
		}
	}
	return f.Err()
}
