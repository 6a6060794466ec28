package main

import (
	"encoding/json"
	"fmt"

	"github.com/rotisserie/eris"

	"gooseberrypin.example/scenario/fleet"
	"gooseberrypin.example/standin/partner"
)

type (
	// tally counts the outcomes of keys, whatever number of times each was sent.
	tally struct {
		keys       map[string]*outcome
		duplicates int
	}

	// outcome is what the tries of one key came to.
	outcome struct {
		booking  bool
		answered int
		refused  int
		cut      int
	}
)

func newTally() *tally {
	return &tally{keys: make(map[string]*outcome)}
}

// String is the last line of the demo. A cut counts even when a resend was answered.
func (t *tally) String() string {
	answered, refused, cut := 0, 0, 0
	for _, o := range t.keys {
		cut += o.cut
		switch {
		case o.answered > 0:
			answered++
		case o.refused > 0:
			refused++
		}
	}
	return fmt.Sprintf("demo: answered=%d refused=%d duplicates=%d cut=%d", answered, refused, t.duplicates, cut)
}

// add counts what the partner saw of a request. A second whole answer of a generation is
// a duplicate; the kept result of a call may come back many times.
func (t *tally) add(r partner.Request, seen partner.Outcome) {
	switch r := r.(type) {
	case partner.Generation:
		o := t.outcome(r.Key)
		o.count(seen)
		if o.answered > 1 {
			t.duplicates += o.answered - 1
		}
	case partner.Call:
		o := t.outcome(r.Key)
		o.booking = r.Service == fleet.BookingService
		o.count(seen)
	}
}

// countRuns adds the bookings that the services ran more than once.
func (t *tally) countRuns(f *fleet.Fleet) error {
	runs := make(map[string]int)
	for _, service := range []string{"service1", "service2"} {
		if err := addRuns(f, service, runs); err != nil {
			return err
		}
	}
	return t.compareRuns(runs)
}

func (t *tally) compareRuns(runs map[string]int) error {
	for key, o := range t.keys {
		if !o.booking {
			continue
		}
		if o.answered > 0 && runs[key] == 0 {
			return eris.Errorf("booking %s was answered but no service ran it", key)
		}
		t.duplicates += max(0, runs[key]-1)
	}
	return nil
}

// fault tells which promise was broken, if any.
func (t *tally) fault() error {
	for key, o := range t.keys {
		if o.answered == 0 || o.cut > 0 {
			return eris.Errorf("key %s: answered %d times, cut %d times", key, o.answered, o.cut)
		}
	}
	if t.duplicates > 0 {
		return eris.Errorf("%d duplicates", t.duplicates)
	}
	return nil
}

func (t *tally) outcome(key string) *outcome {
	o, found := t.keys[key]
	if !found {
		o = &outcome{}
		t.keys[key] = o
	}
	return o
}

func (o *outcome) count(seen partner.Outcome) {
	switch s := seen.(type) {
	case partner.Answered:
		o.answered += s.Answers
		o.cut += s.Mismatches
	case partner.Refused:
		o.refused++
		o.cut += s.Mismatches
	case partner.Failed:
		o.cut++
	}
}

func addRuns(f *fleet.Fleet, service string, runs map[string]int) error {
	address, err := f.UpstreamAddress(service)
	if err != nil {
		return err
	}
	content, err := f.Page(address, "/runs")
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
