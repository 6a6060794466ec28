package eventstream

const (
	// Next is the place of an event that the caller does not have and that may follow the last one.
	Next Place = 0
	// Repeated is the place of an event that the caller has already.
	Repeated Place = 1
	// OutOfOrder is the place of an event that does not belong after the last one.
	OutOfOrder Place = 2
)

type (
	// Place is the place of a numbered event in a stream.
	Place int

	// Order follows the IDs of one stream, which several answers may continue. All that servers promise is that the IDs of an
	// answer increase. By how much may change from event to event and shows nothing: neither that an event is missing, nor that
	// two answers belong together. What shows is an answer whose IDs decrease, and one that starts again before the last event
	// that was forwarded and does not contain that event.
	Order struct {
		// last is the ID of the last event that the caller has, if hasLast is set.
		last    ID
		hasLast bool
		// hasForwarded is whether an event was forwarded. Otherwise last is what the caller stated.
		hasForwarded bool
		// received is the ID of the last event of this answer, if hasReceived is set.
		received    ID
		hasReceived bool
	}
)

// NewOrder returns the order of a stream.
func NewOrder() *Order { return &Order{} }

// ResumeAfter records that the caller states to have the events up to an ID, from an earlier stream.
func (o *Order) ResumeAfter(id ID) { o.last, o.hasLast = id, true }

// Last returns the ID of the last event that the caller has, or false if there is none.
func (o *Order) Last() (ID, bool) { return o.last, o.hasLast }

// BeginAnswer records that another answer begins the stream or continues it.
func (o *Order) BeginAnswer() { o.hasReceived = false }

// Accept places the next numbered event of the answer.
func (o *Order) Accept(id ID) Place {
	startsBeforeLast := o.startsBeforeLast()
	decreases := o.hasReceived && id.Less(o.received)
	o.received, o.hasReceived = id, true
	switch {
	case decreases:
		return OutOfOrder
	case o.hasLast && !o.last.Less(id):
		return Repeated
	case startsBeforeLast:
		return OutOfOrder
	}
	o.last, o.hasLast, o.hasForwarded = id, true, true
	return Next
}

// EndsEarly reports whether an answer that ends now lacks events that were forwarded from another answer.
func (o *Order) EndsEarly() bool { return o.startsBeforeLast() }

// startsBeforeLast reports whether all events of the answer so far come before the last one that was forwarded.
func (o *Order) startsBeforeLast() bool {
	return o.hasForwarded && o.hasReceived && o.received.Less(o.last)
}
