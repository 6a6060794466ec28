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
	// Record holds the answer to one idempotency key, complete or in progress. Only the newest
	// connection receives it.
	Record struct {
		// Generation is the request. Its prompt is cleared once the answer is delivered.
		Generation Generation
		// ContentDigest is the digest of the request's content. It serves to detect a key that is
		// reused for other content.
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
		// completionReader is the connection that the completion was returned to. No other
		// connection receives the completion until its delivery is confirmed, has failed or has
		// timed out.
		completionReader *Reader
		changed          chan struct{}
		cancel           context.CancelFunc
		reconnectGrace   time.Duration
		graceTimer       *time.Timer
		endedAt          time.Time
		// forwardedTo is the address of the entry whose answer this record copies, or "".
		forwardedTo string
	}

	recordState int
)

func newRecord(g Generation, reconnectGrace time.Duration) *Record {
	return &Record{
		answerID:       rand.Text(),
		Generation:     g,
		ContentDigest:  g.ContentDigest(),
		state:          running,
		text:           sha256.New(),
		changed:        make(chan struct{}),
		reconnectGrace: reconnectGrace,
	}
}

// SetCancel sets the function that cancels the work of the record.
func (r *Record) SetCancel(cancel context.CancelFunc) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancel = cancel
}

// ContinueAnswer starts the record with prefix: the tokens that the caller already has of an answer
// whose keeper was lost. The record continues that answer under its ID.
func (r *Record) ContinueAnswer(answerID string, prefix []string) {
	r.Append(prefix)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answerID = answerID
}

// Join makes a connection the record's reader and supersedes an older one. The reader begins at
// the position's offset, or at 0 if the position is of another answer. Join refuses when the
// answer was delivered or the record has failed.
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
	r.notify()
	return r.reader, nil
}

// Append adds tokens to the answer of a running record.
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
	r.notify()
}

// Finish completes the answer of a running record.
func (r *Record) Finish(reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state != running {
		return
	}
	r.state = finished
	r.endedAt = time.Now()
	r.completion = &Completion{
		TokenCount:   len(r.tokens),
		DigestSHA256: hex.EncodeToString(r.text.Sum(nil)),
		FinishReason: reason,
	}
	r.notify()
}

// Fail closes a running record without a complete answer. Readers receive the refusal.
func (r *Record) Fail(refused *refusal.Refusal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state != running {
		return
	}
	r.state = failed
	r.endedAt = time.Now()
	r.refusal = refused
	r.notify()
}

// MarkDelivered records that the caller has received the complete answer, and frees the tokens and the
// prompt. It has no effect before Finish.
func (r *Record) MarkDelivered() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state != finished {
		return
	}
	r.delivered = true
	r.tokens = nil
	r.Generation.Prompt = ""
	r.notify()
}

// Restart discards the tokens of a running record whose answer is replaced by the one with
// answerID. The reader begins again at offset 0. It has no effect if the record has that answer
// already.
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

// Tokens returns the tokens of the answer so far.
func (r *Record) Tokens() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tokens
}

// Completed reports whether the answer is complete.
func (r *Record) Completed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state == finished
}

// ran returns what is known of the execution of the request: it ran if there are tokens. Its work may be anywhere before.
func (r *Record) ran() refusal.Ran {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.tokens) > 0 || r.completion != nil {
		return refusal.RanYes
	}
	return refusal.RanUnknown
}

// SetForwardedTo sets the address of the entry whose answer this record copies.
func (r *Record) SetForwardedTo(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forwardedTo = address
}

// ForwardedTo returns the address of the entry whose answer this record copies, or "".
func (r *Record) ForwardedTo() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.forwardedTo
}

// cancelIfAbandoned cancels the work of a running record that has no reader.
func (r *Record) cancelIfAbandoned() {
	r.mu.Lock()
	cancel := r.cancel
	abandoned := r.reader == nil && r.state == running
	r.mu.Unlock()
	if abandoned && cancel != nil {
		cancel()
	}
}

// releaseCompletion allows another connection to receive the completion that was returned to rd. It has
// no effect once the answer is delivered.
func (r *Record) releaseCompletion(rd *Reader) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.completionReader == rd && !r.delivered {
		r.completionReader = nil
		r.notify()
	}
}

// notify wakes all readers that wait for a change. The caller holds the lock.
func (r *Record) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

func alreadyAnswered() *refusal.Refusal {
	return refusal.New(refusal.RanYes, refusal.AlreadyAnswered, 0, "the key's answer was delivered")
}
