// Package periodic runs what a process does again and again.
package periodic

import (
	"context"
	"time"
)

// Do calls f every interval until ctx ends.
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
