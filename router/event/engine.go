package event

// Events of an engine's sidecar.
var (
	// EngineLost is logged when the connection to the engine was lost or refused, as after a crash.
	EngineLost = Event{Number: 3001, Text: "engine lost"}
	// EngineFound is logged when an engine that counted as down responds.
	EngineFound = Event{Number: 3002, Text: "engine found"}
	// LeaseExpired is logged when a keeper became unresponsive and its attempts were cancelled.
	LeaseExpired = Event{Number: 3003, Text: "lease expired"}
	// OrphanCancelled is logged when a stream of the engine without an attempt was cancelled.
	OrphanCancelled = Event{Number: 3004, Text: "orphan stream cancelled"}
	// CancelFailed is logged when a stream could not be cancelled. The next sweep retries.
	CancelFailed = Event{Number: 3005, Text: "cancel failed"}
	// OrderAccepted is logged when the engine accepted an order.
	OrderAccepted = Event{Number: 3006, Text: "engine order accepted"}
	// OrderFailed is logged when the engine did not accept an order.
	OrderFailed = Event{Number: 3007, Text: "order failed"}
	// CrashSuspects lists the fingerprints of the requests that ran when the engine was lost.
	CrashSuspects = Event{Number: 3008, Text: "crash suspects"}
	// Resumed is logged when the process resumes after it was paused.
	Resumed = Event{Number: 3009, Text: "resumed after a pause"}
	// EngineUnresponsive is logged when the engine accepts connections but does not answer.
	EngineUnresponsive = Event{Number: 3010, Text: "engine unresponsive"}
	// LatePromptTried is logged when an idle engine takes a prompt whose first token is predicted to be late.
	LatePromptTried = Event{Number: 3011, Text: "late prompt tried on an idle engine"}
	// RefusedWhileIdle is logged when a prompt is refused as late while the engine is idle.
	RefusedWhileIdle = Event{Number: 3012, Text: "refused while the engine is idle"}
)
