package capacity

type (
	// Bench holds how much is measured of each kind.
	Bench struct {
		// Items is the number of records, reservations and leases.
		Items int
		// Heartbeats is the number of heartbeats of each kind.
		Heartbeats int
		// Subscribers is the number of waiting watches.
		Subscribers int
	}
)

// NewBench returns the amounts that the page on capacity is measured with.
func NewBench() *Bench {
	return &Bench{Items: 50_000, Heartbeats: 2000, Subscribers: 1000}
}

// All lists the measures in the order in which they are printed. The programs are taken
// from binaries.
func (b *Bench) All(binaries string) []Measure {
	processes := func() ([]Slope, error) { return Processes(binaries) }
	return append(b.InProcess(), processes)
}

// InProcess lists the measures that start no other process.
func (b *Bench) InProcess() []Measure {
	return []Measure{
		Index, Part, b.Reservation, b.InFlight, b.Claim, b.Booking, b.Lease, b.Heartbeat, b.Subscriber,
	}
}
