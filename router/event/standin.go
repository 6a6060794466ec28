package event

// Events of the stand-ins.
var (
	// StandinListening contains the address that a stand-in serves.
	StandinListening = Event{Number: 9001, Text: "stand-in listening"}
)
