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
	// firstTokenTimeout is how long earlyResendClient waits for the first token before it resends.
	firstTokenTimeout = 20 * time.Millisecond
	longAnswerTokens  = 200
	shortAnswerTokens = 24
)

type (
	// requestSender sends the demo's requests through both entries and counts their outcomes.
	requestSender struct {
		entries []string
		// client has the default timeouts.
		client            *partner.Client
		earlyResendClient *partner.Client
		random            *rand.Rand
		out               io.Writer
		tally             *tally
	}
)

// serve sends generations and calls through both entries, and resends one generation and one booking through the
// other entry. It returns the counted outcomes.
func serve(ctx context.Context, f *fleet.Fleet, out io.Writer) (*tally, error) {
	s, err := newRequestSender(f, out)
	if err != nil {
		return nil, err
	}
	for first := range s.entries {
		s.send(ctx, s.client, first, s.generation(shortAnswerTokens))
		s.send(ctx, s.client, first, s.generation(shortAnswerTokens))
		s.send(ctx, s.client, first, s.call(fleet.CatalogueService))
	}
	fmt.Fprintln(out, "resent through the other entry before the first token:")
	s.send(ctx, s.earlyResendClient, 0, s.generation(longAnswerTokens))
	// A home that has just started refuses keys that may have been created before it started, so bookings are
	// sent last.
	for first := range s.entries {
		s.send(ctx, s.client, first, s.call(fleet.BookingService))
	}
	fmt.Fprintln(out, "one booking, sent through each entry:")
	booking := s.call(fleet.BookingService)
	s.send(ctx, s.client, 0, booking)
	s.send(ctx, s.client, 1, booking)
	return s.tally, s.tally.countRuns(f)
}

func newRequestSender(f *fleet.Fleet, out io.Writer) (*requestSender, error) {
	s := &requestSender{
		entries: []string{"entry1", "entry2"},
		random:  rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		out:     out,
		tally:   newTally(),
	}
	var addresses []string
	for _, entry := range s.entries {
		address, err := f.CallerAddress(entry)
		if err != nil {
			return nil, err
		}
		addresses = append(addresses, address)
	}
	credential := fleet.Credential(partnerName)
	s.client = partner.New(credential, addresses)
	s.earlyResendClient = partner.New(credential, addresses, partner.WithHedgeDelay(firstTokenTimeout), partner.WithMaxAttempts(2))
	return s, nil
}

// send sends r, first through the entry with the index first, and counts and prints its outcome.
func (s *requestSender) send(ctx context.Context, client *partner.Client, first int, r partner.Request) {
	o := client.Send(ctx, r, first)
	s.print(s.entries[first], r, o)
	s.tally.add(r, o)
}

func (s *requestSender) generation(tokens int32) partner.Request {
	key := s.newKey()
	return partner.Generation{
		Key:             key,
		Model:           fleet.Model,
		Prompt:          fleet.Prompt("How is a cotton quilt washed when its lining is loose? "+key, tokens),
		MaxOutputTokens: tokens,
	}
}

func (s *requestSender) call(service string) partner.Request {
	return partner.Call{Key: s.newKey(), Service: service, Path: "/run", Body: []byte(`{"van":2}`)}
}

func (s *requestSender) newKey() string {
	return partner.NewKey(time.Now(), s.random)
}

func (s *requestSender) print(entry string, r partner.Request, o partner.Outcome) {
	fmt.Fprintf(s.out, "%s %s: ", entry, describe(r))
	switch o := o.(type) {
	case partner.Answered:
		fmt.Fprintf(s.out, "answered, tries=%d replayed=%d in %s\n", o.Attempts, o.Replayed, o.Total.Round(time.Millisecond))
	case partner.Refused:
		fmt.Fprintf(s.out, "refused, tries=%d: %v\n", o.Attempts, o.Refusal)
	case partner.Failed:
		fmt.Fprintf(s.out, "incomplete, tries=%d: %v\n", o.Attempts, o.Err)
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
