package engine

import (
	"context"
	"slices"
	"sync"
)

type (
	// turns lets one prefill run at a time, the highest priority first.
	turns struct {
		mu      sync.Mutex
		busy    bool
		waiting []*turn
	}

	turn struct {
		priority int
		ready    chan struct{}
	}
)

func newTurns() *turns {
	return &turns{}
}

func (t *turns) take(ctx context.Context, priority int) error {
	t.mu.Lock()
	if !t.busy {
		t.busy = true
		t.mu.Unlock()
		return nil
	}
	own := &turn{priority: priority, ready: make(chan struct{})}
	t.waiting = append(t.waiting, own)
	slices.SortStableFunc(t.waiting, func(a, b *turn) int { return b.priority - a.priority })
	t.mu.Unlock()
	select {
	case <-own.ready:
		return nil
	case <-ctx.Done():
		t.abandon(own)
		return ctx.Err()
	}
}

func (t *turns) abandon(own *turn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	i := slices.Index(t.waiting, own)
	if i >= 0 {
		t.waiting = slices.Delete(t.waiting, i, i+1)
		return
	}
	t.next()
}

func (t *turns) give() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.next()
}

func (t *turns) next() {
	if len(t.waiting) == 0 {
		t.busy = false
		return
	}
	close(t.waiting[0].ready)
	t.waiting = t.waiting[1:]
}

func (t *turns) length() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.waiting)
}
