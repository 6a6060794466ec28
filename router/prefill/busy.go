package prefill

import (
	"time"
)

// TimeUntilIdle is the predicted time until the started prefills end.
func (q *Queue) TimeUntilIdle(now time.Time) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return max(0, q.busyUntil.Sub(now))
}
