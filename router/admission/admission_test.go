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
		queue time.Duration
		over  time.Duration
	}{
		"in time":      {queue: 100 * time.Millisecond},
		"just in time": {queue: 200 * time.Millisecond},
		"late":         {queue: 300 * time.Millisecond, over: 100 * time.Millisecond},
		"barely late":  {queue: 201 * time.Millisecond, over: 20 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := admission.NewGate(rand.New(rand.NewPCG(1, 2)), admission.WithMargin(10*time.Millisecond))
			refused := g.Admit(admission.Forecast{
				QueueDelay: test.queue,
				Prefill:    100 * time.Millisecond,
				Transfer:   20 * time.Millisecond,
				FirstStep:  50 * time.Millisecond,
				Deadline:   start.Add(380 * time.Millisecond),
			}, start)
			is.Equal(refused == nil, test.over == 0)
			if refused != nil {
				is.Equal(refused.Reason, refusal.Overloaded)
				is.True(refused.RetryAfter >= test.over && refused.RetryAfter <= test.over*3/2)
			}
		})
	}
}

func TestArrivals(t *testing.T) {
	is := is.New(t)
	a := admission.NewArrivals(admission.WithKeys(2))
	for i, key := range []string{"a", "b", "a", "c", "a"} {
		first, again := a.First(key, start.Add(time.Duration(i)*time.Second))
		is.Equal(again, i == 2) // the last "a" was forgotten for "c"
		if again {
			is.Equal(first, start)
		}
	}
}

// BenchmarkAdmit is the refusal of a request whose key is known.
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
