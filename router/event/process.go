package event

// Events of every process.
var (
	// Listening lists the addresses that a process serves.
	Listening = Event{Number: 1001, Text: "listening"}
	// Draining is logged when a planned stop begins.
	Draining = Event{Number: 1002, Text: "draining"}
	// Stopped is logged when the process exits.
	Stopped = Event{Number: 1003, Text: "stopped"}
	// SettingsRefused is logged when the settings are not valid, with the reason.
	SettingsRefused = Event{Number: 1004, Text: "settings refused"}
	// ServeFailed is logged when a listener closed unexpectedly.
	ServeFailed = Event{Number: 1005, Text: "serving failed"}
)
