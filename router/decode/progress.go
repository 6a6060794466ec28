package decode

import (
	"sync"
	"time"
)

type (
	// Progress detects an engine that stalls in the middle of its work. It is safe for concurrent use.
	Progress struct {
		mu           sync.Mutex
		stallTimeout time.Duration
		busy         bool
		last         time.Time
	}
)

// NewProgress returns the Progress of an idle engine. The engine counts as stalled when it has work and completes
// no step within bound.
func NewProgress(bound time.Duration) *Progress {
	return &Progress{stallTimeout: bound}
}

// Begin records that the engine has work. It has no effect on an engine that has work already.
func (p *Progress) Begin(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.busy {
		p.busy = true
		p.last = now
	}
}

// Step records that a step is complete and whether the engine has more work.
func (p *Progress) Step(more bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.busy = more
	p.last = now
}

// Stalled reports whether the engine has work but has completed no step for longer than the bound.
func (p *Progress) Stalled(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.busy && now.Sub(p.last) > p.stallTimeout
}
