package engine

import (
	"context"
	"slices"
	"sync"
)

type (
	// prefillSlot admits one prefill at a time. Waiters are admitted by priority, the highest first, and then in
	// order of arrival.
	prefillSlot struct {
		mu      sync.Mutex
		busy    bool
		waiting []*slotWaiter
	}

	// slotWaiter is a prefill in the queue. Its channel ready is closed when it is admitted.
	slotWaiter struct {
		priority int
		ready    chan struct{}
	}
)

func newPrefillSlot() *prefillSlot {
	return &prefillSlot{}
}

// acquire waits until a prefill is admitted. It returns the error of ctx if that is done first.
func (s *prefillSlot) acquire(ctx context.Context, priority int) error {
	s.mu.Lock()
	if !s.busy {
		s.busy = true
		s.mu.Unlock()
		return nil
	}
	waiter := &slotWaiter{priority: priority, ready: make(chan struct{})}
	s.waiting = append(s.waiting, waiter)
	slices.SortStableFunc(s.waiting, func(a, b *slotWaiter) int { return b.priority - a.priority })
	s.mu.Unlock()
	select {
	case <-waiter.ready:
		return nil
	case <-ctx.Done():
		s.abandon(waiter)
		return ctx.Err()
	}
}

// abandon removes a waiter from the queue. If it was admitted in the meantime, the slot passes to the next waiter.
func (s *prefillSlot) abandon(waiter *slotWaiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := slices.Index(s.waiting, waiter)
	if i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
		return
	}
	s.admitNext()
}

func (s *prefillSlot) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.admitNext()
}

func (s *prefillSlot) admitNext() {
	if len(s.waiting) == 0 {
		s.busy = false
		return
	}
	close(s.waiting[0].ready)
	s.waiting = s.waiting[1:]
}

func (s *prefillSlot) queueLength() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.waiting)
}
