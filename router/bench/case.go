package bench

import (
	"time"
)

const (
	greedyPartner = "partner-00"
	greedyAbsent  = "greedy_absent"

	stormEvery   = 40 * time.Second
	stormStart   = 30 * time.Second
	stormLength  = 3 * time.Second
	lossEvery    = 20 * time.Second
	lossLength   = 10 * time.Second
	stormServers = (decodeServers + 1) / 2
	// recoveryBound is when the goodput must be back after a storm.
	recoveryBound  = 2 * time.Second
	recoveryWindow = 10 * time.Second
)

type (
	// Case is one situation to decide in.
	Case struct {
		Name string
		// load is the offered rate, in capacities, of the partners that are not greedy.
		load float64
		// greedy is the offered rate of the greedy partner, in capacities.
		greedy float64
		storm  bool
		faults bool
	}
)

// Cases returns the situations that are measured. The last one is the yardstick of greedy_partner.
func Cases() []Case {
	return []Case{
		{Name: "steady_0.8x", load: 0.8},
		{Name: "overload_2x", load: 2},
		{Name: "storm", load: 0.8, storm: true},
		{Name: "faults_0.8x", load: 0.8, faults: true},
		{Name: "greedy_partner", load: 0.5, greedy: 3},
		{Name: greedyAbsent, load: 0.5},
	}
}
