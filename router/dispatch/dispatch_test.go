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
		"in time":                     {running: 10, admitted: true},
		"long queue, spare streams":   {running: 10, queue: 400 * time.Millisecond, admitted: true, late: true},
		"long queue, loaded":          {running: 31, queue: 400 * time.Millisecond},
		"in time, nearly full":        {running: 32, admitted: true},
		"full, next in line":          {running: limit, admitted: true},
		"full, behind another":        {running: limit, pending: 1},
		"late resend, spare streams":  {running: 10, firstTry: time.Second, admitted: true, late: true},
		"late resend, loaded":         {running: 31, firstTry: time.Second},
		"early resend, nearly full":   {running: 32, firstTry: 50 * time.Millisecond, admitted: true},
		"resend too close to the end": {running: 32, firstTry: 330 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newDispatcher(limit, 400*time.Millisecond)
			if test.firstTry > 0 {
				_, why := d.Admit(request("key"), pools, start)
				is.True(why != nil) // the first try finds a full engine and a long queue
			}
			now := start.Add(test.firstTry + time.Millisecond)
			d.ObservePrefill(prefill.Hint{Upstream: "prefill", QueueDelay: test.queue, Accepting: true, At: now})
			observe(d, test.running, now)
			for i := range test.pending {
				_, why := d.Admit(request(fmt.Sprint(i)), pools, now)
				is.Equal(why, nil)
			}
			ticket, why := d.Admit(request("key"), pools, now)
			is.Equal(why == nil, test.admitted)
			if why != nil {
				is.True(why.RetryAfter > 0)
				return
			}
			is.Equal(ticket.Late, test.late)
		})
	}
}

// TestAssign checks that waiting tickets get memory by urgency and those too late get none.
func TestAssign(t *testing.T) {
	is := is.New(t)
	d := newDispatcher(10, 0)
	first, _ := d.Admit(request("first"), pools, start)
	second, _ := d.Admit(request("second"), pools, start.Add(100*time.Millisecond))
	done, _ := d.Admit(request("done"), pools, start.Add(100*time.Millisecond))
	done.KVExpires = start.Add(900 * time.Millisecond)
	for _, ticket := range []*dispatch.Ticket{second, first, done} {
		d.Enqueue(ticket, nil)
	}
	now := start.Add(350 * time.Millisecond)
	observe(d, limit-1, now)
	given := d.Assign(pools, now)
	is.Equal(len(given), 2)
	is.True(given[0].Ticket == first && given[0].TooLate) // its prefill can't be in time any more
	is.Equal(given[1].Upstream, "decode")                 // one stream is free
	is.True(given[1].Ticket == second)
	is.Equal(d.Waiting(), 1)
	d.Reserved(second, "decode", now)
	d.End(second, 0, now)
	given = d.Assign(pools, now)
	is.Equal(len(given), 1) // the KV cache lives on, whatever the first token's deadline
	is.True(given[0].Ticket == done && !given[0].TooLate)
}
