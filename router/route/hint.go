package route

import (
	"time"

	"gooseberrypin.example/router/prefill"
)

const (
	// hintTerm is how long a hint may keep all work from an upstream.
	hintTerm = time.Second
)

// revive makes upstreams worth a try again whose old hints leave no room. Hints ride on
// answers, so an upstream that gets no work would never give a newer one.
func (r *Router) revive(candidates []string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, name := range candidates {
		l, known := r.loads[name]
		if !known || now.Sub(r.observed[name]) < hintTerm || (l.Accepting && l.FreePieces > 0) {
			continue
		}
		r.observed[name] = now
		r.decode.Forget(name)
		r.prefill.Observe(prefill.Hint{Upstream: name, Accepting: true, At: now})
	}
}
