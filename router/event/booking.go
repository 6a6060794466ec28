package event

// Events of the sidecar of a plain service.
var (
	// BookingSettled is logged when no other sidecar can run the keys of this one any more.
	BookingSettled = Event{Number: 4001, Text: "bookings settled"}
	// BookingUnsettled is logged when this sidecar must wait for others before it runs keys. It lists their VMs.
	BookingUnsettled = Event{Number: 4002, Text: "bookings unsettled"}
	// ServiceConnectionLost is logged when the connection to the service was lost during a call.
	ServiceConnectionLost = Event{Number: 4003, Text: "service connection lost during a call"}
	// CallNotSent is logged when a call could not be sent to the service.
	CallNotSent = Event{Number: 4004, Text: "call not sent"}
	// BookingHandedOver is logged when records were handed over to the next home.
	BookingHandedOver = Event{Number: 4005, Text: "bookings handed over"}
	// BookingHandOverFailed is logged when records could not be handed over to the next home.
	BookingHandOverFailed = Event{Number: 4006, Text: "handing over bookings failed"}
	// BookingAccepted is logged when records of another home were accepted.
	BookingAccepted = Event{Number: 4007, Text: "bookings accepted"}
)
