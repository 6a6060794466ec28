package main

import (
	"encoding/json"
	"fmt"

	"github.com/rotisserie/eris"

	"gooseberrypin.example/scenario/answer"
	"gooseberrypin.example/scenario/fleet"
)

type (
	// tally counts the outcomes of keys, whatever number of times each was sent.
	tally struct {
		keys       map[string]*outcome
		duplicates int
	}

	// outcome is what the tries of one key came to.
	outcome struct {
		booking bool
		whole   int
		cut     int
		refused int
	}
)

func newTally() *tally {
	return &tally{keys: make(map[string]*outcome)}
}

// String is the last line of the demo. A cut try counts even when a resend was answered.
func (t *tally) String() string {
	answered, refused, cut := 0, 0, 0
	for _, o := range t.keys {
		cut += o.cut
		switch {
		case o.whole > 0:
			answered++
		case o.refused > 0:
			refused++
		}
	}
	return fmt.Sprintf("demo: answered=%d refused=%d duplicates=%d cut=%d", answered, refused, t.duplicates, cut)
}

// add counts a try of a generation; a second whole answer of a key is a duplicate.
func (t *tally) add(key string, a answer.Answer) {
	o := t.outcome(key)
	o.count(a)
	if o.whole > 1 && a.State == answer.Whole {
		t.duplicates++
	}
}

// addCall counts a try of a call. A kept result may come back many times; the
// service tells how often the call ran.
func (t *tally) addCall(key, service string, a answer.Answer) {
	o := t.outcome(key)
	o.booking = service == fleet.BookingService
	o.count(a)
}

// countRuns adds the bookings that the services ran more than once.
func (t *tally) countRuns(f *fleet.Fleet) error {
	runs := make(map[string]int)
	for _, service := range []string{"service1", "service2"} {
		if err := addRuns(f, service, runs); err != nil {
			return err
		}
	}
	for key, o := range t.keys {
		if !o.booking {
			continue
		}
		if o.whole > 0 && runs[key] == 0 {
			return eris.Errorf("booking %s was answered but no service ran it", key)
		}
		t.duplicates += max(0, runs[key]-1)
	}
	return nil
}

// fault tells whether a promise was broken or nothing was answered.
func (t *tally) fault() error {
	for key, o := range t.keys {
		if o.whole == 0 || o.cut > 0 {
			return eris.Errorf("key %s: answered %d times, cut %d times", key, o.whole, o.cut)
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

func (o *outcome) count(a answer.Answer) {
	switch a.State {
	case answer.Whole:
		o.whole++
	case answer.Refused:
		o.refused++
	default:
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
