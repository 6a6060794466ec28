package gateway

import (
	"gooseberrypin.example/router/refusal"
)

const (
	// retriesPerRound is the number of sends in a further round: a prefill and a decode.
	retriesPerRound = 2
)

// countEngineRequest counts a send that reached an engine. Each one but the first is a retry, which is taken
// from the reserved retries or else from the budget.
func (n *generation) countEngineRequest() {
	n.engineRequests++
	switch {
	case n.engineRequests <= 1:
	case n.reservedRetries > 0:
		n.reservedRetries--
	default:
		n.poolState.retryBudget.Spend()
	}
}

// reserveRetries reserves retries from the budget until this generation holds the given number. It returns
// false if the budget does not suffice. The reservation keeps streams that are truncated at the same moment
// from using the same retries.
func (n *generation) reserveRetries(retries int) bool {
	missing := retries - n.reservedRetries
	if missing > 0 && !n.poolState.retryBudget.Reserve(missing) {
		return false
	}
	n.reservedRetries = max(n.reservedRetries, retries)
	return true
}

// retryOrRefuse starts another round if the retry budget allows it. Otherwise it refuses the request with the
// given reason and the last failure.
func (n *generation) retryOrRefuse(reason string) roundOutcome {
	if n.reserveRetries(retriesPerRound) {
		return nextRound{}
	}
	return done{refusal.New(n.ran, refusal.UpstreamLost, n.retryAfter(), "%s: %s", reason, n.record.Cause)}
}
