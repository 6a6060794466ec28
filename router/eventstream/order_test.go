package eventstream_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"gooseberrypin.example/router/eventstream"
)

func parse(id string) eventstream.ID {
	parsed, ok := eventstream.ParseID(id)
	if !ok {
		panic("no ID: " + id)
	}
	return parsed
}

// forwarded returns what a caller receives of answers that continue one another: the IDs, and at the end of an answer a
// semicolon, or what is wrong with it.
func forwarded(o *eventstream.Order, answers ...string) string {
	var out []string
	for _, ids := range answers {
		out = append(out, forwardAnswer(o, ids))
	}
	return strings.Join(out, "; ")
}

func forwardAnswer(o *eventstream.Order, ids string) string {
	var accepted []string
	o.BeginAnswer()
	for id := range strings.FieldsSeq(ids) {
		switch o.Accept(parse(id)) {
		case eventstream.Next:
			accepted = append(accepted, id)
		case eventstream.OutOfOrder:
			return strings.Join(append(accepted, "disorder"), " ")
		}
	}
	if o.EndsEarly() {
		accepted = append(accepted, "early")
	}
	return strings.Join(accepted, " ")
}

// Guards against streams of sound servers that are broken off, or whose events wait for later ones, for the steps between their
// IDs, which need only increase; and against events that are forwarded twice, out of order, or from another run where that can be
// known.
func TestOrder(t *testing.T) {
	tests := map[string]struct {
		// resumedAfter is the ID that the caller names as its last one; empty for none.
		resumedAfter string
		answers      []string
		want         string
	}{
		"consecutive":                         {"", []string{"1 2 3 4 5 6"}, "1 2 3 4 5 6"},
		"by two":                              {"", []string{"1 3 5 7 9 11"}, "1 3 5 7 9 11"},
		"by tokens, the last event shorter":   {"", []string{"12 24 36 48 60 65"}, "12 24 36 48 60 65"},
		"by tokens, the last event longer":    {"", []string{"7 14 21 28 35 42 49 57"}, "7 14 21 28 35 42 49 57"},
		"by tokens, some events longer":       {"", []string{"12 24 36 48 72 84 120 132 137"}, "12 24 36 48 72 84 120 132 137"},
		"consecutive, then far beyond":        {"", []string{"1 2 3 4 5 6 1006 1007"}, "1 2 3 4 5 6 1006 1007"},
		"irregular":                           {"", []string{"3 4 9 11 30 31 500"}, "3 4 9 11 30 31 500"},
		"irregular after two equal steps":     {"", []string{"1 2 3 7 8"}, "1 2 3 7 8"},
		"negative":                            {"", []string{"-40 -30 -20 -10 10 20"}, "-40 -30 -20 -10 10 20"},
		"over 64 bits":                        {"", []string{"9223372036854775807 18446744073709551616 18446744073709551617"}, "9223372036854775807 18446744073709551616 18446744073709551617"},
		"repeated within an answer":           {"", []string{"1 2 2 3 3 3 4"}, "1 2 3 4"},
		"repeated, by two":                    {"", []string{"1 3 3 5 5 7"}, "1 3 5 7"},
		"repeated, irregular":                 {"", []string{"1 4 6 6 11"}, "1 4 6 11"},
		"repeated, over 64 bits":              {"", []string{"18446744073709551616 18446744073709551616"}, "18446744073709551616"},
		"starts again within an answer":       {"", []string{"1 2 3 1 2 3 4"}, "1 2 3 disorder"},
		"starts again, by two":                {"", []string{"1 3 5 1 7"}, "1 3 5 disorder"},
		"out of order, regular":               {"", []string{"1 3 5 4"}, "1 3 5 disorder"},
		"out of order at once":                {"", []string{"1 3 2"}, "1 3 disorder"},
		"out of order, irregular":             {"", []string{"1 4 9 6"}, "1 4 9 disorder"},
		"out of order before the first":       {"", []string{"5 3"}, "5 disorder"},
		"out of order, negative":              {"", []string{"-2 -1 -2"}, "-2 -1 disorder"},
		"out of order, over 64 bits":          {"", []string{"18446744073709551617 18446744073709551616"}, "18446744073709551617 disorder"},
		"out of order, of different lengths":  {"", []string{"18446744073709551616 9"}, "18446744073709551616 disorder"},
		"out of order after a repeated event": {"", []string{"1 2 2 1"}, "1 2 disorder"},

		"continued":                               {"", []string{"1 2", "3 4"}, "1 2; 3 4"},
		"continued, by two":                       {"", []string{"1 3", "5 7"}, "1 3; 5 7"},
		"continued, irregular":                    {"", []string{"1 4 9", "12 13"}, "1 4 9; 12 13"},
		"continued after one event":               {"", []string{"1", "2 3"}, "1; 2 3"},
		"continued after one event, by tokens":    {"", []string{"12", "24 36"}, "12; 24 36"},
		"continued after one event, by five":      {"", []string{"5", "10 15"}, "5; 10 15"},
		"continued twice":                         {"", []string{"1", "2", "3"}, "1; 2; 3"},
		"continued with a longer event":           {"", []string{"12 24 36 48", "72 84 120 132"}, "12 24 36 48; 72 84 120 132"},
		"continued with a longer step, irregular": {"", []string{"3 8 12 15", "26 28"}, "3 8 12 15; 26 28"},
		"one event, then a longer one":            {"", []string{"12", "48 60 72 96"}, "12; 48 60 72 96"},
		"one event, then a last one":              {"", []string{"12", "19"}, "12; 19"},
		"one event, then a last one, longer":      {"", []string{"12", "48"}, "12; 48"},
		"continued with a repetition":             {"", []string{"1 2", "2 3"}, "1 2; 3"},
		"continued with a repetition, by five":    {"", []string{"5 10", "10 10 30"}, "5 10; 30"},
		"started again":                           {"", []string{"1 3 5", "1 3 5 7"}, "1 3 5; 7"},
		"started again, irregular":                {"", []string{"1 4 9", "1 4 9 10"}, "1 4 9; 10"},
		"started again, by tokens":                {"", []string{"12 24 36 48", "12 24 36 48 72 84 120 132"}, "12 24 36 48; 72 84 120 132"},
		"started again with other events":         {"", []string{"12 24 36 48", "12 36 48 60"}, "12 24 36 48; 60"},
		"started again, and again":                {"", []string{"1 2 3", "1 2", "1 2 3 4"}, "1 2 3; early; 4"},
		"started again, nothing is missing":       {"", []string{"1 2 3", "1 2 3"}, "1 2 3; "},
		"another run":                             {"", []string{"1 3 5", "2 4 6"}, "1 3 5; disorder"},
		"another run, by tokens":                  {"", []string{"12 24 36", "12 48"}, "12 24 36; disorder"},
		"another run, the last event is missing":  {"", []string{"1 3 5", "1 3 9"}, "1 3 5; disorder"},
		"another run, over 64 bits":               {"", []string{"18446744073709551617", "18446744073709551616 18446744073709551618"}, "18446744073709551617; disorder"},
		"another run, then the stream":            {"", []string{"1 3 5", "2 6", "7 8"}, "1 3 5; disorder; 7 8"},
		"ends before the last event":              {"", []string{"1 2 3", "1 2"}, "1 2 3; early"},
		"out of order where it continues":         {"", []string{"1 2", "3 5 4"}, "1 2; 3 5 disorder"},
		"out of order in the repetition":          {"", []string{"1 2 3", "2 1 2 3 4"}, "1 2 3; disorder"},

		"resumed":                               {"20", []string{"21 22"}, "21 22"},
		"resumed, by tokens":                    {"24", []string{"36 48"}, "36 48"},
		"resumed, by five":                      {"20", []string{"25 30 35"}, "25 30 35"},
		"resumed, irregular":                    {"20", []string{"23 29 30"}, "23 29 30"},
		"resumed, a longer step first":          {"20", []string{"44 56 68 104"}, "44 56 68 104"},
		"resumed, one event":                    {"20", []string{"44"}, "44"},
		"resumed, a longer step later":          {"20", []string{"25 34 36 66"}, "25 34 36 66"},
		"resumed, over 64 bits":                 {"18446744073709551616", []string{"18446744073709551616 18446744073709551617"}, "18446744073709551617"},
		"resumed, with a repetition":            {"20", []string{"18 20 21 22"}, "21 22"},
		"resumed, the caller's ID is of no run": {"20", []string{"12 24 36"}, "24 36"},
		"resumed, before the caller's ID":       {"20", []string{"12 18"}, ""},
		"resumed, continued":                    {"20", []string{"21 22", "23"}, "21 22; 23"},
		"resumed, started again":                {"20", []string{"21 22", "19 20 21 22 40"}, "21 22; 40"},
		"resumed, another run":                  {"20", []string{"21 23", "22 24"}, "21 23; disorder"},
		"resumed, starts again":                 {"20", []string{"18 20 21 20 22"}, "21 disorder"},
		"resumed, out of order at first":        {"20", []string{"24 23"}, "24 disorder"},
		"resumed, out of order after one event": {"20", []string{"21 24 22"}, "21 24 disorder"},
		"resumed, the second event twice":       {"20", []string{"25 25 30"}, "25 30"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			o := eventstream.NewOrder()
			if tt.resumedAfter != "" {
				o.ResumeAfter(parse(tt.resumedAfter))
			}
			is.New(t).Equal(forwarded(o, tt.answers...), tt.want)
		})
	}
}

// Guards against events of sound streams that are lost, forwarded twice or out of order, whatever their IDs are and wherever an
// answer ends and the next one begins; and against answers of another order or of another run that pass.
func TestOrderOfContinuedStreams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []string
		id := rapid.Int64Range(-1000, 1000).Draw(t, "first")
		for range rapid.IntRange(6, 30).Draw(t, "events") {
			id += rapid.Int64Range(1, 50).Draw(t, "step")
			all = append(all, fmt.Sprint(id))
		}
		join := func(ids ...[]string) string { return strings.Join(slices.Concat(ids...), " ") }
		// The stream breaks off after some events, and the next answer repeats some of them.
		cut := rapid.IntRange(1, len(all)-2).Draw(t, "cut")
		from := rapid.IntRange(0, cut).Draw(t, "from")
		if got, want := forwarded(eventstream.NewOrder(), join(all[:cut]), join(all[from:])), join(all[:cut])+"; "+join(all[cut:]); got != want {
			t.Fatalf("received %s, want %s", got, want)
		}
		twice := rapid.IntRange(0, len(all)-1).Draw(t, "twice")
		if got, want := forwarded(eventstream.NewOrder(), join(all[:twice+1], all[twice:])), join(all); got != want {
			t.Fatalf("received %s, want %s with an event twice", got, want)
		}
		earlier := rapid.IntRange(0, cut-1).Draw(t, "earlier")
		if got, want := forwarded(eventstream.NewOrder(), join(all[:cut+1], all[earlier:])), join(all[:cut+1])+" disorder"; got != want {
			t.Fatalf("received %s, want %s from an answer that starts again", got, want)
		}
		if from == cut {
			return
		}
		if got, want := forwarded(eventstream.NewOrder(), join(all[:cut+1]), join(all[from:cut], all[cut+1:])), join(all[:cut+1])+"; disorder"; got != want {
			t.Fatalf("received %s, want %s from a run without the last event", got, want)
		}
		if got, want := forwarded(eventstream.NewOrder(), join(all[:cut+1]), join(all[from:cut])), join(all[:cut+1])+"; early"; got != want {
			t.Fatalf("received %s, want %s from a run that ends before the last event", got, want)
		}
	})
}
