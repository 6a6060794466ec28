package main

import (
	"testing"

	"github.com/matryer/is"

	"gooseberrypin.example/scenario/fleet"
	"gooseberrypin.example/standin/partner"
)

func TestTallyOfGenerations(t *testing.T) {
	answered := partner.Answered{Trace: partner.Trace{Answers: 1}}
	tests := map[string]struct {
		seen   []partner.Outcome
		want   string
		faulty bool
	}{
		"answered":      {seen: []partner.Outcome{answered}, want: "demo: answered=1 refused=0 duplicates=0 cut=0"},
		"answered once": {seen: []partner.Outcome{partner.Refused{}, answered}, want: "demo: answered=1 refused=0 duplicates=0 cut=0"},
		"answered twice": {
			seen: []partner.Outcome{answered, answered},
			want: "demo: answered=1 refused=0 duplicates=1 cut=0", faulty: true,
		},
		"two answers to one request": {
			seen: []partner.Outcome{partner.Answered{Trace: partner.Trace{Answers: 2}}},
			want: "demo: answered=1 refused=0 duplicates=1 cut=0", faulty: true,
		},
		"refused": {seen: []partner.Outcome{partner.Refused{}}, want: "demo: answered=0 refused=1 duplicates=0 cut=0", faulty: true},
		"cut":     {seen: []partner.Outcome{partner.Failed{}}, want: "demo: answered=0 refused=0 duplicates=0 cut=1", faulty: true},
		"cut and answered by a resend": {
			seen: []partner.Outcome{partner.Failed{}, answered},
			want: "demo: answered=1 refused=0 duplicates=0 cut=1", faulty: true,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tally := newTally()
			for _, o := range test.seen {
				tally.add(partner.Generation{Key: "key"}, o)
			}
			is.Equal(tally.String(), test.want)         // last line
			is.Equal(tally.fault() != nil, test.faulty) // exit
		})
	}
}

func TestTallyOfBookings(t *testing.T) {
	tests := map[string]struct {
		runs   int
		want   int
		faulty bool
	}{
		"ran once":  {runs: 1},
		"ran twice": {runs: 2, want: 1},
		"never ran": {faulty: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tally := newTally()
			booking := partner.Call{Key: "key", Service: fleet.BookingService}
			tally.add(booking, partner.Answered{Trace: partner.Trace{Answers: 1}})
			tally.add(booking, partner.Answered{Trace: partner.Trace{Answers: 1, Replayed: 1}})
			err := tally.compareRuns(map[string]int{"key": test.runs})
			is.Equal(err != nil, test.faulty)     // an answer without a run
			is.Equal(tally.duplicates, test.want) // runs above one
		})
	}
}
