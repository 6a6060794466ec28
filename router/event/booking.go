package event

// Events of the sidecar of a plain service.
var (
	// BookingSettled tells that no other sidecar can run this one's keys any more.
	BookingSettled = Event{Number: 4001, Text: "bookings settled"}
	// BookingUnsettled tells whom this sidecar waits for before it runs keys.
	BookingUnsettled = Event{Number: 4002, Text: "bookings unsettled"}
	// ServiceConnectionLost tells that a service was lost during a call.
	ServiceConnectionLost = Event{Number: 4003, Text: "service lost during a call"}
	// CallNotSent tells that a call could not be sent.
	CallNotSent = Event{Number: 4004, Text: "call not sent"}
	// BookingHandedOver tells that records went to the next home.
	BookingHandedOver = Event{Number: 4005, Text: "bookings handed over"}
	// BookingHandOverFailed tells that records could not be given to the next home.
	BookingHandOverFailed = Event{Number: 4006, Text: "bookings not handed over"}
	// BookingAccepted tells that records of another home were taken.
	BookingAccepted = Event{Number: 4007, Text: "bookings accepted"}
)
