package prefill

import (
	"time"
)

// TimeUntilIdle returns the predicted time until the started prefills are complete.
func (q *Queue) TimeUntilIdle(now time.Time) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return max(0, q.busyUntil.Sub(now))
}
