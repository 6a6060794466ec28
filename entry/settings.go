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
		// CallerAddress is the IP:port that serves partners.
		CallerAddress string `json:"caller_address"`
		// Naive contains the names of mechanisms to disable. It is for tests only.
		Naive []string `json:"naive,omitempty"`
	}
)

// Check returns an error that lists all faults of the settings, or nil.
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
