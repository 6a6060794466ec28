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
	defaultQuantum  = 16384
	defaultMaxItems = 1024
)

type (
	// Item is a prompt that waits for its prefill.
	Item struct {
		Attempt string
		Partner string
		// Tokens is the number of tokens that are expected to be uncached.
		Tokens int
		// PromptTokens is the number of tokens of the prompt. Zero means that it equals Tokens.
		PromptTokens int
		Arrived      time.Time
		// Deadline is when the first token is due.
		Deadline time.Time
		// Late reports whether the first token is predicted to miss its latency target. Late items are sorted after
		// all others.
		Late bool
		// trial reports whether the item was admitted only because the upstream was idle.
		trial bool
	}

	// QueueOption configures a Queue.
	QueueOption func(q *Queue)

	// Queue orders the prompts of one prefill upstream by their latest start, the time at which the prefill
	// has to start to meet the deadline. Fair queueing limits how many tokens one partner may be served ahead of
	// the others. It is safe for concurrent use.
	Queue struct {
		mu   sync.Mutex
		gate *admission.Gate
		// tokenCost is the estimated prefill time of one uncached token.
		tokenCost costEstimate
		// timeAfterPrefill returns the time from the end of a prompt's prefill to its first token.
		timeAfterPrefill func(tokens int) time.Duration
		// onTrial is called for each item that is admitted only because the upstream is idle.
		onTrial func(Item, admission.Forecast)
		// quantum is the number of tokens that a partner may be served ahead of the others.
		quantum  float64
		maxItems int
		// waiting holds the queued items by attempt.
		waiting map[string]Item
		// queuedTokens is the number of uncached tokens of all queued items.
		queuedTokens int
		// busyUntil is when the prefill that was started last is predicted to be complete.
		busyUntil time.Time
		// servedTokens counts by partner the uncached tokens of started items since the queue was last empty.
		servedTokens map[string]float64
	}
)

// NewQueue returns an empty queue.
func NewQueue(opts ...QueueOption) *Queue {
	q := &Queue{
		gate:             admission.NewGate(rand.New(rand.NewPCG(0, 0))),
		tokenCost:        newCostEstimate(defaultTokenCost),
		timeAfterPrefill: func(int) time.Duration { return 0 },
		onTrial:          func(Item, admission.Forecast) {},
		quantum:          defaultQuantum,
		maxItems:         defaultMaxItems,
		waiting:          make(map[string]Item),
		servedTokens:     make(map[string]float64),
	}
	for _, opt := range opts {
		opt(q)
	}
	return q
}

// WithGate sets the admission gate that refuses prompts.
func WithGate(g *admission.Gate) QueueOption {
	return func(q *Queue) { q.gate = g }
}

// WithInitialTokenCost sets the assumed prefill time of one uncached token before any was measured. The default is
// 25 µs.
func WithInitialTokenCost(cost time.Duration) QueueOption {
	return func(q *Queue) { q.tokenCost = newCostEstimate(cost) }
}

// WithTimeAfterPrefill sets the function that returns the time from the end of a prompt's prefill to its first token,
// for a prompt of a number of tokens. The default is no time.
func WithTimeAfterPrefill(after func(tokens int) time.Duration) QueueOption {
	return func(q *Queue) { q.timeAfterPrefill = after }
}

// WithTrialObserver sets a function that is called for each item that is admitted only because the upstream is idle.
func WithTrialObserver(onTrial func(Item, admission.Forecast)) QueueOption {
	return func(q *Queue) { q.onTrial = onTrial }
}

// WithQuantum sets how many tokens a partner may be served ahead of the others. The default is 16384.
func WithQuantum(tokens int) QueueOption {
	return func(q *Queue) { q.quantum = float64(tokens) }
}

// WithMaxItems sets the maximum number of queued items. The default is 1024.
func WithMaxItems(items int) QueueOption {
	return func(q *Queue) { q.maxItems = items }
}

// Push queues an item. It returns a refusal when the queue is full or the first token would miss the deadline. An idle
// upstream takes an item in any case: it displaces no other, and without its prefill the estimate would not be corrected.
func (q *Queue) Push(it Item, now time.Time) *refusal.Refusal {
	forecast, trial, refused := q.push(it, now)
	if trial {
		q.onTrial(it, forecast)
	}
	return refused
}

// push is Push. It also returns the forecast and whether the item is admitted as a trial.
func (q *Queue) push(it Item, now time.Time) (forecast admission.Forecast, trial bool, refused *refusal.Refusal) {
	q.mu.Lock()
	defer q.mu.Unlock()
	forecast = q.forecast(it, now)
	if len(q.waiting) >= q.maxItems {
		return forecast, false, q.gate.Shed(forecast.QueueDelay)
	}
	if refused := q.gate.Admit(forecast, now); refused != nil {
		if !q.idle(now) {
			return forecast, false, refused
		}
		it.trial = true
	}
	if earlier, found := q.waiting[it.Attempt]; found {
		q.queuedTokens -= earlier.Tokens
	}
	if !q.waits(it.Partner) {
		q.servedTokens[it.Partner] = max(q.servedTokens[it.Partner], q.leastServed())
	}
	q.waiting[it.Attempt] = it
	q.queuedTokens += it.Tokens
	return forecast, it.trial, nil
}

// Next removes and returns the item with the earliest latest start, late items last, or false when the queue is
// empty. It skips partners that were served more than the quantum ahead of the least served waiting partner.
func (q *Queue) Next(now time.Time) (Item, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	leastServed := q.leastServed()
	var best Item
	found := false
	for _, it := range q.waiting {
		if q.servedTokens[it.Partner] > leastServed+q.quantum {
			continue
		}
		if !found || q.startsBefore(it, best, now) {
			best, found = it, true
		}
	}
	if found {
		q.recordStart(best, leastServed, now)
	}
	return best, found
}

// Expired removes and returns the items that can no longer meet their deadline, sorted by attempt. If nothing else could
// start at an idle upstream, the one with the latest deadline stays as a trial until then.
func (q *Queue) Expired(now time.Time) []Item {
	expired, trial, forecast := q.expired(now)
	if trial != nil {
		q.onTrial(*trial, forecast)
	}
	return expired
}

// expired is Expired. It also returns the item that becomes a trial, or nil, and its forecast.
func (q *Queue) expired(now time.Time) ([]Item, *Item, admission.Forecast) {
	q.mu.Lock()
	defer q.mu.Unlock()
	var expired []Item
	for _, it := range q.waiting {
		if now.After(q.latestStart(it, now)) {
			expired = append(expired, it)
		}
	}
	slices.SortFunc(expired, func(a, b Item) int { return cmp.Compare(a.Attempt, b.Attempt) })
	trial, found := Item{}, false
	if len(expired) == len(q.waiting) && !now.Before(q.busyUntil) {
		expired, trial, found = takeTrial(expired, now)
	}
	for _, it := range expired {
		q.remove(it)
	}
	if !found {
		return expired, nil, admission.Forecast{}
	}
	trial.trial = true
	q.waiting[trial.Attempt] = trial
	return expired, &trial, q.forecast(trial, now)
}

// takeTrial removes the item with the latest deadline from a list, unless that has passed. It returns the others and that
// item.
func takeTrial(items []Item, now time.Time) ([]Item, Item, bool) {
	latest := 0
	for n, it := range items {
		if it.Deadline.After(items[latest].Deadline) {
			latest = n
		}
	}
	if len(items) == 0 || now.After(items[latest].Deadline) {
		return items, Item{}, false
	}
	trial := items[latest]
	return slices.Delete(items, latest, latest+1), trial, true
}

// Remove removes an item and reports whether it was queued.
func (q *Queue) Remove(attempt string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	it, found := q.waiting[attempt]
	if found {
		q.remove(it)
	}
	return found
}

// Len returns the number of queued items.
func (q *Queue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting)
}

// Delay returns the predicted time until a new item would start.
func (q *Queue) Delay(now time.Time) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.delay(now)
}

// TimeUntilIdle returns the predicted time until the started prefills are complete.
func (q *Queue) TimeUntilIdle(now time.Time) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return max(0, q.busyUntil.Sub(now))
}

// Idle reports whether no item is queued and the started prefills are predicted to be complete.
func (q *Queue) Idle(now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.idle(now)
}

// RecordPrefill updates the time per token with the duration of a prefill of a number of uncached tokens that has just
// completed.
func (q *Queue) RecordPrefill(tokens int, took time.Duration, now time.Time) {
	if tokens <= 0 || took <= 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.tokenCost.record(took/time.Duration(tokens), now)
}

// forecast returns what is predicted for an item that is queued last.
func (q *Queue) forecast(it Item, now time.Time) admission.Forecast {
	return admission.Forecast{
		QueueDelay: q.delay(now),
		Prefill:    q.cost(it, now),
		FirstStep:  q.timeAfterPrefill(max(it.Tokens, it.PromptTokens)),
		Deadline:   it.Deadline,
	}
}

func (q *Queue) idle(now time.Time) bool {
	return len(q.waiting) == 0 && !now.Before(q.busyUntil)
}

func (q *Queue) delay(now time.Time) time.Duration {
	return max(0, q.busyUntil.Sub(now)) + time.Duration(q.queuedTokens)*q.tokenCost.at(now)
}

func (q *Queue) cost(it Item, now time.Time) time.Duration {
	return time.Duration(it.Tokens) * q.tokenCost.at(now)
}

// latestStart returns when an item must start at the latest. A trial may start until its deadline.
func (q *Queue) latestStart(it Item, now time.Time) time.Time {
	if it.trial {
		return it.Deadline
	}
	return it.Deadline.Add(-q.cost(it, now) - q.timeAfterPrefill(max(it.Tokens, it.PromptTokens)))
}

func (q *Queue) startsBefore(a, b Item, now time.Time) bool {
	if a.Late != b.Late {
		return b.Late
	}
	x, y := q.latestStart(a, now), q.latestStart(b, now)
	if x.Equal(y) {
		return a.Attempt < b.Attempt
	}
	return x.Before(y)
}

// recordStart removes an item that starts now and counts its tokens as served to its partner.
func (q *Queue) recordStart(it Item, leastServed float64, now time.Time) {
	q.remove(it)
	q.servedTokens[it.Partner] = max(q.servedTokens[it.Partner], leastServed) + float64(it.Tokens)
	if q.busyUntil.Before(now) {
		q.busyUntil = now
	}
	q.busyUntil = q.busyUntil.Add(q.cost(it, now))
}

func (q *Queue) remove(it Item) {
	delete(q.waiting, it.Attempt)
	q.queuedTokens -= it.Tokens
	if len(q.waiting) == 0 {
		clear(q.servedTokens)
	}
}

// waits reports whether an item of a partner is queued.
func (q *Queue) waits(partner string) bool {
	for _, it := range q.waiting {
		if it.Partner == partner {
			return true
		}
	}
	return false
}

// leastServed returns the served tokens of the waiting partner that was served least.
func (q *Queue) leastServed() float64 {
	least, found := 0.0, false
	for _, it := range q.waiting {
		if served := q.servedTokens[it.Partner]; !found || served < least {
			least, found = served, true
		}
	}
	return least
}
