package gateway_test

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gooseberrypin.example/router/gateway"
	"gooseberrypin.example/router/ingress"
)

// A stream broke off and the next engine answers with something else. Nothing of that reaches the caller, and the stream
// does not end as if it were complete. Events without a number do not reach the caller twice.
func TestOtherAnswersDoNotEndUpInAStream(t *testing.T) {
	const head = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 5\r\n\r\nerror"
	const events = "text/event-stream"
	broken := step{events: sequence(1, 2), pause: time.Millisecond, err: errBroken, contentType: events}
	cut := step{body: "id: 1\ndata: x\n\nid: 2\nda", contentType: events}
	tests := map[string]struct {
		first, next step
		want        string
		// body is what the caller has received.
		body string
	}{
		"an error":                                      {broken, step{status: 500, body: head}, "upstream_lost/yes", "id: 1\ndata: x\n\nid: 2\ndata: x\n\n"},
		"an error that looks like an event":             {broken, step{status: 502, body: "id: 3\ndata: error\n\n", contentType: events}, "upstream_lost/yes", "id: 1\ndata: x\n\nid: 2\ndata: x\n\n"},
		"a success that is no stream":                   {broken, step{body: "id: 3\ndata: error\n\n", contentType: "text/plain"}, "upstream_lost/yes", "id: 1\ndata: x\n\nid: 2\ndata: x\n\n"},
		"a success of another type, no events":          {broken, step{body: `{"error":"overloaded"}`, contentType: "application/json"}, "upstream_lost/yes", "id: 1\ndata: x\n\nid: 2\ndata: x\n\n"},
		"a head in the body":                            {broken, step{body: head + "\n\n", contentType: events}, "upstream_lost/yes", "id: 1\ndata: x\n\nid: 2\ndata: x\n\n"},
		"text without a number":                         {broken, step{body: "data: error\n\n", contentType: events}, "upstream_lost/yes", "id: 1\ndata: x\n\nid: 2\ndata: x\n\n"},
		"an empty stream, all events are there":         {broken, step{body: "", contentType: events}, "answered", "id: 1\ndata: x\n\nid: 2\ndata: x\n\n"},
		"an empty stream that ends with its connection": {broken, step{body: "", contentType: events, closeDelimited: true}, "upstream_lost/yes", "id: 1\ndata: x\n\nid: 2\ndata: x\n\n"},
		"a comment alone":                               {broken, step{body: ": wait\n\n", contentType: events}, "upstream_lost/yes", "id: 1\ndata: x\n\nid: 2\ndata: x\n\n"},
		"a comment, then the rest":                      {broken, step{body: ": wait\n\nid: 3\ndata: x\n\n", contentType: events + "; charset=utf-8"}, "answered", "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n"},
		"comments without end":                          {broken, step{body: strings.Repeat(": wait\n\n", 1000) + "id: 3\ndata: x\n\n", contentType: events}, "upstream_lost/yes", "id: 1\ndata: x\n\nid: 2\ndata: x\n\n"},
		"unnumbered events between numbered ones":       {step{body: "id: 1\ndata: x\n\ndata: y\n\nid: 2\ndata: x\n\nid: 3\nda", contentType: events}, step{body: "id: 1\ndata: x\n\ndata: y\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\ndata: y\n\n", contentType: events}, "answered", "id: 1\ndata: x\n\ndata: y\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\ndata: y\n\n"},
		"unnumbered events at the end":                  {step{body: "id: 1\ndata: x\n\n: wait\n\nid: 2\nda", contentType: events}, step{body: "id: 1\ndata: x\n\n: wait\n\nid: 2\ndata: x\n\n", contentType: events}, "answered", "id: 1\ndata: x\n\n: wait\n\nid: 2\ndata: x\n\n"},
		"an end inside an event":                        {cut, cut, "upstream_lost/yes", "id: 1\ndata: x\n\n"},
		"an end inside an event, then all":              {cut, step{body: "id: 2\ndata: x\n\n", contentType: events}, "answered", "id: 1\ndata: x\n\nid: 2\ndata: x\n\n"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := &fakeUpstreams{}
				g := newGateway(t, f, ingress.Streaming{Resumable: true, MaxGap: 50 * time.Millisecond}, gateway.WithRetryRatio(0.5))
				earnRetries(t, g, 10)
				f.reset(inSendOrder(bothDecodeEngines(tt.first, tt.next)))
				a := &recordedReply{}
				is.Equal(outcome(g.Serve(t.Context(), request(), a)), tt.want)
				is.Equal(a.String(), tt.body)
				is.Equal(a.status, http.StatusOK)
				synctest.Wait()
			})
		})
	}
}

// A stream that may not be resumed and ends inside an event is cut for the caller too.
func TestStreamThatEndsInsideAnEventIsNotComplete(t *testing.T) {
	for name, body := range map[string]string{"inside a line": "id: 1\ndata: x\n\nid: 2\nda", "before the empty line": "id: 1\ndata: x\n\nid: 2\ndata: x\n"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := &fakeUpstreams{}
				g := newGateway(t, f, ingress.Streaming{MaxGap: 50 * time.Millisecond})
				f.reset(inSendOrder(bothDecodeEngines(step{body: body})))
				a := &recordedReply{}
				is.Equal(outcome(g.Serve(t.Context(), request(), a)), "upstream_lost/yes")
				is.Equal(a.String(), "id: 1\ndata: x\n\n")
				synctest.Wait()
			})
		})
	}
}

// Guards against streams of sound engines that are broken off for the steps between the IDs of their events, which need only
// increase; and against events that reach the caller twice, out of order or from another run. eventstream.TestOrder has all cases.
func TestStreamsWhoseIDsIncreaseByMoreThanOne(t *testing.T) {
	const pause = 5 * time.Millisecond
	whole := func(ids ...int) step { return step{events: ids, pause: pause} }
	broken := func(ids ...int) step { return step{events: ids, pause: pause, err: errBroken} }
	tests := map[string]struct {
		resumable   bool
		lastEventID string
		steps       map[string][]step
		want        string
		events      string
	}{
		"by two":                          {false, "", bothDecodeEngines(whole(1, 3, 5, 7)), "answered", "1 3 5 7"},
		"by tokens, the last one shorter": {false, "", bothDecodeEngines(whole(12, 24, 36, 48, 53)), "answered", "12 24 36 48 53"},
		"by tokens, some longer":          {false, "", bothDecodeEngines(whole(12, 24, 36, 48, 72, 84, 120, 137)), "answered", "12 24 36 48 72 84 120 137"},
		"irregular":                       {false, "", bothDecodeEngines(whole(4, 5, 9, 20)), "answered", "4 5 9 20"},
		"consecutive, then beyond":        {false, "", bothDecodeEngines(whole(1, 2, 3, 4, 6, 7)), "answered", "1 2 3 4 6 7"},
		"by two, then beyond":             {false, "", bothDecodeEngines(whole(2, 4, 6, 8, 12)), "answered", "2 4 6 8 12"},
		"by two, continued":               {true, "", bothDecodeEngines(broken(1, 3), whole(5, 7)), "answered", "1 3 5 7"},
		"by tokens, one event, continued": {true, "", bothDecodeEngines(broken(12), whole(24, 36)), "answered", "12 24 36"},
		"by five, one event, continued":   {true, "", bothDecodeEngines(broken(5), whole(10, 15)), "answered", "5 10 15"},
		"by two, continued beyond":        {true, "", bothDecodeEngines(broken(1, 3), whole(7, 9)), "answered", "1 3 7 9"},
		"one event, continued beyond":     {true, "", bothDecodeEngines(broken(1), whole(3, 4)), "answered", "1 3 4"},
		"one event, then a last one":      {true, "", bothDecodeEngines(broken(12), whole(48)), "answered", "12 48"},
		"by two, event repeated":          {true, "", bothDecodeEngines(broken(1, 3), whole(3, 5)), "answered", "1 3 5"},
		"started again":                   {true, "", bothDecodeEngines(broken(12, 24, 36), whole(12, 36, 72)), "answered", "12 24 36 72"},
		"resumed by the caller":           {true, "20", bothDecodeEngines(whole(44, 56, 68)), "answered", "44 56 68"},
		"resumed by the caller, one":      {true, "20", bothDecodeEngines(whole(44)), "answered", "44"},
		"event twice":                     {false, "", bothDecodeEngines(whole(1, 3, 3, 5)), "answered", "1 3 5"},
		"out of order":                    {false, "", bothDecodeEngines(whole(1, 3, 2, 4)), "upstream_lost/yes", "1 3"},
		"starts again within an answer":   {false, "", bothDecodeEngines(whole(1, 2, 3, 1, 2, 3, 4)), "upstream_lost/yes", "1 2 3"},
		"another run":                     {true, "", bothDecodeEngines(broken(12, 24, 36), whole(12, 48)), "upstream_lost/yes", "12 24 36"},
		"ends before the last event":      {true, "", bothDecodeEngines(broken(12, 24, 36), whole(12, 24)), "upstream_lost/yes", "12 24 36"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := &fakeUpstreams{}
				g := newGateway(t, f, ingress.Streaming{Resumable: tt.resumable, MaxGap: 50 * time.Millisecond}, gateway.WithRetryRatio(0.5))
				earnRetries(t, g, 10)
				f.reset(inSendOrder(tt.steps))
				a, r := &recordedReply{}, request()
				r.LastEventID = tt.lastEventID
				is.Equal(outcome(g.Serve(t.Context(), r, a)), tt.want)
				is.Equal(receivedIDs(a), tt.events)
				synctest.Wait()
			})
		})
	}
}

// Guards against the answer of an engine that has terminated before its first event and that callers receive as complete.
func TestStreamWithoutEventsIsCompleteOnlyIfItsEndIsMarked(t *testing.T) {
	for want, closeDelimited := range map[string]bool{"answered": false, "upstream_lost/yes": true} {
		t.Run(want, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := &fakeUpstreams{}
				g := newGateway(t, f, ingress.Streaming{MaxGap: 50 * time.Millisecond})
				f.reset(bothDecodeEngines(step{body: "", closeDelimited: closeDelimited}))
				a := &recordedReply{}
				is.Equal(outcome(g.Serve(t.Context(), request(), a)), want)
				is.Equal(a.String(), "")
				synctest.Wait()
			})
		})
	}
}
