package partner

import (
	"context"
	"sync"
	"time"

	callerv1 "gooseberrypin.example/gen/caller/v1"
)

type (
	// sending is one request with all its tries.
	sending struct {
		client   *Client
		request  Request
		started  time.Time
		first    int
		progress func()

		mu     sync.Mutex
		newest answer
		last   time.Time
		trace  Trace
	}
)

// Send sends a request, resends it while it is late, refused or cut, and checks the answer.
func (c *Client) Send(ctx context.Context, r Request, first int) Outcome {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	moved := make(chan struct{})
	s := &sending{
		client:   c,
		request:  r,
		started:  time.Now(),
		first:    first,
		progress: sync.OnceFunc(func() { close(moved) }),
	}
	s.trace.Key = r.key()
	s.trace.Reasons = make(map[string]int)
	return s.run(ctx, moved)
}

// run starts tries until one has the whole answer or there is no use in more.
func (s *sending) run(ctx context.Context, moved <-chan struct{}) Outcome {
	ends := make(chan ending, s.client.tries)
	running := 0
	start := func() {
		e := s.client.entries[(s.first+s.trace.Attempts)%len(s.client.entries)]
		s.trace.Attempts++
		running++
		go func() { ends <- s.try(ctx, e) }()
	}
	start()
	patience := time.NewTicker(s.client.patience)
	defer patience.Stop()
	var last ending
	for {
		select {
		case <-moved:
			patience.Stop()
			moved = nil
		case <-patience.C:
			if s.trace.Attempts < s.client.tries {
				start()
			}
		case e := <-ends:
			running--
			s.note(e)
			if e.whole {
				return s.answered(e, ends, running)
			}
			if superseded(e) && running > 0 {
				continue
			}
			last = e
			if !e.mismatch && s.again(ctx, e) {
				start()
			} else if running == 0 {
				return s.ended(last)
			}
		}
	}
}

// answered watches the other tries for a second answer for a short time.
func (s *sending) answered(e ending, ends <-chan ending, running int) Outcome {
	total := time.Since(s.started)
	grace := time.NewTimer(s.client.grace)
	defer grace.Stop()
	for running > 0 {
		select {
		case other := <-ends:
			running--
			s.note(other)
			if other.whole && string(other.body) != string(e.body) {
				s.trace.Mismatches++
			}
		case <-grace.C:
			running = 0
		}
	}
	t := s.snapshot()
	t.Total = total
	return Answered{Trace: t, Text: e.text, Status: e.status, Body: e.body}
}

func (s *sending) ended(e ending) Outcome {
	t := s.snapshot()
	t.Total = time.Since(s.started)
	if e.refusal != nil {
		return Refused{Trace: t, Refusal: e.refusal}
	}
	return Failed{Trace: t, Err: e.err}
}

// again tells whether a resend may help, after the wait that a refusal asks for.
func (s *sending) again(ctx context.Context, e ending) bool {
	if ctx.Err() != nil || s.trace.Attempts >= s.client.tries || final(e.refusal) {
		return false
	}
	if e.refusal == nil || !s.client.heed {
		return true
	}
	if e.refusal.GetRetryAfterMs() <= 0 {
		return false
	}
	timer := time.NewTimer(time.Duration(e.refusal.GetRetryAfterMs()) * time.Millisecond)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// note adds the end of a try to the trace.
func (s *sending) note(e ending) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case e.whole && e.replayed:
		s.trace.Replayed++
	case e.whole:
		s.trace.Answers++
	case e.mismatch:
		s.trace.Mismatches++
	case e.refusal != nil:
		s.trace.Reasons[e.refusal.GetReason().String()]++
		if e.refusal.GetRan() == callerv1.Ran_RAN_NO {
			s.trace.DidNotRun++
		}
	}
}

// keep remembers the newest answer for a resend, and notes the time of fresh tokens.
func (s *sending) keep(a answer, fresh int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.newest = a
	if fresh > 0 {
		s.arrived()
	}
}

// arrived notes the time of new tokens.
func (s *sending) arrived() {
	now := time.Now()
	if s.last.IsZero() {
		s.trace.FirstToken = now.Sub(s.started)
	} else {
		s.trace.Gaps = append(s.trace.Gaps, now.Sub(s.last))
	}
	s.last = now
	s.progress()
}

// have returns what a resend need not be sent again.
func (s *sending) have() answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.newest
}

func (s *sending) snapshot() Trace {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.trace
}

func superseded(e ending) bool {
	return e.refusal.GetReason() == callerv1.Reason_REASON_SUPERSEDED
}

// final tells whether no resend of the same key can be answered.
func final(r *callerv1.Refusal) bool {
	switch r.GetReason() {
	case callerv1.Reason_REASON_MALFORMED, callerv1.Reason_REASON_UNKNOWN_PARTNER, callerv1.Reason_REASON_UNKNOWN_RULE,
		callerv1.Reason_REASON_QUARANTINED, callerv1.Reason_REASON_ALREADY_ANSWERED, callerv1.Reason_REASON_KEY_MISSING,
		callerv1.Reason_REASON_KEY_TOO_OLD, callerv1.Reason_REASON_KEY_IN_FUTURE, callerv1.Reason_REASON_KEY_REUSED,
		callerv1.Reason_REASON_TOMBSTONED:
		return true
	}
	return false
}
