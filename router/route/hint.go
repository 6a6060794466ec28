package route

import (
	"slices"
	"time"

	"gooseberrypin.example/router/dispatch"
)

const (
	// hintExpiry is how long a load hint may block all work for an upstream.
	hintExpiry = time.Second
)

// expireHints discards load hints older than hintExpiry that report an upstream as full or as not
// accepting work, so that it can be tried again. Hints arrive with responses only, so an upstream
// that receives no work would never send a newer one.
func (r *Router) expireHints(q *decodeQueue, p dispatch.Pools, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, name := range slices.Concat(p.Prefills, p.Decodes) {
		load, known := r.loads[name]
		if !known || now.Sub(r.observedAt[name]) < hintExpiry || now.Sub(q.forgottenAt[name]) < hintExpiry || (load.Accepting && load.FreePieces > 0) {
			continue
		}
		q.forgottenAt[name] = now
		q.dispatcher.Forget(name, now)
	}
}
