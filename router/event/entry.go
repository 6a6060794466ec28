package event

// Events of an entry.
var (
	// UpstreamUnreachable tells that a sidecar did not answer; it gets no work for a short time.
	UpstreamUnreachable = Event{Number: 2001, Text: "upstream unreachable"}
	// KeyTakenOver tells that this entry took a key over from one that did not answer.
	KeyTakenOver = Event{Number: 2002, Text: "key taken over"}
	// ClaimMoved tells that another entry keeps a key that was worked on here.
	ClaimMoved = Event{Number: 2003, Text: "claim moved"}
	// ContentQuarantined tells that content which crashed engines was refused.
	ContentQuarantined = Event{Number: 2004, Text: "content quarantined"}
	// RelayLost tells that entries which relayed answers went silent.
	RelayLost = Event{Number: 2005, Text: "relay lost"}
)
