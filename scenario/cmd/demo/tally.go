package main

import (
	"encoding/json"
	"fmt"

	"github.com/rotisserie/eris"

	"gooseberrypin.example/scenario/fleet"
	"gooseberrypin.example/standin/partner"
)

type (
	// tally counts the outcomes of requests by idempotency key. Resends of a key count towards the same outcome.
	tally struct {
		outcomes map[string]*keyOutcome
		// duplicates counts second answers to a generation and repeated runs of a booking.
		duplicates int
	}

	// keyOutcome counts the outcomes of all sends of one key.
	keyOutcome struct {
		// isBooking is set for calls that may run at most once.
		isBooking bool
		answered  int
		refused   int
		// incomplete counts requests that ended without an answer or a refusal, and answers that did not match
		// their digest.
		incomplete int
	}
)

func newTally() *tally {
	return &tally{outcomes: make(map[string]*keyOutcome)}
}

// String returns the last line of the demo. An incomplete answer counts as cut even if a resend was answered.
func (t *tally) String() string {
	answered, refused, incomplete := 0, 0, 0
	for _, o := range t.outcomes {
		incomplete += o.incomplete
		switch {
		case o.answered > 0:
			answered++
		case o.refused > 0:
			refused++
		}
	}
	return fmt.Sprintf("demo: answered=%d refused=%d duplicates=%d cut=%d", answered, refused, t.duplicates, incomplete)
}

// add counts the outcome of a request. A second complete answer to a generation is a duplicate. A call may return
// its stored result several times.
func (t *tally) add(r partner.Request, result partner.Outcome) {
	switch r := r.(type) {
	case partner.Generation:
		o := t.outcome(r.Key)
		o.add(result)
		if o.answered > 1 {
			t.duplicates += o.answered - 1
		}
	case partner.Call:
		o := t.outcome(r.Key)
		o.isBooking = r.Service == fleet.BookingService
		o.add(result)
	}
}

// countRuns fetches from the services how often each key ran, and counts repeated runs of bookings.
func (t *tally) countRuns(f *fleet.Fleet) error {
	runs := make(map[string]int)
	for _, service := range []string{"service1", "service2"} {
		if err := fetchRuns(f, service, runs); err != nil {
			return err
		}
	}
	return t.addServiceRuns(runs)
}

// addServiceRuns adds the repeated runs of bookings to duplicates. runs is the number of runs for each key. It
// returns an error if a booking was answered although no service ran it.
func (t *tally) addServiceRuns(runs map[string]int) error {
	for key, o := range t.outcomes {
		if !o.isBooking {
			continue
		}
		if o.answered > 0 && runs[key] == 0 {
			return eris.Errorf("booking %s was answered but no service ran it", key)
		}
		t.duplicates += max(0, runs[key]-1)
	}
	return nil
}

// err returns an error if a key was not answered, an answer was incomplete, or there were duplicates.
func (t *tally) err() error {
	for key, o := range t.outcomes {
		if o.answered == 0 || o.incomplete > 0 {
			return eris.Errorf("key %s: %d complete answers, %d incomplete", key, o.answered, o.incomplete)
		}
	}
	if t.duplicates > 0 {
		return eris.Errorf("%d duplicate answers or runs", t.duplicates)
	}
	return nil
}

func (t *tally) outcome(key string) *keyOutcome {
	o, found := t.outcomes[key]
	if !found {
		o = &keyOutcome{}
		t.outcomes[key] = o
	}
	return o
}

func (o *keyOutcome) add(result partner.Outcome) {
	switch s := result.(type) {
	case partner.Answered:
		o.answered += s.Answers
		o.incomplete += s.Mismatches
	case partner.Refused:
		o.refused++
		o.incomplete += s.Mismatches
	case partner.Failed:
		o.incomplete++
	}
}

// fetchRuns adds the number of runs of each key at a service to runs.
func fetchRuns(f *fleet.Fleet, service string, runs map[string]int) error {
	address, err := f.UpstreamAddress(service)
	if err != nil {
		return err
	}
	content, err := f.HTTPGet(address, "/runs")
	if err != nil {
		return err
	}
	counts := make(map[string]int)
	if err := json.Unmarshal(content, &counts); err != nil {
		return eris.Wrap(err, "runs")
	}
	for key, n := range counts {
		runs[key] += n
	}
	return nil
}
