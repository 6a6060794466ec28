package capacity

// All lists the measures in the order in which they are printed. The programs are taken
// from binaries.
func All(binaries string) []Measure {
	processes := func() ([]Slope, error) { return Processes(binaries) }
	return append(InProcess(), processes)
}

// InProcess lists the measures that start no other process.
func InProcess() []Measure {
	return []Measure{
		Index, Part, Reservation, InFlight, Claim, Booking, Lease, Heartbeat, Subscriber,
	}
}
