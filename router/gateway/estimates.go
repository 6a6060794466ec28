package gateway

import (
	"sync"
	"time"
)

const (
	// initialStartup is the first estimate of the startup time: a prefill of some thousand tokens and a few
	// decode steps.
	initialStartup = 250 * time.Millisecond
	// estimateWeight is the weight of a new sample in a smoothed time (EWMA).
	estimateWeight = 0.1
	// slowPrefillWeight is the weight of a sample that is slower than the smoothed prefill rate. It is
	// small, as most prefills wait behind others and only those without a queueing delay show the speed of
	// an engine.
	slowPrefillWeight = 0.01
)

type (
	// estimates holds smoothed durations of the phases of a pool's generations. It is safe for concurrent
	// use.
	estimates struct {
		mu sync.Mutex
		// startup is the time from a grant of memory to the first event.
		startup time.Duration
		// perToken is the decode time of one output token; zero before the first sample.
		perToken time.Duration
		// prefillRate is the speed of an engine without a queue, in prompt tokens per second; zero before
		// the first sample.
		prefillRate float64
	}
)

func newEstimates() *estimates {
	return &estimates{startup: initialStartup}
}

// recordStartup adds a sample of the time from a grant of memory to the first event. It ignores samples that are not
// positive.
func (e *estimates) recordStartup(took time.Duration) {
	if took <= 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.startup += time.Duration(estimateWeight * float64(took-e.startup))
}

// startupTime returns the expected time from a grant of memory to the first event.
func (e *estimates) startupTime() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.startup
}

// recordDecode adds a sample of the time in which a number of output tokens was generated.
func (e *estimates) recordDecode(tokens int, took time.Duration) {
	if tokens <= 0 || took <= 0 {
		return
	}
	perToken := took / time.Duration(tokens)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.perToken == 0 {
		e.perToken = perToken
		return
	}
	e.perToken += time.Duration(estimateWeight * float64(perToken-e.perToken))
}

// decodeTime returns the expected time to generate a number of output tokens, or zero before the first
// sample.
func (e *estimates) decodeTime(tokens int) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.perToken * time.Duration(tokens)
}

// recordPrefill adds a sample of the time in which a prompt of a number of tokens was prefilled.
func (e *estimates) recordPrefill(tokens int, took time.Duration) {
	if tokens <= 0 || took <= 0 {
		return
	}
	rate := float64(tokens) / took.Seconds()
	e.mu.Lock()
	defer e.mu.Unlock()
	if rate > e.prefillRate {
		e.prefillRate = rate
		return
	}
	e.prefillRate += slowPrefillWeight * (rate - e.prefillRate)
}

// prefillTime returns the expected time in which a prefill engine processes a number of prompt tokens, or
// zero before the first sample.
func (e *estimates) prefillTime(tokens int) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.prefillRate == 0 {
		return 0
	}
	return time.Duration(float64(tokens) / e.prefillRate * float64(time.Second))
}
