package gateway

const (
	// FirstTry is the first send of a request.
	FirstTry SendReason = iota
	// Prefill sends the prompt to a prefill engine before the decode.
	Prefill
	// AfterNotRun follows a send that its upstream did not run.
	AfterNotRun
	// Retry follows a send without a complete answer.
	Retry
	// Hedge runs concurrently with a slow send to another upstream.
	Hedge
	// Resume continues a truncated stream at another upstream.
	Resume
	// Move continues a stream whose run was stopped, at the engine that holds its memory.
	Move

	sendReasonCount = iota
)

type (
	// SendReason is why a request was sent to an upstream.
	SendReason int

	// Sends counts the sends of a request by their reason.
	Sends [sendReasonCount]int
)

// String returns the name of the reason in logs and metrics.
func (r SendReason) String() string {
	switch r {
	case FirstTry:
		return "first"
	case Prefill:
		return "prefill"
	case AfterNotRun:
		return "after_not_run"
	case Retry:
		return "retry"
	case Hedge:
		return "hedge"
	case Resume:
		return "resume"
	case Move:
		return "move"
	}
	return "unknown"
}

// Total returns the number of sends for all reasons.
func (s Sends) Total() int {
	total := 0
	for _, sent := range s {
		total += sent
	}
	return total
}

// countSend counts a send of the request to an upstream, also against the quota of the customer.
func (ar *activeRequest) countSend(reason SendReason) {
	ar.record.Sends[reason]++
	ar.chargeSend(reason)
}
