package prefill

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"gooseberrypin.example/router/admission"
	"gooseberrypin.example/router/refusal"
)

const (
	rateWeight      = 0.1
	defaultQuantum  = 16384
	defaultMaxItems = 1024
)

type (
	// Item is a prompt that waits for its prefill.
	Item struct {
		Attempt string
		Partner string
		// Tokens are the tokens expected to be uncached, PromptTokens all of the prompt.
		Tokens       int
		PromptTokens int
		Arrived      time.Time
		// Deadline is when the first token is due.
		Deadline time.Time
		// Late items missed the target already. They run only when no other item waits.
		Late bool
	}

	// QueueOption sets an option of a queue.
	QueueOption func(q *Queue)

	// Queue orders the prompts of one prefill upstream by the latest time at which each
	// must start, fairly across partners. It is safe for concurrent use.
	Queue struct {
		mu        sync.Mutex
		gate      *admission.Gate
		tokenCost time.Duration
		after     func(tokens int) time.Duration
		quantum   float64
		maxItems  int
		waiting   map[string]Item
		queued    int
		// busyUntil is when the prefill that was started last is predicted to end.
		busyUntil time.Time
		served    map[string]float64
	}
)

// NewQueue returns an empty queue.
func NewQueue(opts ...QueueOption) *Queue {
	q := &Queue{
		gate:      admission.NewGate(rand.New(rand.NewPCG(0, 0))),
		tokenCost: defaultTokenCost,
		after:     func(int) time.Duration { return 0 },
		quantum:   defaultQuantum,
		maxItems:  defaultMaxItems,
		waiting:   make(map[string]Item),
		served:    make(map[string]float64),
	}
	for _, opt := range opts {
		opt(q)
	}
	return q
}

// WithGate sets the gate that sheds prompts.
func WithGate(g *admission.Gate) QueueOption {
	return func(q *Queue) { q.gate = g }
}

// WithInitialTokenCost sets the time for an uncached token before any was measured.
func WithInitialTokenCost(cost time.Duration) QueueOption {
	return func(q *Queue) { q.tokenCost = cost }
}

// WithTimeAfterPrefill sets the time that a prompt needs from the end of its prefill to its first token.
func WithTimeAfterPrefill(after func(tokens int) time.Duration) QueueOption {
	return func(q *Queue) { q.after = after }
}

// WithQuantum sets by how many tokens a partner may run ahead of the others.
func WithQuantum(tokens int) QueueOption {
	return func(q *Queue) { q.quantum = float64(tokens) }
}

// WithMaxItems bounds the queue's length.
func WithMaxItems(items int) QueueOption {
	return func(q *Queue) { q.maxItems = items }
}

// Push queues an item, or refuses one whose first token would be late.
func (q *Queue) Push(it Item, now time.Time) *refusal.Refusal {
	q.mu.Lock()
	defer q.mu.Unlock()
	forecast := admission.Forecast{
		QueueDelay: q.delay(now),
		Prefill:    q.cost(it),
		FirstStep:  q.after(max(it.Tokens, it.PromptTokens)),
		Deadline:   it.Deadline,
	}
	if len(q.waiting) >= q.maxItems {
		return q.gate.Shed(forecast.QueueDelay)
	}
	if refused := q.gate.Admit(forecast, now); refused != nil {
		return refused
	}
	q.waiting[it.Attempt] = it
	q.queued += it.Tokens
	return nil
}

// Next removes and returns the item that must start first, among the partners that
// are not far ahead of the others.
func (q *Queue) Next(now time.Time) (Item, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	level := q.level()
	var best Item
	found := false
	for _, it := range q.waiting {
		if q.served[it.Partner] > level+q.quantum {
			continue
		}
		if !found || q.before(it, best) {
			best, found = it, true
		}
	}
	if found {
		q.start(best, level, now)
	}
	return best, found
}

// Expired removes and returns the items that can no longer be in time.
func (q *Queue) Expired(now time.Time) []Item {
	q.mu.Lock()
	defer q.mu.Unlock()
	var expired []Item
	for _, it := range q.waiting {
		if now.After(q.latestStart(it)) {
			expired = append(expired, it)
		}
	}
	slices.SortFunc(expired, func(a, b Item) int { return cmp.Compare(a.Attempt, b.Attempt) })
	for _, it := range expired {
		q.drop(it)
	}
	return expired
}

// Remove drops an item, and tells whether it was queued.
func (q *Queue) Remove(attempt string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	it, found := q.waiting[attempt]
	if found {
		q.drop(it)
	}
	return found
}

// Len returns the number of queued items.
func (q *Queue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting)
}

// Delay is the predicted time until a new item would start.
func (q *Queue) Delay(now time.Time) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.delay(now)
}

// RecordPrefill learns the time for a token from a prefill that ended.
func (q *Queue) RecordPrefill(tokens int, took time.Duration) {
	if tokens <= 0 || took <= 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	cost := float64(took) / float64(tokens)
	q.tokenCost += time.Duration(rateWeight * (cost - float64(q.tokenCost)))
}

func (q *Queue) delay(now time.Time) time.Duration {
	return max(0, q.busyUntil.Sub(now)) + time.Duration(q.queued)*q.tokenCost
}

func (q *Queue) cost(it Item) time.Duration {
	return time.Duration(it.Tokens) * q.tokenCost
}

func (q *Queue) latestStart(it Item) time.Time {
	return it.Deadline.Add(-q.cost(it) - q.after(max(it.Tokens, it.PromptTokens)))
}

func (q *Queue) before(a, b Item) bool {
	if a.Late != b.Late {
		return b.Late
	}
	x, y := q.latestStart(a), q.latestStart(b)
	if x.Equal(y) {
		return a.Attempt < b.Attempt
	}
	return x.Before(y)
}

func (q *Queue) start(it Item, level float64, now time.Time) {
	q.drop(it)
	q.served[it.Partner] = max(q.served[it.Partner], level) + float64(it.Tokens)
	if q.busyUntil.Before(now) {
		q.busyUntil = now
	}
	q.busyUntil = q.busyUntil.Add(q.cost(it))
}

func (q *Queue) drop(it Item) {
	delete(q.waiting, it.Attempt)
	q.queued -= it.Tokens
	if len(q.waiting) == 0 {
		clear(q.served)
	}
}

// level is the least served among the partners that wait.
func (q *Queue) level() float64 {
	level, found := 0.0, false
	for _, it := range q.waiting {
		if served := q.served[it.Partner]; !found || served < level {
			level, found = served, true
		}
	}
	return level
}
