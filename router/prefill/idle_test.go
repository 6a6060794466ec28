package prefill_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrypin.example/router/prefill"
)

const (
	// longPrompt is the number of tokens of a prompt that a healthy engine prefills well within its deadline.
	longPrompt = 3757
	// promptBudget is the time until the first token is due.
	promptBudget = 490 * time.Millisecond
)

// learnSlowEngine returns a queue that has learned the prefill times of an engine in a slow spell.
func learnSlowEngine() *prefill.Queue {
	q := prefill.NewQueue(prefill.WithInitialTokenCost(cost))
	const samples, interval = 50, 200 * time.Millisecond
	for n := range samples {
		q.RecordPrefill(longPrompt, longPrompt*168*time.Microsecond, start.Add((time.Duration(n)-samples)*interval))
	}
	return q
}

// An idle engine gets a prompt even if the learned cost says that it is late, and its prefill corrects the estimate.
func TestIdleQueueTriesLatePrompt(t *testing.T) {
	is := is.New(t)
	q := learnSlowEngine()
	now := start
	for n := range 5 {
		it := prefill.Item{Attempt: fmt.Sprint(n), Tokens: longPrompt, Arrived: now, Deadline: now.Add(promptBudget)}
		is.Equal(q.Push(it, now), nil)
		is.Equal(len(q.Expired(now)), 0)
		_, found := q.Next(now)
		is.True(found)
		took := longPrompt * cost
		q.RecordPrefill(longPrompt, took, now.Add(took))
		now = now.Add(time.Second)
	}
}

// Only one prompt is tried: those behind it are refused by the forecast.
func TestIdleQueueTriesOnePrompt(t *testing.T) {
	is := is.New(t)
	q := learnSlowEngine()
	is.Equal(q.Push(item("a", "p", longPrompt, promptBudget), start), nil)
	is.True(q.Push(item("b", "p", longPrompt, promptBudget), start) != nil)
	_, found := q.Next(start)
	is.True(found)
	is.True(q.Push(item("c", "p", longPrompt, promptBudget), start) != nil)
}

// A number of slow prefills in one spell does not outweigh the ones before, and an old estimate gives way to new times.
func TestOneSlowSpellWeighsOnce(t *testing.T) {
	is := is.New(t)
	q := prefill.NewQueue(prefill.WithInitialTokenCost(cost))
	now := start
	for range 50 {
		q.RecordPrefill(longPrompt, longPrompt*cost, now)
		now = now.Add(200 * time.Millisecond)
	}
	for range 8 {
		q.RecordPrefill(longPrompt, longPrompt*168*time.Microsecond, now)
	}
	is.Equal(q.Push(item("a", "p", longPrompt, now.Sub(start)+promptBudget), now), nil)
	is.True(q.Delay(now) < longPrompt*2*cost)
}

// A prompt whose latest start passes on the way into the queue of an idle engine is tried all the same: nothing else waits.
// One of several is tried, and none past its deadline.
func TestIdleQueueTriesPromptPastItsLatestStart(t *testing.T) {
	tests := map[string]struct {
		budgets []time.Duration
		// busy is whether another prefill starts, which takes 282 ms.
		busy    bool
		after   time.Duration
		expired []string
		tried   string
	}{
		"one prompt":         {[]time.Duration{200 * time.Millisecond}, false, 150 * time.Millisecond, nil, "a"},
		"past its deadline":  {[]time.Duration{200 * time.Millisecond}, false, 201 * time.Millisecond, []string{"a"}, ""},
		"two prompts":        {[]time.Duration{200 * time.Millisecond, 220 * time.Millisecond}, false, 190 * time.Millisecond, []string{"a"}, "b"},
		"another is on time": {[]time.Duration{300 * time.Millisecond, time.Second}, false, 250 * time.Millisecond, []string{"a"}, "b"},
		"the engine works":   {[]time.Duration{250 * time.Millisecond}, true, 160 * time.Millisecond, []string{"a"}, ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			q := prefill.NewQueue(prefill.WithInitialTokenCost(cost))
			for n, budget := range tt.budgets {
				is.Equal(q.Push(prefill.Item{Attempt: string(rune('a' + n)), Tokens: longPrompt, Arrived: start, Deadline: start.Add(budget)}, start), nil)
			}
			if tt.busy {
				is.Equal(q.Push(item("x", "p", 3*longPrompt, 400*time.Millisecond), start), nil)
				next, _ := q.Next(start)
				is.Equal(next.Attempt, "x")
			}
			now := start.Add(tt.after)
			var expired []string
			for _, it := range q.Expired(now) {
				expired = append(expired, it.Attempt)
			}
			is.Equal(expired, tt.expired)
			next, _ := q.Next(now)
			is.Equal(next.Attempt, tt.tried)
		})
	}
}
