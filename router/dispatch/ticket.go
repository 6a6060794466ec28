package dispatch

import (
	"slices"
	"time"

	"gooseberrypin.example/router/prefill"
)

type (
	// Ticket is an admitted request until it ends.
	Ticket struct {
		// Choice is the prefill upstream.
		Choice prefill.Choice
		// Deadline is when the first token is due.
		Deadline time.Time
		// Late requests were admitted only because they displace nobody.
		Late bool
		// KVExpires is set once the prefill is done: only the transfer must still be in time.
		KVExpires time.Time

		request  Request
		avoid    []string
		decode   string
		reserved time.Time
		pending  bool
	}

	// Assignment gives a waiting ticket a decode upstream, or tells that it waited too long.
	Assignment struct {
		Ticket   *Ticket
		Upstream string
		TooLate  bool
	}
)

// Enqueue puts a ticket into the line for decode memory, avoiding upstreams that refused it.
func (d *Dispatcher) Enqueue(t *Ticket, avoid []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	t.avoid = avoid
	if !slices.Contains(d.line, t) {
		d.line = append(d.line, t)
	}
}

// Assign gives decode upstreams to the tickets in line, the most urgent first. Those
// that no upstream has room for stay in line.
func (d *Dispatcher) Assign(p Pools, now time.Time) []Assignment {
	d.mu.Lock()
	defer d.mu.Unlock()
	slices.SortStableFunc(d.line, moreUrgent)
	var assigned []Assignment
	d.line = slices.DeleteFunc(d.line, func(t *Ticket) bool {
		if d.TooLate(t, now) {
			assigned = append(assigned, Assignment{Ticket: t, TooLate: true})
			return true
		}
		name, found := d.decodes.Choose(d.pieces(t.request.Prompt.Tokens), p.Decodes, t.avoid, now)
		if found {
			assigned = append(assigned, Assignment{Ticket: t, Upstream: name})
		}
		return found
	})
	return assigned
}

// Waiting returns the number of tickets in line.
func (d *Dispatcher) Waiting() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.line)
}

// Reserved notes the decode upstream that granted a ticket its memory.
func (d *Dispatcher) Reserved(t *Ticket, upstream string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.settle(t)
	t.decode = upstream
	t.reserved = now
}

// Prefilled notes that the prefill upstream has the prompt in its cache.
func (d *Dispatcher) Prefilled(t *Ticket) {
	d.prefills.ObserveCache(t.Choice.Upstream, t.request.Prompt.Blocks)
}

// Withdraw ends a ticket whose prefill does not run.
func (d *Dispatcher) Withdraw(t *Ticket, now time.Time) {
	d.prefills.Withdraw(t.request.Prompt, t.Choice)
	d.End(t, 0, now)
}

// Finish ends a ticket with a whole answer of a number of tokens.
func (d *Dispatcher) Finish(t *Ticket, output int, now time.Time) {
	d.mu.Lock()
	d.output += outputWeight * (float64(output) - d.output)
	d.mu.Unlock()
	d.decodes.RecordStreamDuration(now.Sub(t.reserved))
	d.End(t, output, now)
}

// End ends a ticket; its decode memory counts as free.
func (d *Dispatcher) End(t *Ticket, generated int, now time.Time) {
	d.mu.Lock()
	d.settle(t)
	d.line = slices.DeleteFunc(d.line, func(other *Ticket) bool { return other == t })
	name := t.decode
	t.decode = ""
	d.mu.Unlock()
	if name != "" {
		d.decodes.Release(name, d.pieces(t.request.Prompt.Tokens+generated), now)
	}
}

// settle ends the wait of a ticket. The lock must be held.
func (d *Dispatcher) settle(t *Ticket) {
	if t.pending {
		t.pending = false
		d.pending--
	}
}

// TooLate tells whether a prefill that starts now misses the deadline, or a transfer the
// end of the KV cache.
func (d *Dispatcher) TooLate(t *Ticket, now time.Time) bool {
	if !t.KVExpires.IsZero() {
		return now.Add(d.TransferTime(t.request.Prompt.Tokens)).After(t.KVExpires)
	}
	left := d.TransferTime(t.request.Prompt.Tokens) + d.firstStep() + d.overhead/2
	left += t.Choice.Predicted - t.Choice.Delay
	return now.Add(left).After(t.Deadline)
}

func (d *Dispatcher) pieces(tokens int) int {
	return (tokens + d.pieceTokens) / d.pieceTokens
}

func moreUrgent(a, b *Ticket) int {
	if a.Late != b.Late {
		if b.Late {
			return -1
		}
		return 1
	}
	return a.Deadline.Compare(b.Deadline)
}
