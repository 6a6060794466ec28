package request

import (
	"context"
	"time"

	"gooseberrypin.example/router/refusal"
)

const (
	// deliveryTimeout is how long a completion that was sent is withheld from other connections
	// while its delivery is unconfirmed.
	deliveryTimeout = 5 * time.Second
)

type (
	// Reader reads a record for one connection.
	Reader struct {
		record *Record
		// next is the offset of the next token to return.
		next int
		// superseded is set when a newer connection has joined the record.
		superseded bool
	}
)

// Next waits for the next piece. The last piece has the completion. Next refuses when a newer
// connection has joined, when the answer was delivered, when the record has failed and when ctx
// ends. While another connection is being sent the completion, Next waits for the outcome.
func (rd *Reader) Next(ctx context.Context) (Piece, *refusal.Refusal) {
	for {
		piece, refused, changed := rd.poll()
		if refused != nil || changed == nil {
			return piece, refused
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return Piece{}, refusal.New(rd.record.ran(), refusal.Cancelled, 0, "the caller has gone")
		}
	}
}

// CompletionSent records that the completion was sent to the caller. Unless the record is marked as
// delivered within deliveryTimeout, another connection may receive the completion.
func (rd *Reader) CompletionSent() {
	time.AfterFunc(deliveryTimeout, func() { rd.record.releaseCompletion(rd) })
}

// CompletionNotSent records that the completion could not be sent to the caller. Another connection may
// receive it. It has no effect if Next has not returned the completion.
func (rd *Reader) CompletionNotSent() {
	rd.record.releaseCompletion(rd)
}

// Close detaches the connection from the record. The work of a running record that has no
// connection is cancelled unless one joins within the reconnect grace.
func (rd *Reader) Close() {
	r := rd.record
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reader != rd {
		return
	}
	r.reader = nil
	if r.state == running {
		r.graceTimer = time.AfterFunc(r.reconnectGrace, r.cancelIfAbandoned)
	}
}

// poll returns a piece, a refusal, or a channel that is closed when the record changes.
func (rd *Reader) poll() (Piece, *refusal.Refusal, <-chan struct{}) {
	r := rd.record
	r.mu.Lock()
	defer r.mu.Unlock()
	if rd.superseded {
		return Piece{}, refusal.New(refusal.RanUnknown, refusal.Superseded, 0, "a newer connection of the same key has the answer"), nil
	}
	if r.state == failed {
		return Piece{}, r.refusal, nil
	}
	if r.delivered {
		return Piece{}, alreadyAnswered(), nil
	}
	if r.completionReader != nil && r.completionReader != rd {
		return Piece{}, nil, r.changed
	}
	if rd.next < len(r.tokens) || r.completion != nil {
		if r.completion != nil {
			r.completionReader = rd
		}
		piece := Piece{AnswerID: r.answerID, Offset: rd.next, Completion: r.completion}
		if rd.next < len(r.tokens) {
			piece.Tokens = r.tokens[rd.next:len(r.tokens):len(r.tokens)]
		}
		rd.next = len(r.tokens)
		return piece, nil, nil
	}
	return Piece{}, nil, r.changed
}
