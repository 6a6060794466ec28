package dispatch

import (
	"slices"
	"time"

	"gooseberrypin.example/router/prefill"
)

type (
	// Ticket is an admitted request, from Admit to Finish, Withdraw or End.
	Ticket struct {
		// Choice is the prefill upstream with its predictions.
		Choice prefill.Choice
		// Deadline is when the first token is due.
		Deadline time.Time
		// Late reports whether the request is predicted to miss its latency target. Such a request is admitted only when
		// it displaces no other request.
		Late bool
		// KVExpires is when the prefill upstream drops the KV cache. It is set when the prefill is complete. From then
		// on, the transfer has to be complete before KVExpires, and Deadline no longer applies.
		KVExpires time.Time

		request Request
		avoid   []string
		// assigned is the decode upstream at which Assign has counted the stream of this ticket.
		assigned       string
		decodeUpstream string
		reservedAt     time.Time
		pending        bool
	}

	// Assignment is the end of a ticket's wait for decode memory.
	Assignment struct {
		Ticket *Ticket
		// Upstream is the decode upstream, if TooLate is false.
		Upstream string
		// TooLate reports whether the ticket can no longer meet its deadline and is removed from the queue.
		TooLate bool
	}
)

// Enqueue adds a ticket to the queue for decode memory and returns immediately. The ticket is not assigned the
// upstreams to avoid, which have refused it.
func (d *Dispatcher) Enqueue(t *Ticket, avoid []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	t.avoid = avoid
	if !slices.Contains(d.waiting, t) {
		d.waiting = append(d.waiting, t)
	}
}

// Assign assigns decode upstreams to the queued tickets, the most urgent first, and removes the tickets that are
// too late. Tickets for which no upstream has free capacity stay in the queue.
func (d *Dispatcher) Assign(p Pools, now time.Time) []Assignment {
	d.mu.Lock()
	defer d.mu.Unlock()
	slices.SortStableFunc(d.waiting, compareUrgency)
	var assigned []Assignment
	d.waiting = slices.DeleteFunc(d.waiting, func(t *Ticket) bool {
		if d.TooLate(t, now) {
			assigned = append(assigned, Assignment{Ticket: t, TooLate: true})
			return true
		}
		name, found := d.decodes.Choose(d.pieces(t.request.Prompt.Tokens), p.Decodes, t.avoid, now)
		if found {
			t.assigned = name
			assigned = append(assigned, Assignment{Ticket: t, Upstream: name})
		}
		return found
	})
	return assigned
}

// Waiting returns the number of tickets in the queue for decode memory.
func (d *Dispatcher) Waiting() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.waiting)
}

// Reserved records the decode upstream that reserved memory for a ticket. It counts the stream there unless Assign has
// counted it: the memory may have been reserved for an earlier ticket of the request, which freed it at its end.
func (d *Dispatcher) Reserved(t *Ticket, upstream string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.clearPending(t)
	if t.assigned != upstream {
		d.decodes.Place(upstream, d.pieces(t.request.Prompt.Tokens), now)
	}
	t.decodeUpstream = upstream
	t.reservedAt = now
}

// Prefilled records that the ticket's prefill upstream has cached the prompt.
func (d *Dispatcher) Prefilled(t *Ticket) {
	d.prefills.ObserveCache(t.Choice.Upstream, t.request.Prompt.Blocks)
}

// Withdraw ends a ticket whose prefill will not run.
func (d *Dispatcher) Withdraw(t *Ticket, now time.Time) {
	d.prefills.Withdraw(t.request.Prompt, t.Choice)
	d.End(t, 0, now)
}

// Finish ends a ticket with a complete answer of output tokens.
func (d *Dispatcher) Finish(t *Ticket, output int, now time.Time) {
	d.mu.Lock()
	d.meanOutput += outputSmoothing * (float64(output) - d.meanOutput)
	d.mu.Unlock()
	d.decodes.RecordStreamDuration(now.Sub(t.reservedAt))
	d.End(t, output, now)
}

// End ends a ticket after a number of generated tokens. It counts the ticket's decode memory as free.
func (d *Dispatcher) End(t *Ticket, generated int, now time.Time) {
	d.mu.Lock()
	d.clearPending(t)
	d.waiting = slices.DeleteFunc(d.waiting, func(other *Ticket) bool { return other == t })
	name := t.decodeUpstream
	t.decodeUpstream = ""
	d.mu.Unlock()
	if name != "" {
		d.decodes.Release(name, d.pieces(t.request.Prompt.Tokens+generated), now)
	}
}

// clearPending counts a ticket as no longer without decode memory. The caller holds the lock.
func (d *Dispatcher) clearPending(t *Ticket) {
	if t.pending {
		t.pending = false
		d.pending--
	}
}

// TooLate reports whether the first token would miss the ticket's deadline if its prefill started now. For a complete
// prefill it reports whether a transfer that starts now would end after KVExpires.
func (d *Dispatcher) TooLate(t *Ticket, now time.Time) bool {
	if !t.KVExpires.IsZero() {
		return now.Add(d.TransferTime(t.request.Prompt.Tokens)).After(t.KVExpires)
	}
	remaining := d.TransferTime(t.request.Prompt.Tokens) + d.firstStep() + d.overhead/2
	remaining += t.Choice.Predicted - t.Choice.Delay
	return now.Add(remaining).After(t.Deadline)
}

// pieces returns the number of memory pieces for a number of tokens and the next output token.
func (d *Dispatcher) pieces(tokens int) int {
	return (tokens + d.pieceTokens) / d.pieceTokens
}

// compareUrgency compares tickets by deadline, late tickets last.
func compareUrgency(a, b *Ticket) int {
	if a.Late != b.Late {
		if b.Late {
			return -1
		}
		return 1
	}
	return a.Deadline.Compare(b.Deadline)
}
