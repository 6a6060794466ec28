package gateway

import (
	"sync"
	"time"
)

const (
	// initialStartup is the assumed time from a grant of memory to the first event: a prefill
	// of some thousand tokens and a few decode steps.
	initialStartup = 250 * time.Millisecond
	// paceShare is the share of a new value in a smoothed one.
	paceShare = 0.1
)

type (
	// pace follows how long generations of a pool take. It is safe for concurrent use.
	pace struct {
		mu       sync.Mutex
		startup  time.Duration
		perToken time.Duration
	}
)

func newPace() *pace {
	return &pace{startup: initialStartup}
}

// started records the time from a grant of memory to the first event.
func (p *pace) started(took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.startup += time.Duration(paceShare * float64(took-p.startup))
}

// Startup is the expected time from a grant of memory to the first event.
func (p *pace) Startup() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.startup
}

// generated records how long a number of output tokens took.
func (p *pace) generated(tokens int, took time.Duration) {
	if tokens <= 0 {
		return
	}
	each := took / time.Duration(tokens)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.perToken == 0 {
		p.perToken = each
		return
	}
	p.perToken += time.Duration(paceShare * float64(each-p.perToken))
}

// Length is the expected time for a number of output tokens; zero before any are known.
func (p *pace) Length(tokens int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.perToken * time.Duration(tokens)
}
