package main

import (
	"testing"

	"github.com/matryer/is"

	"gooseberrypin.example/scenario/fleet"
	"gooseberrypin.example/standin/partner"
)

func TestTallyGenerations(t *testing.T) {
	answered := partner.Answered{Trace: partner.Trace{Answers: 1}}
	tests := map[string]struct {
		outcomes []partner.Outcome
		want     string
		wantErr  bool
	}{
		"answered":                         {outcomes: []partner.Outcome{answered}, want: "demo: answered=1 refused=0 duplicates=0 cut=0"},
		"refused and answered by a resend": {outcomes: []partner.Outcome{partner.Refused{}, answered}, want: "demo: answered=1 refused=0 duplicates=0 cut=0"},
		"answered twice": {
			outcomes: []partner.Outcome{answered, answered},
			want:     "demo: answered=1 refused=0 duplicates=1 cut=0", wantErr: true,
		},
		"two answers to one request": {
			outcomes: []partner.Outcome{partner.Answered{Trace: partner.Trace{Answers: 2}}},
			want:     "demo: answered=1 refused=0 duplicates=1 cut=0", wantErr: true,
		},
		"refused":    {outcomes: []partner.Outcome{partner.Refused{}}, want: "demo: answered=0 refused=1 duplicates=0 cut=0", wantErr: true},
		"incomplete": {outcomes: []partner.Outcome{partner.Failed{}}, want: "demo: answered=0 refused=0 duplicates=0 cut=1", wantErr: true},
		"incomplete and answered by a resend": {
			outcomes: []partner.Outcome{partner.Failed{}, answered},
			want:     "demo: answered=1 refused=0 duplicates=0 cut=1", wantErr: true,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tally := newTally()
			for _, o := range test.outcomes {
				tally.add(partner.Generation{Key: "key"}, o)
			}
			is.Equal(tally.String(), test.want)        // last line
			is.Equal(tally.err() != nil, test.wantErr) // error
		})
	}
}

func TestTallyBookings(t *testing.T) {
	tests := map[string]struct {
		runs    int
		want    int
		wantErr bool
	}{
		"ran once":  {runs: 1},
		"ran twice": {runs: 2, want: 1},
		"never ran": {wantErr: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tally := newTally()
			booking := partner.Call{Key: "key", Service: fleet.BookingService}
			tally.add(booking, partner.Answered{Trace: partner.Trace{Answers: 1}})
			tally.add(booking, partner.Answered{Trace: partner.Trace{Answers: 1, Replayed: 1}})
			err := tally.addServiceRuns(map[string]int{"key": test.runs})
			is.Equal(err != nil, test.wantErr)    // an answer without a run
			is.Equal(tally.duplicates, test.want) // runs above one
		})
	}
}
