package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"gooseberrypin.example/scenario/answer"
	"gooseberrypin.example/scenario/fleet"
)

const (
	partner = "varal"
	// requestTimeout bounds one request.
	requestTimeout = 20 * time.Second
	pollInterval   = 20 * time.Millisecond
	longAnswer     = 200
	shortAnswer    = 24
)

type (
	// caller sends the demo's requests and counts their outcomes.
	caller struct {
		fleet   *fleet.Fleet
		senders map[string]*answer.Sender
		out     io.Writer
		tally   *tally
	}
)

// serve sends requests of both kinds through both entries and resends one of each.
func serve(ctx context.Context, f *fleet.Fleet, out io.Writer) (*tally, error) {
	c := &caller{fleet: f, senders: make(map[string]*answer.Sender), out: out, tally: newTally()}
	for _, entry := range []string{"entry1", "entry2"} {
		address, err := f.CallerAddress(entry)
		if err != nil {
			return nil, err
		}
		c.senders[entry] = answer.NewSender(address, fleet.Credential(partner))
	}
	for _, entry := range []string{"entry1", "entry2"} {
		c.generate(ctx, entry, newKey(), shortAnswer)
		c.generate(ctx, entry, newKey(), shortAnswer)
		c.call(ctx, entry, newKey(), fleet.CatalogueService)
	}
	if err := c.resendGeneration(ctx); err != nil {
		return nil, err
	}
	// A home that has just started runs no key created before that, so bookings come last.
	c.call(ctx, "entry1", newKey(), fleet.BookingService)
	c.call(ctx, "entry2", newKey(), fleet.BookingService)
	key := newKey()
	c.call(ctx, "entry1", key, fleet.BookingService)
	c.call(ctx, "entry2", key, fleet.BookingService)
	return c.tally, c.tally.countRuns(f)
}

// resendGeneration sends one key through the other entry while its answer is on the way.
func (c *caller) resendGeneration(ctx context.Context) error {
	key := newKey()
	first := answer.NewRecord()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		c.runGeneration(ctx, "entry1", key, longAnswer, first)
	}()
	if !c.awaitTokens(ctx, first, ended) {
		return eris.Errorf("resend: the first answer did not begin: %+v", first.Answer())
	}
	c.generate(ctx, "entry2", key, longAnswer)
	<-ended
	c.print("entry1", "generate", key, first.Answer())
	c.tally.add(key, first.Answer())
	return nil
}

// awaitTokens waits until an answer has begun.
func (c *caller) awaitTokens(ctx context.Context, r *answer.Record, ended <-chan struct{}) bool {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for r.Answer().Tokens == 0 {
		select {
		case <-tick.C:
		case <-ended:
			return r.Answer().Tokens > 0
		case <-ctx.Done():
			return false
		}
	}
	return true
}

func (c *caller) generate(ctx context.Context, entry, key string, tokens int32) {
	r := answer.NewRecord()
	c.runGeneration(ctx, entry, key, tokens, r)
	c.print(entry, "generate", key, r.Answer())
	c.tally.add(key, r.Answer())
}

func (c *caller) runGeneration(ctx context.Context, entry, key string, tokens int32, r *answer.Record) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	g := answer.Generation{
		Key:       key,
		Model:     fleet.Model,
		Prompt:    fleet.Prompt("How is a cotton quilt washed when its lining is loose? "+key, tokens),
		MaxTokens: tokens,
	}
	c.senders[entry].Generate(ctx, g, r)
}

func (c *caller) call(ctx context.Context, entry, key, service string) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	r := answer.NewRecord()
	c.senders[entry].Call(ctx, answer.Call{Key: key, Service: service, Path: "/run", Body: `{"van":2}`}, r)
	c.print(entry, service, key, r.Answer())
	c.tally.addCall(key, service, r.Answer())
}

func (c *caller) print(entry, what, key string, a answer.Answer) {
	fmt.Fprintf(c.out, "%s %-9s key=%s %s", entry, what, key, a.State)
	switch a.State {
	case answer.Whole:
		fmt.Fprintf(c.out, " tokens=%d status=%d replayed=%t\n", a.Tokens, a.Status, a.Replay)
	case answer.Refused:
		fmt.Fprintf(c.out, " reason=%s ran=%s\n", a.Reason, a.Ran)
	default:
		fmt.Fprintf(c.out, " %s\n", a.Message)
	}
}

func newKey() string {
	return uuid.Must(uuid.NewV7()).String()
}
