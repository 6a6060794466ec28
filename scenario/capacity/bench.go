package capacity

type (
	// Bench is the number of items that each measure creates or sends. Its methods are the measures.
	Bench struct {
		// Items is the number of idempotency records, in-flight requests, reservations and leases.
		Items int
		// Heartbeats is the number of heartbeats without attempts, and of those with attempts.
		Heartbeats int
		// Subscribers is the number of pending watches.
		Subscribers int
	}
)

// NewBench returns the numbers of items that the figures in the capacity documentation are measured with.
func NewBench() *Bench {
	return &Bench{Items: 50_000, Heartbeats: 2000, Subscribers: 1000}
}

// All returns all measures in the order in which they are printed. IdleProcesses starts the programs in the
// folder binaries.
func (b *Bench) All(binaries string) []Measure {
	processes := func() ([]ItemCost, error) { return IdleProcesses(binaries) }
	return append(b.InProcess(), processes)
}

// InProcess returns the measures that start no other process.
func (b *Bench) InProcess() []Measure {
	return []Measure{
		ConfigurationIndex, ConfigurationParts, b.Reservation, b.InFlightRequest, b.ClaimRecord, b.CallRecord, b.Lease,
		b.Heartbeat, b.WatchSubscriber,
	}
}
