// Package periodic runs functions at regular intervals.
package periodic

import (
	"context"
	"time"
)

// Do calls f every interval with the time of the tick, until ctx is cancelled. The first call is after one interval.
func Do(ctx context.Context, interval time.Duration, f func(now time.Time)) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			f(now)
		}
	}
}
