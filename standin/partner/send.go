package partner

import (
	"context"
	"sync"
	"time"

	callerv1 "gooseberrypin.example/gen/caller/v1"
)

type (
	// requestState is the state of a request and its attempts.
	requestState struct {
		client     *Client
		request    Request
		startedAt  time.Time
		firstEntry int
		// reportProgress stops further hedged attempts. It is called at the first token or answer.
		reportProgress func()

		mu           sync.Mutex
		received     partialAnswer
		lastTokensAt time.Time
		trace        Trace
	}
)

// Send sends a request and verifies the answer. It resends when an attempt is slow, refused or interrupted. The first
// attempt goes to the entry with the index firstEntry, and each later one to the next entry.
func (c *Client) Send(ctx context.Context, r Request, firstEntry int) Outcome {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	progressed := make(chan struct{})
	s := &requestState{
		client:         c,
		request:        r,
		startedAt:      time.Now(),
		firstEntry:     firstEntry,
		reportProgress: sync.OnceFunc(func() { close(progressed) }),
	}
	s.trace.Key = r.key()
	s.trace.Reasons = make(map[string]int)
	return s.run(ctx, progressed)
}

// run starts attempts until one returns a complete answer or no further attempt can be answered. Before the first token
// or answer it also starts an attempt after each hedge delay.
func (s *requestState) run(ctx context.Context, progressed <-chan struct{}) Outcome {
	results := make(chan attemptResult, s.client.maxAttempts)
	running := 0
	start := func() {
		e := s.client.entries[(s.firstEntry+s.trace.Attempts)%len(s.client.entries)]
		s.trace.Attempts++
		running++
		go func() { results <- s.attempt(ctx, e) }()
	}
	start()
	hedge := time.NewTicker(s.client.hedgeDelay)
	defer hedge.Stop()
	var last attemptResult
	for {
		select {
		case <-progressed:
			hedge.Stop()
			progressed = nil
		case <-hedge.C:
			if s.trace.Attempts < s.client.maxAttempts {
				start()
			}
		case e := <-results:
			running--
			s.recordResult(e)
			if e.complete {
				return s.finishAnswered(e, results, running)
			}
			if isSuperseded(e) && running > 0 {
				continue
			}
			last = e
			if !e.mismatch && s.mayResend(ctx, e) {
				start()
			} else if running == 0 {
				return s.finishUnanswered(last)
			}
		}
	}
}

// finishAnswered waits for the results of the other attempts within the duplicate window, in which it detects a second
// answer, and returns the outcome.
func (s *requestState) finishAnswered(e attemptResult, results <-chan attemptResult, running int) Outcome {
	total := time.Since(s.startedAt)
	window := time.NewTimer(s.client.duplicateWindow)
	defer window.Stop()
	for running > 0 {
		select {
		case other := <-results:
			running--
			s.recordResult(other)
			if other.complete && string(other.body) != string(e.body) {
				s.trace.Mismatches++
			}
		case <-window.C:
			running = 0
		}
	}
	t := s.copyTrace()
	t.Total = total
	return Answered{Trace: t, Text: e.text, Status: e.status, Body: e.body}
}

// finishUnanswered returns the outcome after the last attempt.
func (s *requestState) finishUnanswered(e attemptResult) Outcome {
	t := s.copyTrace()
	t.Total = time.Since(s.startedAt)
	if e.refusal != nil {
		return Refused{Trace: t, Refusal: e.refusal}
	}
	return Failed{Trace: t, Err: e.err}
}

// mayResend reports whether to start another attempt after a result. With waitRetryAfter it first waits for the
// retry-after time of a refusal, and returns false for a refusal without one.
func (s *requestState) mayResend(ctx context.Context, e attemptResult) bool {
	if ctx.Err() != nil || s.trace.Attempts >= s.client.maxAttempts || isPermanent(e.refusal) {
		return false
	}
	if e.refusal == nil || !s.client.waitRetryAfter {
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

// recordResult adds the result of an attempt to the trace.
func (s *requestState) recordResult(e attemptResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case e.complete && e.replayed:
		s.trace.Replayed++
	case e.complete:
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

// recordReceived stores the received part of the answer, at which the next attempt resumes, and records the time of
// new tokens.
func (s *requestState) recordReceived(a partialAnswer, newTokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.received = a
	if newTokens > 0 {
		s.recordTokenTime()
	}
}

// recordTokenTime records the arrival of new tokens. The caller holds mu.
func (s *requestState) recordTokenTime() {
	now := time.Now()
	if s.lastTokensAt.IsZero() {
		s.trace.FirstToken = now.Sub(s.startedAt)
	} else {
		s.trace.Gaps = append(s.trace.Gaps, now.Sub(s.lastTokensAt))
	}
	s.lastTokensAt = now
	s.reportProgress()
}

// receivedAnswer returns the part of the answer after which a new attempt resumes.
func (s *requestState) receivedAnswer() partialAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.received
}

func (s *requestState) copyTrace() Trace {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.trace
}

// isSuperseded reports whether an attempt was refused because a newer attempt replaced it.
func isSuperseded(e attemptResult) bool {
	return e.refusal.GetReason() == callerv1.Reason_REASON_SUPERSEDED
}

// isPermanent reports whether no further attempt with the same key can be answered.
func isPermanent(r *callerv1.Refusal) bool {
	switch r.GetReason() {
	case callerv1.Reason_REASON_MALFORMED, callerv1.Reason_REASON_UNKNOWN_PARTNER, callerv1.Reason_REASON_UNKNOWN_RULE,
		callerv1.Reason_REASON_QUARANTINED, callerv1.Reason_REASON_ALREADY_ANSWERED, callerv1.Reason_REASON_KEY_MISSING,
		callerv1.Reason_REASON_KEY_TOO_OLD, callerv1.Reason_REASON_KEY_IN_FUTURE, callerv1.Reason_REASON_KEY_REUSED,
		callerv1.Reason_REASON_TOMBSTONED:
		return true
	}
	return false
}
