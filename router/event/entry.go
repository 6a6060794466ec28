package event

// Events of an entry.
var (
	// UpstreamUnreachable is logged when a sidecar did not answer. It receives no work for a short time.
	UpstreamUnreachable = Event{Number: 2001, Text: "upstream unreachable"}
	// KeyTakenOver is logged when this entry took over a key from an entry that did not answer.
	KeyTakenOver = Event{Number: 2002, Text: "key taken over"}
	// ClaimMoved is logged when another entry has become the keeper of a key that this entry worked on.
	ClaimMoved = Event{Number: 2003, Text: "claim moved"}
	// ContentQuarantined is logged when content that has crashed engines was refused.
	ContentQuarantined = Event{Number: 2004, Text: "content quarantined"}
	// RelayLost is logged when entries that relayed answers became unresponsive.
	RelayLost = Event{Number: 2005, Text: "relay lost"}
)
