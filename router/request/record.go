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

	// handedWait bounds the wait for the word that a completion which was sent on arrived.
	handedWait = 5 * time.Second
)

type (
	// Record is one key's answer. The newest connection receives it.
	Record struct {
		// Generation is what was asked.
		Generation Generation
		// ContentDigest detects a key used again for other content.
		ContentDigest string
		// Arrived is when the first connection came.
		Arrived time.Time

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

	// Reader is one connection of a record.
	Reader struct {
		record     *Record
		next       int
		superseded bool
	}

	recordState int
)

func newRecord(g Generation, now time.Time, grace time.Duration) *Record {
	return &Record{
		answerID:      rand.Text(),
		Generation:    g,
		ContentDigest: g.ContentDigest(),
		Arrived:       now,
		state:         running,
		text:          sha256.New(),
		changed:       make(chan struct{}),
		grace:         grace,
	}
}

// Bind sets what stops the work of the record.
func (r *Record) Bind(cancel context.CancelFunc) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancel = cancel
}

// Continue begins the record with the tokens that the caller has of an answer whose
// keeper was lost.
func (r *Record) Continue(answerID string, prefix []string) {
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

// Deliver records that a caller has the whole answer; the tokens are let go.
func (r *Record) Deliver() {
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

// Whole tells whether the answer is whole.
func (r *Record) Whole() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state == finished
}

// ForwardTo notes the entry whose answer this record copies.
func (r *Record) ForwardTo(address string) {
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

// Next waits for the next piece. The last piece has the completion.
func (d *Reader) Next(ctx context.Context) (Piece, *refusal.Refusal) {
	for {
		piece, why, changed := d.poll()
		if why != nil || changed == nil {
			return piece, why
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return Piece{}, refusal.New(refusal.RanNo, refusal.Cancelled, 0, "the caller has gone")
		}
	}
}

// Sent tells that the completion was sent on. Unless Deliver follows, another connection
// may have it after a while.
func (d *Reader) Sent() {
	time.AfterFunc(handedWait, func() { d.record.takeBack(d) })
}

// Return tells that the caller did not get the completion.
func (d *Reader) Return() {
	d.record.takeBack(d)
}

// Leave ends the connection. A record that nobody reads is cancelled after the grace
// in which the caller may come back.
func (d *Reader) Leave() {
	r := d.record
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reader != d {
		return
	}
	r.reader = nil
	if r.state == running {
		r.graceTimer = time.AfterFunc(r.grace, r.abandon)
	}
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

// poll returns a piece, a refusal, or a channel to wait on.
func (d *Reader) poll() (Piece, *refusal.Refusal, <-chan struct{}) {
	r := d.record
	r.mu.Lock()
	defer r.mu.Unlock()
	if d.superseded {
		return Piece{}, refusal.New(refusal.RanUnknown, refusal.Superseded, 0, "a newer connection of the same key has the answer"), nil
	}
	if r.state == failed {
		return Piece{}, r.refusal, nil
	}
	if r.delivered {
		return Piece{}, alreadyAnswered(), nil
	}
	if r.handed != nil && r.handed != d {
		return Piece{}, nil, r.changed
	}
	if d.next < len(r.tokens) || r.completion != nil {
		if r.completion != nil {
			r.handed = d
		}
		piece := Piece{AnswerID: r.answerID, Offset: d.next, Completion: r.completion}
		if d.next < len(r.tokens) {
			piece.Tokens = r.tokens[d.next:len(r.tokens):len(r.tokens)]
		}
		d.next = len(r.tokens)
		return piece, nil, nil
	}
	return Piece{}, nil, r.changed
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
