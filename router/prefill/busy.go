package prefill

import (
	"time"
)

// Busy is the predicted time until the started prefills end.
func (q *Queue) Busy(now time.Time) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return max(0, q.busyUntil.Sub(now))
}
