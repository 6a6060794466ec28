package admission_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrypin.example/router/admission"
	"gooseberrypin.example/router/refusal"
)

var (
	start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
)

func TestAdmit(t *testing.T) {
	for name, test := range map[string]struct {
		queueDelay    time.Duration
		minRetryAfter time.Duration
	}{
		"before the deadline":             {queueDelay: 100 * time.Millisecond},
		"at the deadline less the margin": {queueDelay: 200 * time.Millisecond},
		"late by 100 ms":                  {queueDelay: 300 * time.Millisecond, minRetryAfter: 100 * time.Millisecond},
		"late by 1 ms":                    {queueDelay: 201 * time.Millisecond, minRetryAfter: 20 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := admission.NewGate(rand.New(rand.NewPCG(1, 2)), admission.WithMargin(10*time.Millisecond))
			refused := g.Admit(admission.Forecast{
				QueueDelay: test.queueDelay,
				Prefill:    100 * time.Millisecond,
				Transfer:   20 * time.Millisecond,
				FirstStep:  50 * time.Millisecond,
				Deadline:   start.Add(380 * time.Millisecond),
			}, start)
			is.Equal(refused == nil, test.minRetryAfter == 0)
			if refused != nil {
				is.Equal(refused.Reason, refusal.Overloaded)
				is.True(refused.RetryAfter >= test.minRetryAfter && refused.RetryAfter <= test.minRetryAfter*3/2)
			}
		})
	}
}

func TestArrivals(t *testing.T) {
	is := is.New(t)
	a := admission.NewArrivals(admission.WithMaxKeys(2))
	for i, key := range []string{"a", "b", "a", "c", "a"} {
		first, seenBefore := a.First(key, start.Add(time.Duration(i)*time.Second))
		is.Equal(seenBefore, i == 2) // "c" evicted "a", so the last "a" counts as new
		if seenBefore {
			is.Equal(first, start)
		}
	}
}

// BenchmarkAdmit measures the rejection of a request whose key was seen before.
func BenchmarkAdmit(b *testing.B) {
	g := admission.NewGate(rand.New(rand.NewPCG(1, 2)))
	a := admission.NewArrivals()
	keys := make([]string, 1000)
	for i := range keys {
		keys[i] = fmt.Sprint("key-", i)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		first, _ := a.First(keys[i%len(keys)], start)
		g.Admit(admission.Forecast{QueueDelay: time.Second, Deadline: first}, start)
	}
}
