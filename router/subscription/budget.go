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
	// holderReadShare and followerReadShare are the shares of the platform's read rate for all holders together and
	// all followers together.
	holderReadShare   = 0.1
	followerReadShare = 0.4
	// assumedProcesses is the number of processes that is assumed without a VM list.
	assumedProcesses = 100
	holderBurst      = 8
	followerBurst    = 1
)

type (
	// budget limits the rate at which one process reads the platform, so that all processes together stay within their
	// share of the platform's read rate.
	budget struct {
		limiter *rate.Limiter
		// reads is the number of reads so far.
		reads atomic.Int64

		mu sync.Mutex
		// maxDelay is the longest random delay before a read. It spreads the reads of processes that receive the same
		// update at the same time.
		maxDelay time.Duration
	}
)

func newBudget() *budget {
	b := &budget{limiter: rate.NewLimiter(1, followerBurst)}
	b.resize(0, assumedProcesses, 0, false)
	return b
}

// resize sets the rate to an equal part of the share of all holders or followers. A platformReadsPerS of zero selects
// the default.
func (b *budget) resize(platformReadsPerS int64, processes, holders int, holder bool) {
	if platformReadsPerS <= 0 {
		platformReadsPerS = defaultPlatformReadsPerS
	}
	limit := float64(platformReadsPerS) * followerReadShare / float64(max(processes, 1))
	burst := followerBurst
	maxDelay := time.Duration(float64(time.Second) / limit)
	if holder {
		limit = float64(platformReadsPerS) * holderReadShare / float64(max(holders, 1))
		burst = holderBurst
		maxDelay = 0
	}
	b.limiter.SetLimit(rate.Limit(limit))
	b.limiter.SetBurst(burst)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.maxDelay = maxDelay
}

// wait blocks for a random delay and until the budget allows another read, and counts the read. random returns a
// random duration below its argument.
func (b *budget) wait(ctx context.Context, random func(time.Duration) time.Duration) error {
	if err := pause(ctx, random(b.longestDelay())); err != nil {
		return err
	}
	if err := b.limiter.Wait(ctx); err != nil {
		return err
	}
	b.reads.Add(1)
	return nil
}

// longestDelay returns the upper bound of the random delay before a read.
func (b *budget) longestDelay() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.maxDelay
}

// countRead counts a read that does not wait for the budget: the reads of a starting process.
func (b *budget) countRead() {
	b.reads.Add(1)
}

// pause waits for d. It returns the context's error if the context ends first.
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
