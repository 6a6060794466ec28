package main

import (
	"testing"

	"github.com/matryer/is"

	"gooseberrypin.example/scenario/answer"
)

func TestTally(t *testing.T) {
	whole := answer.Answer{State: answer.Whole}
	refused := answer.Answer{State: answer.Refused}
	cut := answer.Answer{State: answer.Cut}
	tests := map[string]struct {
		answers []answer.Answer
		want    string
		faulty  bool
	}{
		"answered":                {answers: []answer.Answer{whole}, want: "demo: answered=1 refused=0 duplicates=0 cut=0"},
		"superseded by a resend":  {answers: []answer.Answer{refused, whole}, want: "demo: answered=1 refused=0 duplicates=0 cut=0"},
		"answered twice":          {answers: []answer.Answer{whole, whole}, want: "demo: answered=1 refused=0 duplicates=1 cut=0", faulty: true},
		"refused":                 {answers: []answer.Answer{refused}, want: "demo: answered=0 refused=1 duplicates=0 cut=0", faulty: true},
		"cut and never answered":  {answers: []answer.Answer{cut}, want: "demo: answered=0 refused=0 duplicates=0 cut=1", faulty: true},
		"cut and answered by key": {answers: []answer.Answer{cut, whole}, want: "demo: answered=1 refused=0 duplicates=0 cut=1", faulty: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tally := newTally()
			for _, a := range test.answers {
				tally.add("key", a)
			}
			is.Equal(tally.String(), test.want)         // last line
			is.Equal(tally.fault() != nil, test.faulty) // exit
		})
	}
}
