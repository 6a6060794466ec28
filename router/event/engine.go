package event

// Events of an engine's sidecar.
var (
	// EngineLost tells that the engine died or went silent.
	EngineLost = Event{Number: 3001, Text: "engine lost"}
	// EngineFound tells that the engine answers.
	EngineFound = Event{Number: 3002, Text: "engine found"}
	// LeaseExpired tells that a keeper went silent and its attempts were cancelled.
	LeaseExpired = Event{Number: 3003, Text: "lease expired"}
	// OrphanCancelled tells that a stream of the engine had no attempt.
	OrphanCancelled = Event{Number: 3004, Text: "orphan stream cancelled"}
	// CancelFailed tells that a stream could not be cancelled; the next sweep tries again.
	CancelFailed = Event{Number: 3005, Text: "cancel failed"}
	// OrderAccepted tells that the engine took an order.
	OrderAccepted = Event{Number: 3006, Text: "engine ordered"}
	// OrderFailed tells that the engine did not take an order.
	OrderFailed = Event{Number: 3007, Text: "order failed"}
	// CrashSuspects tells the fingerprints that ran when the engine was lost.
	CrashSuspects = Event{Number: 3008, Text: "crash suspects"}
	// Resumed tells that the process was paused.
	Resumed = Event{Number: 3009, Text: "resumed after a pause"}
	// EngineUnresponsive tells that the engine accepts connections but doesn't answer.
	EngineUnresponsive = Event{Number: 3010, Text: "engine silent"}
)
