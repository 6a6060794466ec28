package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrypin.example/router/decode"
	"gooseberrypin.example/router/dispatch"
	"gooseberrypin.example/router/prefill"
)

const (
	limit = 34
)

var (
	start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	pools = dispatch.Pools{Prefills: []string{"prefill"}, Decodes: []string{"decode"}, SharingEntries: 1}
)

func newDispatcher(running int, queue time.Duration) *dispatch.Dispatcher {
	d := dispatch.New(rand.New(rand.NewPCG(1, 2)))
	d.ObservePrefill(prefill.Hint{Upstream: "prefill", QueueDelay: queue, Accepting: true, At: start})
	observe(d, running, start)
	return d
}

func observe(d *dispatch.Dispatcher, running int, now time.Time) {
	d.ObserveDecode(decode.Hint{
		Upstream: "decode", FreePieces: 64 - running, Running: running, Limit: limit, Accepting: true, At: now,
	}, pools.Decodes)
}

func request(key string) dispatch.Request {
	return dispatch.Request{Key: key, Partner: "p", Weight: 1, Prompt: prefill.Prompt{Tokens: 1200}}
}

func TestAdmit(t *testing.T) {
	for name, test := range map[string]struct {
		running  int
		queue    time.Duration
		pending  int
		firstTry time.Duration
		admitted bool
		late     bool
	}{
		"meets the deadline":               {running: 10, admitted: true},
		"long queue, spare streams":        {running: 10, queue: 400 * time.Millisecond, admitted: true, late: true},
		"long queue, loaded":               {running: 31, queue: 400 * time.Millisecond},
		"meets the deadline, nearly full":  {running: 32, admitted: true},
		"full, first in the queue":         {running: limit, admitted: true},
		"full, second in the queue":        {running: limit, pending: 1},
		"late resend, spare streams":       {running: 10, firstTry: time.Second, admitted: true, late: true},
		"late resend, loaded":              {running: 31, firstTry: time.Second},
		"early resend, nearly full":        {running: 32, firstTry: 50 * time.Millisecond, admitted: true},
		"resend too close to the deadline": {running: 32, firstTry: 330 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newDispatcher(limit, 400*time.Millisecond)
			if test.firstTry > 0 {
				_, refused := d.Admit(request("key"), pools, start)
				is.True(refused != nil) // the first attempt finds a full engine and a long queue
			}
			now := start.Add(test.firstTry + time.Millisecond)
			d.ObservePrefill(prefill.Hint{Upstream: "prefill", QueueDelay: test.queue, Accepting: true, At: now})
			observe(d, test.running, now)
			for i := range test.pending {
				_, refused := d.Admit(request(fmt.Sprint(i)), pools, now)
				is.Equal(refused, nil)
			}
			ticket, refused := d.Admit(request("key"), pools, now)
			is.Equal(refused == nil, test.admitted)
			if refused != nil {
				is.True(refused.RetryAfter > 0)
				return
			}
			is.Equal(ticket.Late, test.late)
		})
	}
}

// TestAssign checks that waiting tickets are assigned upstreams by urgency, and that tickets that would miss their
// deadline are removed.
func TestAssign(t *testing.T) {
	is := is.New(t)
	d := newDispatcher(10, 0)
	first, _ := d.Admit(request("first"), pools, start)
	second, _ := d.Admit(request("second"), pools, start.Add(100*time.Millisecond))
	prefilled, _ := d.Admit(request("prefilled"), pools, start.Add(100*time.Millisecond))
	prefilled.KVExpires = start.Add(900 * time.Millisecond)
	for _, ticket := range []*dispatch.Ticket{second, first, prefilled} {
		d.Enqueue(ticket, nil)
	}
	now := start.Add(350 * time.Millisecond)
	observe(d, limit-1, now)
	assignments := d.Assign(pools, now)
	is.Equal(len(assignments), 2)
	is.True(assignments[0].Ticket == first && assignments[0].TooLate) // its prefill can no longer meet the deadline
	is.Equal(assignments[1].Upstream, "decode")                       // one stream is free
	is.True(assignments[1].Ticket == second)
	is.Equal(d.Waiting(), 1)
	d.Reserved(second, "decode", now)
	d.End(second, 0, now)
	assignments = d.Assign(pools, now)
	is.Equal(len(assignments), 1) // after the prefill, KVExpires applies in place of the deadline
	is.True(assignments[0].Ticket == prefilled && !assignments[0].TooLate)
}

// A prefill is refused after decode memory was reserved, and the next prefill of the request uses that memory: its stream is
// counted once, and freed once.
func TestInheritedReservationIsCountedOnce(t *testing.T) {
	is := is.New(t)
	decodes := decode.NewChooser(rand.New(rand.NewPCG(1, 2)))
	d := dispatch.New(rand.New(rand.NewPCG(1, 2)), dispatch.WithChoosers(prefill.NewChooser(rand.New(rand.NewPCG(1, 2))), decodes))
	d.ObservePrefill(prefill.Hint{Upstream: "prefill", Accepting: true, At: start})
	observe(d, 10, start)
	now := start.Add(time.Millisecond)
	running := func() int {
		n, _ := decodes.Load(pools.Decodes)
		return n
	}
	first, refused := d.Admit(request("key"), pools, now)
	is.Equal(refused, nil)
	d.Enqueue(first, nil)
	is.Equal(len(d.Assign(pools, now)), 1)
	d.Reserved(first, "decode", now)
	is.Equal(running(), 11)
	d.End(first, 0, now)
	second, refused := d.Admit(request("key"), pools, now)
	is.Equal(refused, nil)
	d.Reserved(second, "decode", now)
	is.Equal(running(), 11)
	d.End(second, 0, now)
	is.Equal(running(), 10)
}
