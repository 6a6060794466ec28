package bench

import (
	"time"
)

const (
	greedyPartner  = "partner-00"
	greedyBaseline = "greedy_absent"

	// stormStart is the time from the start of a run to its first storm.
	stormStart         = 30 * time.Second
	stormInterval      = 40 * time.Second
	stormDuration      = 3 * time.Second
	crashInterval      = 20 * time.Second
	restartDelay       = 10 * time.Second
	stalledServerCount = (decodeServerCount + 1) / 2
	// recoveryTimeout is the time after the end of a storm within which the goodput must recover.
	recoveryTimeout = 2 * time.Second
	// recoveryWindow is the time after recoveryTimeout in which the recovery is measured.
	recoveryWindow = 10 * time.Second
)

type (
	// Case is one simulated situation.
	Case struct {
		Name string
		// load is the offered rate of all partners except the greedy one, as a multiple of the capacity.
		load float64
		// greedy is the offered rate of the greedy partner, as a multiple of the capacity.
		greedy float64
		// storm enables storms, in which some decode servers stall.
		storm bool
		// faults enables crashes of decode servers, stalled transfers and cancellations by callers.
		faults bool
	}
)

// Cases returns the cases to measure. The last one is the baseline for greedy_partner.
func Cases() []Case {
	return []Case{
		{Name: "steady_0.8x", load: 0.8},
		{Name: "overload_2x", load: 2},
		{Name: "storm", load: 0.8, storm: true},
		{Name: "faults_0.8x", load: 0.8, faults: true},
		{Name: "greedy_partner", load: 0.5, greedy: 3},
		{Name: greedyBaseline, load: 0.5},
	}
}
