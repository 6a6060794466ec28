package capacity

// All lists the measures in the order in which they are printed.
func All() []Measure {
	return []Measure{Index, Reservation, InFlight, Claim, Lease, Heartbeat, Subscriber}
}
