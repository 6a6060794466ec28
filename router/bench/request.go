package bench

import (
	"slices"
	"time"

	"gooseberrypin.example/router/dispatch"
	"gooseberrypin.example/router/prefill"
)

type (
	// request is one request of a partner with all its attempts.
	request struct {
		key       string
		partner   string
		size      size
		entry     *entry
		measured  bool
		firstSent time.Time
		lastSent  time.Time
		// waitingSince is the time since which the caller has been waiting without receiving a token.
		waitingSince     time.Time
		timeToFirstToken time.Duration
		lastToken        time.Time
		// received is the number of tokens that the caller received.
		received int
		// gaps is the number of intervals between tokens. lateGaps counts those that exceed the target.
		gaps     int
		lateGaps int
		// complete reports whether the caller received a complete answer.
		complete bool
		// done reports whether the answer is complete or the caller cancelled the request.
		done bool
		// answers is the number of complete answers of all attempts.
		answers  int
		refusals int
		// resend and receiveRefusal are functions that are scheduled repeatedly.
		resend         func()
		receiveRefusal func()
		attempts       []*attempt
		// deliveringAttempt is the attempt whose tokens are delivered to the caller.
		deliveringAttempt *attempt
	}

	// attempt is one attempt to execute a request.
	attempt struct {
		id            string
		request       *request
		prompt        prefill.Prompt
		prefillServer *prefillServer
		decodeServer  *decodeServer
		// decodeEpoch is the epoch of the decode server in which memory was reserved.
		decodeEpoch    int
		choice         prefill.Choice
		deadline       time.Time
		avoidedServers []string
		kvExpires      time.Time
		// transferCount is the number of transfers that were started or cancelled. It identifies the latest transfer.
		transferCount  int
		computedTokens int
		// measured reports whether the prefill ended within the measured time.
		measured bool
		// delivered reports whether the caller received a token of this attempt.
		delivered       bool
		generatedTokens int
		// ended reports whether the attempt finished or was cancelled.
		ended  bool
		ticket *dispatch.Ticket
	}
)

// uncachedTokens returns the predicted number of prompt tokens to compute.
func (a *attempt) uncachedTokens() int {
	return a.prompt.Tokens - a.choice.CachedTokens
}

// kvBytes returns the size of the KV cache in bytes.
func (a *attempt) kvBytes() int64 {
	return int64(a.prompt.Tokens) * kvBytesPerToken
}

// hasActiveAttempt reports whether the request has an attempt that has not ended.
func (r *request) hasActiveAttempt() bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return !a.ended })
}

// metTargets reports whether the answer is complete and met both latency targets.
func (r *request) metTargets() bool {
	return r.complete && r.timeToFirstToken <= firstTokenTarget && float64(r.lateGaps) <= maxLateGapFraction*float64(r.gaps)
}
