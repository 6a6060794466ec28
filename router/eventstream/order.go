package eventstream

const (
	// regularIncrements is the number of equal increments from which on a stream counts as numbered regularly. Fewer also
	// occur by chance in streams whose IDs increase irregularly.
	regularIncrements = 3

	// Next is the place of an event that follows the last one.
	Next Place = 0
	// Repeated is the place of an event that the caller has already.
	Repeated Place = 1
	// Open is the place of an event whose predecessor may be missing. The event after it decides.
	Open Place = 2
	// AfterGap is the place of an event whose predecessor is missing.
	AfterGap Place = 3
	// OutOfOrder is the place of an event that should have come before others, or that is numbered in another way.
	OutOfOrder Place = 4
)

type (
	// Place is the place of a numbered event in a stream.
	Place int

	// Order follows the IDs of one stream, which several answers may continue, and finds events that are missing, repeated
	// or out of order. IDs need only increase, by one or by more, so what is missing shows in the increments alone: those
	// that the stream has shown, and those of a stream whose IDs count events or tokens. Within an answer, an increase is
	// accepted unless the stream is numbered regularly with a smaller increment. An answer that continues another must
	// continue with an increment that is known.
	Order struct {
		// tokensPerEvent is the increment of a stream whose IDs count tokens; zero if unknown.
		tokensPerEvent uint64
		// last is the ID of the last event that the caller has, if hasLast is set.
		last    int64
		hasLast bool
		// resumedAfter is the ID of the last event of an earlier stream, if isResumed is set.
		resumedAfter int64
		isResumed    bool
		// first is the ID of the first event that was accepted, if hasFirst is set.
		first    int64
		hasFirst bool
		// received is the ID of the last event of this answer, if hasReceived is set.
		received    int64
		hasReceived bool
		// increment is the first increment, zero if there was none, and largest the largest one.
		increment, largest uint64
		// increments is the number of increments, all of which are equal unless irregular is set.
		increments int
		irregular  bool
		// isOpen is whether the last event of this answer is open, and openIncrement its increment.
		isOpen        bool
		openIncrement uint64
	}
)

// NewOrder returns the order of a stream. The IDs of its events may count tokens, of which each event has tokensPerEvent.
func NewOrder(tokensPerEvent int) *Order {
	return &Order{tokensPerEvent: uint64(max(0, tokensPerEvent))}
}

// ResumeAfter records that the caller has the events up to an ID, from an earlier stream.
func (o *Order) ResumeAfter(id int64) {
	o.last, o.hasLast = id, true
	o.resumedAfter, o.isResumed = id, true
}

// Last returns the ID of the last event that the caller has, or false if there is none. Open events do not count.
func (o *Order) Last() (int64, bool) {
	return o.last, o.hasLast
}

// IsOpen reports whether the last event of this answer is open. At the end of the answer, nothing shows that the event
// before it is not missing.
func (o *Order) IsOpen() bool {
	return o.isOpen
}

// BeginAnswer records that another answer begins the stream or continues it.
func (o *Order) BeginAnswer() {
	o.hasReceived, o.isOpen = false, false
}

// Accept places the next numbered event of the answer. If the last one was open, Next applies to both.
func (o *Order) Accept(id int64) Place {
	earlier, hasEarlier := o.received, o.hasReceived
	o.received, o.hasReceived = id, true
	switch {
	case o.isOpen:
		return o.acceptAfterOpen(id, earlier)
	case !o.hasLast:
		o.advance(id)
		return Next
	case id <= o.last:
		return o.placeEarlier(id, hasEarlier && id < earlier)
	case hasEarlier && earlier == o.last:
		return o.acceptWithin(id)
	}
	return o.acceptContinued(id)
}

// acceptWithin places an event that follows the last one within an answer.
func (o *Order) acceptWithin(id int64) Place {
	increment := distance(o.last, id)
	if !o.irregular && o.increments >= regularIncrements && increment > o.increment {
		return AfterGap
	}
	o.count(increment)
	o.advance(id)
	return Next
}

// acceptContinued places the first new event of an answer that continues the stream.
func (o *Order) acceptContinued(id int64) Place {
	increment := distance(o.last, id)
	switch {
	case o.increments > 0 && increment > o.largest:
		return AfterGap
	case o.increments == 0 && increment != 1 && increment != o.tokensPerEvent:
		o.isOpen, o.openIncrement = true, increment
		return Open
	}
	o.count(increment)
	o.advance(id)
	return Next
}

// acceptAfterOpen places the event after an open one. A smaller increment shows that an event before the open one is
// missing.
func (o *Order) acceptAfterOpen(id, open int64) Place {
	switch {
	case id == open:
		return Repeated
	case id < open:
		return OutOfOrder
	case distance(open, id) < o.openIncrement:
		return AfterGap
	}
	o.isOpen = false
	o.count(o.openIncrement)
	o.advance(open)
	return o.acceptWithin(id)
}

// placeEarlier places an event whose ID is not beyond the last one. isBackward is whether it is below the one before it in
// the same answer. An answer may begin with events that the caller has, in their order.
func (o *Order) placeEarlier(id int64, isBackward bool) Place {
	switch {
	case id == o.last, o.isResumed && id <= o.resumedAfter:
		return Repeated
	case id < o.first, !o.irregular && distance(o.first, id)%o.increment != 0, o.irregular && isBackward:
		// The caller does not have it, or nothing shows that it does.
		return OutOfOrder
	}
	return Repeated
}

// advance records that the caller has the events up to an ID.
func (o *Order) advance(id int64) {
	if !o.hasFirst {
		o.first, o.hasFirst = id, true
	}
	o.last, o.hasLast = id, true
}

// count records an increment.
func (o *Order) count(increment uint64) {
	if o.increments == 0 {
		o.increment = increment
	}
	o.increments++
	o.largest = max(o.largest, increment)
	o.irregular = o.irregular || increment != o.increment
}

// distance returns how much an ID exceeds another one.
func distance(from, to int64) uint64 {
	return uint64(to) - uint64(from)
}
