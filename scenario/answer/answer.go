// Package answer sends requests through an entry and records what comes back.
package answer

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"strings"
	"sync"
)

const (
	// Running requests have no outcome yet.
	Running State = "running"
	// Whole answers are complete, in order, and match their digest.
	Whole State = "whole"
	// Cut answers ended without a completion and without a refusal.
	Cut State = "cut"
	// Refused requests carry a reason.
	Refused State = "refused"
	// Cancelled requests were given up by their caller.
	Cancelled State = "cancelled"
	// Wrong answers have a gap, a repetition, or a digest of other content.
	Wrong State = "wrong"
)

type (
	// State is how far a request got.
	State string

	// Answer is what a caller has of one request.
	Answer struct {
		State   State  `json:"state"`
		Text    string `json:"text"`
		Tokens  int64  `json:"tokens"`
		Reason  string `json:"reason"`
		Ran     string `json:"ran"`
		RetryMS int64  `json:"retry_after_ms"`
		Message string `json:"message"`
		Status  int32  `json:"status"`
		Body    string `json:"body"`
		Replay  bool   `json:"replayed"`
		Tries   int    `json:"tries"`
		// Reasons counts the refusals of all tries.
		Reasons map[string]int `json:"reasons"`
	}

	// Record holds an answer that is still growing.
	Record struct {
		mu      sync.Mutex
		answer  Answer
		earlier string
	}
)

// NewRecord returns a record. Earlier is the text that the caller has from an earlier try.
func NewRecord(earlier string) *Record {
	return &Record{answer: Answer{State: Running, Reasons: make(map[string]int)}, earlier: earlier}
}

// Answer returns a copy of what was received up to now.
func (r *Record) Answer() Answer {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.answer
	a.Reasons = maps.Clone(a.Reasons)
	return a
}

func (r *Record) change(f func(*Answer)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(&r.answer)
}

// begin starts a try from nothing.
func (r *Record) begin() {
	r.change(func(a *Answer) {
		*a = Answer{State: Running, Tries: a.Tries + 1, Reasons: a.Reasons}
	})
}

// addPiece appends tokens and tells whether they follow what is there.
func (r *Record) addPiece(offset, from int64, tokens []string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if offset != from+r.answer.Tokens {
		r.answer.State = Wrong
		return false
	}
	r.answer.Tokens += int64(len(tokens))
	r.answer.Text += strings.Join(tokens, "")
	return true
}

// complete checks the whole text against its count and digest.
func (r *Record) complete(from, count int64, digest string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	sum := sha256.Sum256([]byte(r.earlier + r.answer.Text))
	whole := from+r.answer.Tokens == count && hex.EncodeToString(sum[:]) == digest
	if whole {
		r.answer.State = Whole
		return
	}
	r.answer.State = Wrong
}

// Retry tells whether the request ended without an answer and its sender is still there.
func (r *Record) Retry(ctx context.Context) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return ctx.Err() == nil && (r.answer.State == Cut || r.answer.State == Refused)
}
