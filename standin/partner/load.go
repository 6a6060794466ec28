package partner

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// KindGenerate sends generations only.
	KindGenerate Kind = "generate"
	// KindCall sends calls only.
	KindCall Kind = "call"
	// KindMixed sends both in turn.
	KindMixed Kind = "mixed"

	wordsOfPrompt = 40
)

type (
	// Kind tells which requests a load has.
	Kind string

	// Load describes many requests. The same seed gives the same ones, but for the times in the keys.
	Load struct {
		Requests        int
		Concurrency     int
		Kind            Kind
		Models          []string
		Services        []string
		Path            string
		MaxOutputTokens int32
		Seed            uint64
		// ClockOffset is added to the creation time of each key.
		ClockOffset time.Duration
		// Interval is the time between starts of requests. Zero: as fast as they end.
		Interval time.Duration
	}
)

// Check tells what is missing.
func (l *Load) Check() error {
	if l.Kind != KindCall && len(l.Models) == 0 {
		return eris.New("partner: a model is missing")
	}
	if l.Kind != KindGenerate && len(l.Services) == 0 {
		return eris.New("partner: a service is missing")
	}
	return nil
}

// Run sends a load and returns the report.
func (c *Client) Run(ctx context.Context, l Load) Report {
	tally := NewTally()
	var group sync.WaitGroup
	slots := make(chan struct{}, max(1, l.Concurrency))
	for i := range l.Requests {
		if ctx.Err() != nil {
			break
		}
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			tally.Add(c.Send(ctx, l.request(i), i))
		})
		pause(ctx, l.Interval)
	}
	group.Wait()
	return tally.Report()
}

// request returns the request of a number.
func (l *Load) request(i int) Request {
	r := rand.New(rand.NewPCG(l.Seed, uint64(i)))
	key := NewKey(time.Now().Add(l.ClockOffset), r)
	if l.Kind == KindCall || l.Kind == KindMixed && i%2 == 1 {
		return Call{
			Key:     key,
			Service: l.Services[i%len(l.Services)],
			Path:    l.Path,
			Body:    fmt.Appendf(nil, `{"request":%d}`, i),
		}
	}
	return Generation{
		Key:             key,
		Model:           l.Models[i%len(l.Models)],
		Prompt:          prompt(r),
		MaxOutputTokens: l.MaxOutputTokens,
	}
}

func prompt(r *rand.Rand) string {
	words := make([]string, 1+r.IntN(wordsOfPrompt))
	for i := range words {
		words[i] = fmt.Sprintf("w%d", r.IntN(1000))
	}
	return strings.Join(words, " ")
}

func pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
