package request

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"hash"
	"sync"
	"time"

	"gooseberrypin.example/router/refusal"
)

const (
	running recordState = iota + 1
	finished
	failed
)

type (
	// Record is one key's answer. The newest connection receives it.
	Record struct {
		// Generation is what was asked.
		Generation Generation
		// ContentDigest detects a key used again for other content.
		ContentDigest string

		mu         sync.Mutex
		answerID   string
		state      recordState
		tokens     []string
		text       hash.Hash
		completion *Completion
		refusal    *refusal.Refusal
		reader     *Reader
		delivered  bool
		// handed is the connection that was given the completion; until it is known
		// whether its caller has it, no other connection gets it.
		handed     *Reader
		changed    chan struct{}
		cancel     context.CancelFunc
		grace      time.Duration
		graceTimer *time.Timer
		ended      time.Time
		// forwardedTo is the entry whose answer this record copies, if any.
		forwardedTo string
	}

	recordState int
)

func newRecord(g Generation, grace time.Duration) *Record {
	return &Record{
		answerID:      rand.Text(),
		Generation:    g,
		ContentDigest: g.ContentDigest(),
		state:         running,
		text:          sha256.New(),
		changed:       make(chan struct{}),
		grace:         grace,
	}
}

// SetCancel sets what stops the work of the record.
func (r *Record) SetCancel(cancel context.CancelFunc) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancel = cancel
}

// ContinueAnswer begins the record with the tokens that the caller has of an answer whose
// keeper was lost.
func (r *Record) ContinueAnswer(answerID string, prefix []string) {
	r.Append(prefix)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answerID = answerID
}

// Join makes a connection the record's reader; an older one ends as superseded. The
// reader begins at its position, or at offset 0 of another answer.
func (r *Record) Join(p Position) (*Reader, *refusal.Refusal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p.AnswerID != "" && p.AnswerID != r.answerID {
		p.Offset = 0
	}
	if r.delivered {
		return nil, alreadyAnswered()
	}
	if r.state == failed {
		return nil, r.refusal
	}
	if r.reader != nil {
		r.reader.superseded = true
	}
	if r.graceTimer != nil {
		r.graceTimer.Stop()
		r.graceTimer = nil
	}
	r.reader = &Reader{record: r, next: max(0, p.Offset)}
	r.wake()
	return r.reader, nil
}

// Append adds tokens to the answer.
func (r *Record) Append(tokens []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state != running {
		return
	}
	for _, t := range tokens {
		_, _ = r.text.Write([]byte(t))
	}
	r.tokens = append(r.tokens, tokens...)
	r.wake()
}

// Finish makes the answer whole.
func (r *Record) Finish(reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state != running {
		return
	}
	r.state = finished
	r.ended = time.Now()
	r.completion = &Completion{
		TokenCount:   len(r.tokens),
		DigestSHA256: hex.EncodeToString(r.text.Sum(nil)),
		FinishReason: reason,
	}
	r.wake()
}

// Fail ends the record without an answer.
func (r *Record) Fail(why *refusal.Refusal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state != running {
		return
	}
	r.state = failed
	r.ended = time.Now()
	r.refusal = why
	r.wake()
}

// MarkDelivered records that a caller has the whole answer; the tokens are let go.
func (r *Record) MarkDelivered() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state != finished {
		return
	}
	r.delivered = true
	r.tokens = nil
	r.Generation.Prompt = ""
	r.wake()
}

// Restart drops the answer so far in favour of another one.
func (r *Record) Restart(answerID string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state != running || r.answerID == answerID {
		return
	}
	r.answerID = answerID
	r.tokens = nil
	r.text.Reset()
	if r.reader != nil {
		r.reader.next = 0
	}
}

// Tokens returns the answer so far.
func (r *Record) Tokens() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tokens
}

// Completed tells whether the answer is whole.
func (r *Record) Completed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state == finished
}

// SetForwardedTo notes the entry whose answer this record copies.
func (r *Record) SetForwardedTo(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forwardedTo = address
}

// ForwardedTo returns the entry whose answer this record copies, or "".
func (r *Record) ForwardedTo() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.forwardedTo
}

func (r *Record) abandon() {
	r.mu.Lock()
	cancel := r.cancel
	abandoned := r.reader == nil && r.state == running
	r.mu.Unlock()
	if abandoned && cancel != nil {
		cancel()
	}
}

// takeBack lets another connection have the completion.
func (r *Record) takeBack(d *Reader) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.handed == d && !r.delivered {
		r.handed = nil
		r.wake()
	}
}

func (r *Record) wake() {
	close(r.changed)
	r.changed = make(chan struct{})
}

func alreadyAnswered() *refusal.Refusal {
	return refusal.New(refusal.RanYes, refusal.AlreadyAnswered, 0, "the key's answer was delivered")
}
