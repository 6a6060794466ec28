package decode

import (
	"sync"
	"time"
)

type (
	// StallDetector detects an engine that stalls in the middle of its work. It is safe for concurrent use.
	StallDetector struct {
		mu           sync.Mutex
		stallTimeout time.Duration
		busy         bool
		last         time.Time
	}
)

// NewStallDetector returns a StallDetector for an idle engine. The engine counts as stalled when it has work and
// completes no step within stallTimeout.
func NewStallDetector(stallTimeout time.Duration) *StallDetector {
	return &StallDetector{stallTimeout: stallTimeout}
}

// Begin records that the engine has work. It has no effect on an engine that has work already.
func (d *StallDetector) Begin(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.busy {
		d.busy = true
		d.last = now
	}
}

// Step records that a step is complete and whether the engine has more work.
func (d *StallDetector) Step(more bool, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.busy = more
	d.last = now
}

// Stalled reports whether the engine has work but has completed no step for longer than the timeout.
func (d *StallDetector) Stalled(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.busy && now.Sub(d.last) > d.stallTimeout
}
