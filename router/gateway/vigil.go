package gateway

import (
	"context"
	"sync"
	"time"

	"gooseberrypin.example/router/ingress"
	"gooseberrypin.example/router/line"
	"gooseberrypin.example/router/refusal"
)

const (
	// silenceFactor times the target is how long a resumable stream may be silent before memory
	// is sought for it at another engine. An engine that preempts a stream is silent for up to a
	// second; callers give up after some four times the target.
	silenceFactor = 2
)

type (
	// vigil watches a decode that may go on at another engine. A silent engine is left only once
	// another one holds memory, as its stream may still go on. It is safe for concurrent use.
	vigil struct {
		generation *generation
		ctx        context.Context
		// leave ends the decode.
		leave context.CancelFunc
		limit time.Duration
		timer *time.Timer

		mu sync.Mutex
		// stop ends the search that runs; nil: none does.
		stop context.CancelFunc
		// found is the memory elsewhere; nil: none.
		found *line.Grant
		// reserved is the part of the retry budget for going on.
		reserved int
		ended    bool
	}
)

// watch begins a vigil, or returns nil for a decode that may not go on elsewhere.
func (n *generation) watch(ctx context.Context, leave context.CancelFunc) *vigil {
	kind, ok := n.route.Kind.(ingress.Streaming)
	if !ok || !kind.Resumable || n.runs+1 >= n.route.MaxAttempts {
		return nil
	}
	v := &vigil{generation: n, ctx: ctx, leave: leave, limit: silenceFactor * max(n.route.Target, kind.MaxGap)}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.timer = time.AfterFunc(v.limit, v.search)
	return v
}

// heard tells that the engine sent something.
func (v *vigil) heard() {
	if v == nil {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.found != nil {
		return
	}
	if v.stop != nil {
		v.stop()
		v.stop = nil
	}
	v.timer.Reset(v.limit)
}

// left reports whether the decode was ended for memory elsewhere.
func (v *vigil) left() bool {
	if v == nil {
		return false
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.found != nil
}

// end ends the vigil and returns what it holds for going on: memory at another engine, or nil, and
// retries.
func (v *vigil) end() (*line.Grant, int) {
	if v == nil {
		return nil, 0
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.ended = true
	v.timer.Stop()
	if v.stop != nil {
		v.stop()
	}
	return v.found, v.reserved
}

// search waits for memory at another engine until the silent one is heard again.
func (v *vigil) search() {
	n := v.generation
	ctx, stop := context.WithCancel(v.ctx)
	defer stop()
	v.mu.Lock()
	if v.ended || v.stop != nil {
		v.mu.Unlock()
		return
	}
	if n.kept(refusal.RanNo) != nil || !n.shared.budget.Reserve(roundArrivals) {
		v.timer.Reset(v.limit)
		v.mu.Unlock()
		return
	}
	v.stop = stop
	w := n.resumption(time.Now(), n.record.Upstream)
	v.mu.Unlock()
	grant, ok := n.shared.line.Wait(ctx, w)
	v.mu.Lock()
	defer v.mu.Unlock()
	if ok && ctx.Err() == nil {
		v.found, v.reserved, v.stop = &grant, roundArrivals, nil
		v.leave()
		return
	}
	n.shared.budget.Return(roundArrivals)
	if ok {
		n.gateway.upstreams.FreeReservation(grant.Member, grant.Reservation)
	}
	if ctx.Err() == nil {
		v.stop = nil
		v.timer.Reset(v.limit)
	}
}
