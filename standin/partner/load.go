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
	// KindMixed alternates generations and calls.
	KindMixed Kind = "mixed"

	// maxPromptWords bounds the number of words of a generated prompt.
	maxPromptWords = 40
)

type (
	// Kind selects the requests of a load.
	Kind string

	// Load describes a series of requests. The same seed generates the same requests except for the creation
	// times in their keys.
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
		// Interval is a pause after the start of each request. At zero, only Concurrency limits the rate.
		Interval time.Duration
	}
)

// Check returns an error if the load has no model or no service for its kind of requests.
func (l *Load) Check() error {
	if l.Kind != KindCall && len(l.Models) == 0 {
		return eris.New("partner: no model for generations")
	}
	if l.Kind != KindGenerate && len(l.Services) == 0 {
		return eris.New("partner: no service for calls")
	}
	return nil
}

// Run sends the requests of a load and returns the report. It starts no more requests when ctx is done.
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
		sleep(ctx, l.Interval)
	}
	group.Wait()
	return tally.Report()
}

// request returns the i-th request, counted from 0.
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
		Prompt:          randomPrompt(r),
		MaxOutputTokens: l.MaxOutputTokens,
	}
}

func randomPrompt(r *rand.Rand) string {
	words := make([]string, 1+r.IntN(maxPromptWords))
	for i := range words {
		words[i] = fmt.Sprintf("w%d", r.IntN(1000))
	}
	return strings.Join(words, " ")
}

func sleep(ctx context.Context, d time.Duration) {
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
