package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"gooseberrypin.example/scenario/fleet"
	"gooseberrypin.example/standin/partner"
)

const (
	partnerName = "varal"
	// patience is how long the impatient partner waits for a first token.
	patience    = 20 * time.Millisecond
	longAnswer  = 200
	shortAnswer = 24
)

type (
	// caller sends the demo's requests through both entries and counts their outcomes.
	caller struct {
		entries   []string
		patient   *partner.Client
		impatient *partner.Client
		random    *rand.Rand
		out       io.Writer
		tally     *tally
	}
)

// serve sends requests of both kinds through both entries and resends one of each.
func serve(ctx context.Context, f *fleet.Fleet, out io.Writer) (*tally, error) {
	c, err := newCaller(f, out)
	if err != nil {
		return nil, err
	}
	for first := range c.entries {
		c.send(ctx, c.patient, first, c.generation(shortAnswer))
		c.send(ctx, c.patient, first, c.generation(shortAnswer))
		c.send(ctx, c.patient, first, c.call(fleet.CatalogueService))
	}
	fmt.Fprintln(out, "resent through the other entry before the first token:")
	c.send(ctx, c.impatient, 0, c.generation(longAnswer))
	// A home that has just started runs no key created before that, so bookings come last.
	for first := range c.entries {
		c.send(ctx, c.patient, first, c.call(fleet.BookingService))
	}
	fmt.Fprintln(out, "one booking, sent through each entry:")
	booking := c.call(fleet.BookingService)
	c.send(ctx, c.patient, 0, booking)
	c.send(ctx, c.patient, 1, booking)
	return c.tally, c.tally.countRuns(f)
}

func newCaller(f *fleet.Fleet, out io.Writer) (*caller, error) {
	c := &caller{
		entries: []string{"entry1", "entry2"},
		random:  rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		out:     out,
		tally:   newTally(),
	}
	var addresses []string
	for _, entry := range c.entries {
		address, err := f.CallerAddress(entry)
		if err != nil {
			return nil, err
		}
		addresses = append(addresses, address)
	}
	credential := fleet.Credential(partnerName)
	c.patient = partner.New(credential, addresses)
	c.impatient = partner.New(credential, addresses, partner.WithHedgeDelay(patience), partner.WithMaxAttempts(2))
	return c, nil
}

func (c *caller) send(ctx context.Context, client *partner.Client, first int, r partner.Request) {
	o := client.Send(ctx, r, first)
	c.print(c.entries[first], r, o)
	c.tally.add(r, o)
}

func (c *caller) generation(tokens int32) partner.Request {
	key := c.newKey()
	return partner.Generation{
		Key:             key,
		Model:           fleet.Model,
		Prompt:          fleet.Prompt("How is a cotton quilt washed when its lining is loose? "+key, tokens),
		MaxOutputTokens: tokens,
	}
}

func (c *caller) call(service string) partner.Request {
	return partner.Call{Key: c.newKey(), Service: service, Path: "/run", Body: []byte(`{"van":2}`)}
}

func (c *caller) newKey() string {
	return partner.NewKey(time.Now(), c.random)
}

func (c *caller) print(entry string, r partner.Request, o partner.Outcome) {
	fmt.Fprintf(c.out, "%s %s: ", entry, describe(r))
	switch o := o.(type) {
	case partner.Answered:
		fmt.Fprintf(c.out, "answered, tries=%d replayed=%d in %s\n", o.Attempts, o.Replayed, o.Total.Round(time.Millisecond))
	case partner.Refused:
		fmt.Fprintf(c.out, "refused, tries=%d: %v\n", o.Attempts, o.Refusal)
	case partner.Failed:
		fmt.Fprintf(c.out, "cut, tries=%d: %v\n", o.Attempts, o.Err)
	}
}

func describe(r partner.Request) string {
	switch r := r.(type) {
	case partner.Generation:
		return "generate " + r.Key
	case partner.Call:
		return r.Service + " " + r.Key
	}
	return "unknown"
}
