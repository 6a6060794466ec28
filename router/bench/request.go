package bench

import (
	"slices"
	"time"

	"gooseberrypin.example/router/dispatch"
	"gooseberrypin.example/router/prefill"
)

type (
	// request is one request of a partner, with all its tries.
	request struct {
		key      string
		partner  string
		size     size
		keeper   *keeper
		measured bool
		first    time.Time
		lastSent time.Time
		// asking is when the caller began to ask without an answer.
		asking     time.Time
		firstToken time.Duration
		lastToken  time.Time
		received   int
		gaps       int
		lateGaps   int
		whole      bool
		over       bool
		answers    int
		refusals   int
		// again and refused are events that recur.
		again    func()
		refused  func()
		attempts []*attempt
		// streamer is the attempt whose tokens reach the caller.
		streamer *attempt
	}

	// attempt is one try of a request inside the system.
	attempt struct {
		id        string
		request   *request
		prompt    prefill.Prompt
		source    *prefillServer
		dest      *decodeServer
		epoch     int
		choice    prefill.Choice
		deadline  time.Time
		avoid     []string
		kvExpires time.Time
		// path counts the transfers that were started.
		path      int
		computed  int
		counted   bool
		delivered bool
		generated int
		ended     bool
		ticket    *dispatch.Ticket
	}
)

// uncached are the prompt tokens that are expected to be computed.
func (a *attempt) uncached() int {
	return a.prompt.Tokens - a.choice.CachedTokens
}

// bytes is the size of the KV cache.
func (a *attempt) bytes() int64 {
	return int64(a.prompt.Tokens) * kvBytesPerToken
}

// live tells whether the request has an attempt that goes on.
func (r *request) live() bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return !a.ended })
}

// good tells whether the answer came whole and met both targets.
func (r *request) good() bool {
	return r.whole && r.firstToken <= firstTokenTarget && float64(r.lateGaps) <= lateGapFraction*float64(r.gaps)
}
