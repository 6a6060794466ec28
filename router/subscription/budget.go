package subscription

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	defaultPlatformReadsPerS = 2000
	// holderShare and followerShare are the parts of the platform's read rate that all
	// holders and all other processes may use.
	holderShare   = 0.1
	followerShare = 0.4
	// minFleet is the fleet size that is assumed without a VM list.
	minFleet      = 100
	holderBurst   = 8
	followerBurst = 1
)

type (
	// budget limits the reads of one process, so that all processes together stay within
	// the system's part of the platform's read rate.
	budget struct {
		limiter *rate.Limiter
		count   atomic.Int64

		mu sync.Mutex
		// spread is the longest random delay before a read. It keeps processes that learn
		// the same news at once from reading at once.
		spread time.Duration
	}
)

func newBudget() *budget {
	b := &budget{limiter: rate.NewLimiter(1, followerBurst)}
	b.resize(0, minFleet, 0, false)
	return b
}

// resize shares the platform's read rate among the processes.
func (b *budget) resize(platformReadsPerS int64, processes, holders int, holder bool) {
	if platformReadsPerS <= 0 {
		platformReadsPerS = defaultPlatformReadsPerS
	}
	limit := float64(platformReadsPerS) * followerShare / float64(max(processes, 1))
	burst := followerBurst
	spread := time.Duration(float64(time.Second) / limit)
	if holder {
		limit = float64(platformReadsPerS) * holderShare / float64(max(holders, 1))
		burst = holderBurst
		spread = 0
	}
	b.limiter.SetLimit(rate.Limit(limit))
	b.limiter.SetBurst(burst)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spread = spread
}

// wait blocks until one more read is within the budget, and counts it.
func (b *budget) wait(ctx context.Context, random func(time.Duration) time.Duration) error {
	if err := pause(ctx, random(b.longestDelay())); err != nil {
		return err
	}
	if err := b.limiter.Wait(ctx); err != nil {
		return err
	}
	b.count.Add(1)
	return nil
}

// longestDelay returns the upper bound of the random delay before a read.
func (b *budget) longestDelay() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.spread
}

// charge counts a read that can't wait: the first ones of a fresh process.
func (b *budget) charge() {
	b.count.Add(1)
}

// pause waits for d, or returns the context's error.
func pause(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
