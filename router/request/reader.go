package request

import (
	"context"
	"time"

	"gooseberrypin.example/router/refusal"
)

const (
	// handedWait bounds the wait for the word that a completion which was sent on arrived.
	handedWait = 5 * time.Second
)

type (
	// Reader is one connection of a record.
	Reader struct {
		record     *Record
		next       int
		superseded bool
	}
)

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

// CompletionSent tells that the completion was sent on. Unless Deliver follows, another connection
// may have it after a while.
func (d *Reader) CompletionSent() {
	time.AfterFunc(handedWait, func() { d.record.takeBack(d) })
}

// CompletionNotSent tells that the caller did not get the completion.
func (d *Reader) CompletionNotSent() {
	d.record.takeBack(d)
}

// Close ends the connection. A record that nobody reads is cancelled after the grace
// in which the caller may come back.
func (d *Reader) Close() {
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
