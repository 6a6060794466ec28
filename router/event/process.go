package event

// Events of every process.
var (
	// Listening tells the addresses that a process serves.
	Listening = Event{Number: 1001, Text: "listening"}
	// Draining tells that a planned stop began.
	Draining = Event{Number: 1002, Text: "draining"}
	// Stopped tells that the process ends.
	Stopped = Event{Number: 1003, Text: "stopped"}
	// SettingsRefused tells why the settings are not valid.
	SettingsRefused = Event{Number: 1004, Text: "settings refused"}
	// ServeFailed tells that a listener ended unexpectedly.
	ServeFailed = Event{Number: 1005, Text: "serving failed"}
)
