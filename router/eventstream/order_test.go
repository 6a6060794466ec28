package eventstream_test

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"gooseberrypin.example/router/eventstream"
)

// forwarded returns what a caller receives of answers that continue one another: the IDs, and at the end of an answer a
// semicolon, or what is wrong with it.
func forwarded(o *eventstream.Order, answers ...[]int64) string {
	var out strings.Builder
	for _, ids := range answers {
		out.WriteString(forwardAnswer(o, ids) + "; ")
	}
	return strings.TrimSuffix(out.String(), "; ")
}

func forwardAnswer(o *eventstream.Order, ids []int64) string {
	var accepted, held []string
	o.BeginAnswer()
	for _, id := range ids {
		switch o.Accept(id) {
		case eventstream.Next:
			accepted = append(append(accepted, held...), fmt.Sprint(id))
			held = nil
		case eventstream.Open:
			held = append(held, fmt.Sprint(id))
		case eventstream.AfterGap:
			return strings.Join(append(accepted, "gap"), " ")
		case eventstream.OutOfOrder:
			return strings.Join(append(accepted, "disorder"), " ")
		}
	}
	if o.IsOpen() {
		accepted = append(accepted, "gap")
	}
	return strings.Join(accepted, " ")
}

// IDs need only increase, so an increase by more than one is no proof that an event is missing. What can be known: an answer
// that has shown three equal increments numbers its events regularly; a continuation must go on as the stream did before; and
// without any increment to compare with, IDs count events or tokens, or else the next increment decides. Guards against legal
// streams that are cut off, and against events that are missing, repeated or out of order, as the names say.
func TestOrder(t *testing.T) {
	const tokensPerEvent = 12
	tests := map[string]struct {
		// resumedAfter is the ID that the caller names as its last one; 0 for none.
		resumedAfter int64
		answers      [][]int64
		want         string
	}{
		"legal: consecutive": {0, [][]int64{{1, 2, 3, 4, 5, 6}}, "1 2 3 4 5 6"},
		"legal: by two":      {0, [][]int64{{1, 3, 5, 7, 9, 11}}, "1 3 5 7 9 11"},
		"legal: by tokens, the last event is shorter": {0, [][]int64{{12, 24, 36, 48, 60, 65}}, "12 24 36 48 60 65"},
		"legal: irregular":                            {0, [][]int64{{3, 4, 9, 11, 30, 31, 500}}, "3 4 9 11 30 31 500"},
		"legal: irregular after two equal increments": {0, [][]int64{{1, 2, 3, 7, 8}}, "1 2 3 7 8"},
		"legal: largest numbers":                      {0, [][]int64{{math.MinInt64, 0, math.MaxInt64}}, fmt.Sprint(math.MinInt64, " ", 0, " ", math.MaxInt64)},
		"missing within consecutive events":           {0, [][]int64{{1, 2, 3, 4, 6}}, "1 2 3 4 gap"},
		"missing within events by two":                {0, [][]int64{{1, 3, 5, 7, 11}}, "1 3 5 7 gap"},
		"missing within events by tokens":             {0, [][]int64{{12, 24, 36, 48, 72}}, "12 24 36 48 gap"},
		"repeated within an answer":                   {0, [][]int64{{1, 2, 2, 3, 1, 2, 3, 4}}, "1 2 3 4"},
		"repeated, by two":                            {0, [][]int64{{1, 3, 3, 5, 1, 7}}, "1 3 5 7"},
		"repeated, irregular":                         {0, [][]int64{{1, 4, 6, 6, 11}}, "1 4 6 11"},
		"out of order, regular":                       {0, [][]int64{{1, 3, 5, 4}}, "1 3 5 disorder"},
		"out of order at once":                        {0, [][]int64{{1, 3, 2}}, "1 3 disorder"},
		"out of order, irregular":                     {0, [][]int64{{1, 4, 9, 6}}, "1 4 9 disorder"},
		"out of order before the first":               {0, [][]int64{{5, 3}}, "5 disorder"},

		"legal: continued":                          {0, [][]int64{{1, 2}, {3, 4}}, "1 2; 3 4"},
		"legal: continued, by two":                  {0, [][]int64{{1, 3}, {5, 7}}, "1 3; 5 7"},
		"legal: continued, irregular":               {0, [][]int64{{1, 4, 9}, {12, 13}}, "1 4 9; 12 13"},
		"legal: continued after one event":          {0, [][]int64{{1}, {2, 3}}, "1; 2 3"},
		"legal: continued after one event, tokens":  {0, [][]int64{{12}, {24, 36}}, "12; 24 36"},
		"legal: continued after one event, by five": {0, [][]int64{{5}, {10, 15}}, "5; 10 15"},
		"legal: continued twice":                    {0, [][]int64{{1}, {2}, {3}}, "1; 2; 3"},
		"continued with a repetition":               {0, [][]int64{{1, 2}, {2, 3}}, "1 2; 3"},
		"continued from the beginning":              {0, [][]int64{{1, 3, 5}, {1, 3, 5, 7}}, "1 3 5; 7"},
		"continued from the beginning, irregular":   {0, [][]int64{{1, 4, 9}, {1, 4, 9, 10}}, "1 4 9; 10"},
		"missing where it continues":                {0, [][]int64{{1, 2}, {4}}, "1 2; gap"},
		"missing where it continues, more follow":   {0, [][]int64{{1, 2}, {4, 6, 8}}, "1 2; gap"},
		"missing where it continues, by two":        {0, [][]int64{{1, 3}, {7}}, "1 3; gap"},
		"missing where it continues, irregular":     {0, [][]int64{{1, 4, 9}, {15}}, "1 4 9; gap"},
		"missing after one event":                   {0, [][]int64{{1}, {4, 5, 6}}, "1; gap"},
		"missing after one event, none follows":     {0, [][]int64{{1}, {4}}, "1; gap"},
		"missing, then another answer has it":       {0, [][]int64{{1}, {4, 5}, {2, 3}}, "1; gap; 2 3"},
		"other numbers in the repetition":           {0, [][]int64{{1, 3, 5}, {2, 4, 6}}, "1 3 5; disorder"},
		"a repetition without the last event":       {0, [][]int64{{1, 3, 5}, {1, 3, 9}}, "1 3 5; gap"},
		"out of order where it continues":           {0, [][]int64{{1, 2}, {3, 5, 4}}, "1 2; 3 5 disorder"},

		"legal: resumed":                        {20, [][]int64{{21, 22}}, "21 22"},
		"legal: resumed, tokens":                {24, [][]int64{{36, 48}}, "36 48"},
		"legal: resumed, by five":               {20, [][]int64{{25, 30, 35}}, "25 30 35"},
		"legal: resumed, irregular":             {20, [][]int64{{23, 29, 30}}, "23 29 30"},
		"resumed, with a repetition":            {20, [][]int64{{18, 20, 21, 20, 22}}, "21 22"},
		"resumed, missing at first":             {20, [][]int64{{23, 24, 25}}, "gap"},
		"resumed, missing at first, by five":    {20, [][]int64{{30, 35}}, "gap"},
		"resumed, out of order at first":        {20, [][]int64{{24, 23}}, "disorder"},
		"resumed, out of order after one event": {20, [][]int64{{21, 24, 22}}, "21 24 disorder"},
		"resumed, the second event twice":       {20, [][]int64{{25, 25, 30}}, "25 30"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			o := eventstream.NewOrder(tokensPerEvent)
			if tt.resumedAfter != 0 {
				o.ResumeAfter(tt.resumedAfter)
			}
			is.New(t).Equal(forwarded(o, tt.answers...), tt.want)
		})
	}
}

// Guards against events that are lost, forwarded twice or forwarded in another order, whatever the increment, and wherever
// an answer ends and the next one begins: a legal stream arrives whole, and a regular one without one of its events does not
// arrive as if it were whole.
func TestOrderOfContinuedStreams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		increment := rapid.Int64Range(1, 40).Draw(t, "increment")
		all := make([]int64, rapid.IntRange(6, 30).Draw(t, "events"))
		for n := range all {
			all[n] = int64(n+1) * increment
		}
		// The stream breaks off after some events, and the next answer repeats some of them.
		cut := rapid.IntRange(1, len(all)-2).Draw(t, "cut")
		from := rapid.IntRange(0, cut).Draw(t, "from")
		received := strings.Fields(strings.ReplaceAll(forwarded(eventstream.NewOrder(int(increment)), all[:cut], all[from:]), ";", ""))
		if got, want := strings.Join(received, " "), strings.Trim(fmt.Sprint(all), "[]"); got != want {
			t.Fatalf("received %s, want %s", got, want)
		}
		// Three equal increments make the numbering regular. Nothing shows that the last event is missing.
		missing := rapid.IntRange(4, len(all)-2).Draw(t, "missing")
		without := append(append([]int64{}, all[:missing]...), all[missing+1:]...)
		if got := forwarded(eventstream.NewOrder(int(increment)), without); !strings.HasSuffix(got, "gap") {
			t.Fatalf("received %s without an event", got)
		}
		if missing >= cut {
			missing = cut
		}
		if got := forwarded(eventstream.NewOrder(int(increment)), all[:max(2, missing)], all[max(2, missing)+1:]); !strings.HasSuffix(got, "gap") {
			t.Fatalf("received %s without the first event of the next answer", got)
		}
	})
}
