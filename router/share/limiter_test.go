package share_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrypin.example/router/refusal"
	"gooseberrypin.example/router/share"
)

const (
	rate   = 6000
	tokens = 200
)

var (
	start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
)

// TestTake sends 60 requests a second of one partner and 5 of another to a system that carries 30.
// It counts the admitted requests of the first during the 15 s after its demand has been measured
// for 5 s.
func TestTake(t *testing.T) {
	for name, test := range map[string]struct {
		pressure float64
		weight   float64
		low      int
		high     int
	}{
		"idle system":             {pressure: 0.5, weight: 1, low: 900, high: 900},
		"share under load":        {pressure: 0.95, weight: 1, low: 350, high: 400},
		"full system":             {pressure: 1, weight: 1, low: 0, high: 0},
		"weight gives more share": {pressure: 0.95, weight: 3, low: 350, high: 400},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := share.NewLimiter(rand.New(rand.NewPCG(1, 2)))
			l.SetRate(rate)
			l.SetPressure(test.pressure)
			greedy, light := 0, 0
			for i := range 1200 {
				now := start.Add(time.Duration(i) * time.Second / 60)
				refused := l.Take("greedy", test.weight, tokens, 1, now)
				if refused != nil {
					is.Equal(refused.Reason, refusal.PartnerShare)
					is.True(refused.RetryAfter > 0)
				} else if i >= 300 {
					greedy++
				}
				if i%12 == 0 && l.Take("light", 1, tokens, 1, now) == nil {
					light++
				}
			}
			is.Equal(light, 100) // the light partner is never limited
			is.True(greedy >= test.low && greedy <= test.high)
		})
	}
}

// BenchmarkTake measures one request to a loaded system.
func BenchmarkTake(b *testing.B) {
	for _, partners := range []int{24, 3300} {
		b.Run(fmt.Sprintf("partners=%d", partners), func(b *testing.B) {
			l := share.NewLimiter(rand.New(rand.NewPCG(1, 2)))
			l.SetRate(rate)
			l.SetPressure(0.95)
			names := make([]string, partners)
			for i := range names {
				names[i] = fmt.Sprintf("partner-%d", i)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				l.Take(names[i%partners], 1, tokens, 1, start.Add(time.Duration(i)*time.Second/56))
			}
		})
	}
}

// A partner that is refused just after the capacity became known gets a finite retry delay.
func TestRetryDelayIsFiniteWhenTheRateBecomesKnown(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	l := share.NewLimiter(rand.New(rand.NewPCG(1, 1)))
	l.SetPressure(1)
	for range 10 {
		is.Equal(l.Take("p", 1, 1000, 1, now), nil)
	}
	l.SetRate(100)
	refused := l.Take("p", 1, 1000, 1, now.Add(100*time.Millisecond))
	is.True(refused != nil)
	is.True(refused.RetryAfter > 0 && refused.RetryAfter < time.Minute)
}
