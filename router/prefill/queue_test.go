package prefill_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrypin.example/router/prefill"
	"gooseberrypin.example/router/refusal"
)

func item(attempt, partner string, tokens int, due time.Duration) prefill.Item {
	return prefill.Item{Attempt: attempt, Partner: partner, Tokens: tokens, Arrived: start, Deadline: start.Add(due)}
}

func late(i prefill.Item) prefill.Item {
	i.Late = true
	return i
}

func TestQueueOrder(t *testing.T) {
	for name, test := range map[string]struct {
		items []prefill.Item
		want  []string
	}{
		"by deadline": {
			items: []prefill.Item{item("a", "p", 100, 300*time.Millisecond), item("b", "p", 100, 200*time.Millisecond)},
			want:  []string{"b", "a"},
		},
		"by latest start": {
			items: []prefill.Item{item("a", "p", 100, 300*time.Millisecond), item("b", "p", 8000, 310*time.Millisecond)},
			want:  []string{"b", "a"},
		},
		"late items last": {
			items: []prefill.Item{late(item("a", "p", 100, 100*time.Millisecond)), item("b", "p", 100, 200*time.Millisecond)},
			want:  []string{"b", "a"},
		},
		"partner beyond its quantum waits": {
			items: []prefill.Item{
				item("a", "p", 800, 200*time.Millisecond),
				item("b", "p", 800, 210*time.Millisecond),
				item("c", "p", 800, 220*time.Millisecond),
				item("d", "q", 800, 300*time.Millisecond),
			},
			want: []string{"a", "b", "d", "c"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			q := prefill.NewQueue(prefill.WithQuantum(1000))
			for _, i := range test.items {
				is.Equal(q.Push(i, start), nil)
			}
			var got []string
			for range test.items {
				next, found := q.Next(start)
				is.True(found)
				got = append(got, next.Attempt)
			}
			is.Equal(got, test.want)
			_, found := q.Next(start)
			is.True(!found) // the queue is empty
		})
	}
}

func TestQueueSheds(t *testing.T) {
	is := is.New(t)
	q := prefill.NewQueue(prefill.WithInitialTokenCost(cost))
	is.Equal(q.Push(item("a", "p", 8000, 250*time.Millisecond), start), nil)
	is.Equal(q.Delay(start), 200*time.Millisecond)
	refused := q.Push(item("b", "p", 4000, 250*time.Millisecond), start)
	is.Equal(refused.Reason, refusal.Overloaded)
	is.Equal(refused.Ran, refusal.RanNo)
	is.True(refused.RetryAfter >= 50*time.Millisecond && refused.RetryAfter <= 75*time.Millisecond) // the excess over the deadline, with jitter
	is.Equal(len(q.Expired(start.Add(50*time.Millisecond))), 0)
	is.Equal(len(q.Expired(start.Add(51*time.Millisecond))), 0) // nothing else could start, so it is a trial
	expired := q.Expired(start.Add(251 * time.Millisecond))
	is.Equal(expired[0].Attempt, "a")
	is.True(!q.Remove("a"))
	is.Equal(q.Delay(start), time.Duration(0))
	q.RecordPrefill(1000, 100*time.Millisecond, start)
	is.Equal(q.Push(item("c", "p", 1000, time.Second), start), nil)
	is.True(q.Delay(start) > 25*time.Millisecond) // the measured time per token is higher
}

// BenchmarkQueue measures one Push and one Next.
func BenchmarkQueue(b *testing.B) {
	for _, waiting := range []int{8, 64} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			q := prefill.NewQueue()
			push := func(i int) {
				q.Push(item(fmt.Sprint(i), fmt.Sprint(i%24), 1, time.Hour), start)
			}
			for i := range waiting {
				push(i)
			}
			b.ReportAllocs()
			for i := waiting; b.Loop(); i++ {
				push(i)
				q.Next(start)
			}
		})
	}
}

// BenchmarkNewPrompt measures hashing a prompt of 1,200 tokens.
func BenchmarkNewPrompt(b *testing.B) {
	text := string(make([]byte, 1200*prefill.TokenBytes))
	b.ReportAllocs()
	for b.Loop() {
		prefill.NewPrompt(text)
	}
}

// A repeated Push of an attempt replaces its item.
func TestRepeatedPushCountsOnce(t *testing.T) {
	is := is.New(t)
	q := prefill.NewQueue(prefill.WithInitialTokenCost(cost))
	is.Equal(q.Push(item("a", "p", 1000, time.Second), start), nil)
	is.Equal(q.Push(item("a", "p", 2000, time.Second), start), nil)
	is.Equal(q.Len(), 1)
	is.Equal(q.Delay(start), 2000*cost)
	is.True(q.Remove("a"))
	is.Equal(q.Delay(start), time.Duration(0))
}

// A partner that was idle gets its share from its return on, and no credit for the time before: the others are not kept waiting
// until it has caught up.
func TestIdlePartnerGetsNoCredit(t *testing.T) {
	is := is.New(t)
	q := prefill.NewQueue(prefill.WithInitialTokenCost(time.Microsecond), prefill.WithQuantum(2000))
	push := func(partner string, items int) {
		for n := range items {
			is.Equal(q.Push(item(fmt.Sprintf("%s-%03d", partner, n), partner, 1000, time.Hour), start), nil)
		}
	}
	push("busy", 120)
	for range 60 {
		_, found := q.Next(start)
		is.True(found)
	}
	push("idle", 60)
	served := map[string]int{}
	for range 20 {
		it, found := q.Next(start)
		is.True(found)
		served[it.Partner]++
	}
	is.True(served["idle"] >= 8)
	is.True(served["busy"] >= 8)
}
