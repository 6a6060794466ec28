package decode

import (
	"sync"
	"time"
)

type (
	// StallDetector tells whether an engine still makes steps. It is safe for concurrent use.
	StallDetector struct {
		mu    sync.Mutex
		bound time.Duration
		busy  bool
		last  time.Time
	}
)

// NewStallDetector returns the progress of an idle engine that makes a step within bound when it is busy.
func NewStallDetector(bound time.Duration) *StallDetector {
	return &StallDetector{bound: bound}
}

// Begin records that an engine that was idle has work.
func (p *StallDetector) Begin(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.busy {
		p.busy = true
		p.last = now
	}
}

// Step records that a step ended, and whether the engine has more work.
func (p *StallDetector) Step(more bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.busy = more
	p.last = now
}

// Stalled tells whether a busy engine made no step for too long.
func (p *StallDetector) Stalled(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.busy && now.Sub(p.last) > p.bound
}
