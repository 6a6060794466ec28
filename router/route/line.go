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
	// lineInterval is the time between looks for room while requests wait.
	lineInterval = 5 * time.Millisecond
)

type (
	// line lets the requests of one model wait for decode memory, the most urgent first.
	line struct {
		dispatcher *dispatch.Dispatcher
		limits     configuration.Limits

		mu      sync.Mutex
		waiters map[*dispatch.Ticket]chan dispatch.Assignment
		looking bool
	}
)

// line returns the line of a model, which lasts until the limits change.
func (r *Router) line(index *configuration.Index, model string) *line {
	r.mu.Lock()
	defer r.mu.Unlock()
	limits := index.Configuration().Limits
	l, found := r.lines[model]
	if !found || l.limits != limits {
		random := rand.New(rand.NewPCG(r.random.Uint64(), r.random.Uint64()))
		l = &line{
			dispatcher: dispatch.New(random, options(&limits)...),
			limits:     limits,
			waiters:    make(map[*dispatch.Ticket]chan dispatch.Assignment),
		}
		r.lines[model] = l
	}
	return l
}

// observe takes a dated load.
func (l *line) observe(load port.Load, at time.Time, p dispatch.Pools) {
	l.dispatcher.ObservePrefill(prefill.Hint{
		Upstream:   load.Upstream,
		QueueDelay: load.QueueDelay,
		Accepting:  load.Accepting,
		At:         at,
	})
	l.dispatcher.ObserveDecode(decode.Hint{
		Upstream:   load.Upstream,
		FreePieces: load.FreePieces,
		Running:    load.Running,
		Limit:      load.RunningLimit,
		Accepting:  load.Accepting,
		At:         at,
	}, p.Decodes)
}

// await waits for an assignment, or returns false when ctx ends first.
func (l *line) await(ctx context.Context, t *dispatch.Ticket, avoid []string, pools func() dispatch.Pools) (dispatch.Assignment, bool) {
	assigned := make(chan dispatch.Assignment, 1)
	l.mu.Lock()
	l.waiters[t] = assigned
	l.mu.Unlock()
	l.dispatcher.Enqueue(t, avoid)
	l.look(pools)
	select {
	case a := <-assigned:
		return a, true
	case <-ctx.Done():
		l.mu.Lock()
		delete(l.waiters, t)
		l.mu.Unlock()
		return dispatch.Assignment{}, false
	}
}

// look hands out what has room, and looks again soon while requests wait.
func (l *line) look(pools func() dispatch.Pools) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.dispatcher.Assign(pools(), time.Now()) {
		if waiter, found := l.waiters[a.Ticket]; found {
			waiter <- a
			delete(l.waiters, a.Ticket)
		}
	}
	if l.looking || l.dispatcher.Waiting() == 0 {
		return
	}
	l.looking = true
	time.AfterFunc(lineInterval, func() {
		l.mu.Lock()
		l.looking = false
		l.mu.Unlock()
		l.look(pools)
	})
}

// options are the dispatcher's options in a configuration.
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
