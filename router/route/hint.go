package route

import (
	"slices"
	"time"

	"gooseberrypin.example/router/dispatch"
)

const (
	// hintTerm is how long a hint may keep all work from an upstream.
	hintTerm = time.Second
)

// revive makes upstreams worth a try again whose old hints leave no room. Hints ride on
// answers, so an upstream that gets no work would never give a newer one.
func (r *Router) revive(of *line, p dispatch.Pools, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, name := range slices.Concat(p.Prefills, p.Decodes) {
		l, known := r.loads[name]
		if !known || now.Sub(r.observed[name]) < hintTerm || (l.Accepting && l.FreePieces > 0) {
			continue
		}
		r.observed[name] = now
		of.dispatcher.Forget(name, now)
	}
}
