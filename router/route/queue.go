package route

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"gooseberrypin.example/router/configuration"
	"gooseberrypin.example/router/decode"
	"gooseberrypin.example/router/dispatch"
	"gooseberrypin.example/router/port"
	"gooseberrypin.example/router/prefill"
)

const (
	// assignInterval is the time between two attempts to assign decode memory while requests wait.
	assignInterval = 5 * time.Millisecond
)

type (
	// decodeQueue holds the requests of one model that wait for decode memory. The most urgent
	// one is served first.
	decodeQueue struct {
		dispatcher *dispatch.Dispatcher
		limits     configuration.Limits
		// forgottenAt is when the load hint of an upstream was discarded last. The router's lock guards it.
		forgottenAt map[string]time.Time

		mu      sync.Mutex
		waiters map[*dispatch.Ticket]chan dispatch.Assignment
		// assignScheduled reports whether a timer is going to call assign.
		assignScheduled bool
	}
)

// queue returns the queue of a model. It creates a new one when the configured limits have changed.
func (r *Router) queue(index *configuration.Index, model string) *decodeQueue {
	r.mu.Lock()
	defer r.mu.Unlock()
	limits := index.Configuration().Limits
	q, found := r.queues[model]
	if !found || q.limits != limits {
		random := rand.New(rand.NewPCG(r.random.Uint64(), r.random.Uint64()))
		q = &decodeQueue{
			dispatcher:  dispatch.New(random, options(&limits)...),
			limits:      limits,
			forgottenAt: make(map[string]time.Time),
			waiters:     make(map[*dispatch.Ticket]chan dispatch.Assignment),
		}
		r.queues[model] = q
	}
	return q
}

// observe passes the load of an upstream at a time to the dispatcher, as a prefill hint and a decode hint.
func (q *decodeQueue) observe(load port.Load, at time.Time, p dispatch.Pools) {
	q.dispatcher.ObservePrefill(prefill.Hint{
		Upstream:   load.Upstream,
		QueueDelay: load.QueueDelay,
		Accepting:  load.Accepting,
		At:         at,
	})
	q.dispatcher.ObserveDecode(decode.Hint{
		Upstream:   load.Upstream,
		FreePieces: load.FreePieces,
		Running:    load.Running,
		Limit:      load.RunningLimit,
		Accepting:  load.Accepting,
		At:         at,
	}, p.Decodes)
}

// await queues a ticket and waits for its assignment. It returns false when ctx ends first. pools
// returns the upstreams that may be used when it is called.
func (q *decodeQueue) await(ctx context.Context, t *dispatch.Ticket, avoid []string, pools func() dispatch.Pools) (dispatch.Assignment, bool) {
	assigned := make(chan dispatch.Assignment, 1)
	q.mu.Lock()
	q.waiters[t] = assigned
	q.mu.Unlock()
	q.dispatcher.Enqueue(t, avoid)
	q.assign(pools)
	select {
	case a := <-assigned:
		return a, true
	case <-ctx.Done():
		q.mu.Lock()
		delete(q.waiters, t)
		q.mu.Unlock()
		return dispatch.Assignment{}, false
	}
}

// assign delivers the assignments that are possible now, and schedules the next call while requests
// wait.
func (q *decodeQueue) assign(pools func() dispatch.Pools) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, a := range q.dispatcher.Assign(pools(), time.Now()) {
		if waiter, found := q.waiters[a.Ticket]; found {
			waiter <- a
			delete(q.waiters, a.Ticket)
		}
	}
	if q.assignScheduled || q.dispatcher.Waiting() == 0 {
		return
	}
	q.assignScheduled = true
	time.AfterFunc(assignInterval, func() {
		q.mu.Lock()
		q.assignScheduled = false
		q.mu.Unlock()
		q.assign(pools)
	})
}

// options returns the dispatcher's options for the configured limits.
func options(limits *configuration.Limits) []dispatch.Option {
	var opts []dispatch.Option
	if limits.FirstTokenMS > 0 && limits.BetweenTokensMS > 0 {
		first := time.Duration(limits.FirstTokenMS) * time.Millisecond
		opts = append(opts, dispatch.WithTargets(first, time.Duration(limits.BetweenTokensMS)*time.Millisecond))
	}
	if limits.PieceTokens > 0 {
		opts = append(opts, dispatch.WithPieceTokens(int(limits.PieceTokens)))
	}
	return opts
}
