package gateway

const (
	// FirstTry is the first send of a request.
	FirstTry SendReason = iota
	// Prefill has the prompt computed, ahead of a decode.
	Prefill
	// AfterNotRun follows a send that its upstream did not run.
	AfterNotRun
	// Retry follows a send that gave no whole answer.
	Retry
	// Hedge goes beside a send that is slow.
	Hedge
	// Resume goes on with a stream that broke off.
	Resume

	pathCount = iota
)

type (
	// SendReason is why a request was sent to an upstream.
	SendReason int

	// Sends counts the sends of a request by their path.
	Sends [pathCount]int
)

// String returns the path as logs and metrics show it.
func (p SendReason) String() string {
	switch p {
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
	}
	return "unknown"
}

// Total is the number of sends.
func (s Sends) Total() int {
	total := 0
	for _, sent := range s {
		total += sent
	}
	return total
}

// sent notes a send of the request to an upstream.
func (w *work) sent(p SendReason) {
	w.record.Sends[p]++
}
