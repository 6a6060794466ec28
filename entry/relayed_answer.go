package entry

import (
	"gooseberrypin.example/router/request"
)

type (
	// relayedAnswer holds the part of an answer that a relay has sent to its caller.
	relayedAnswer struct {
		out      sendPiece
		answerID string
		// startOffset is the offset of the first token in tokens.
		startOffset int
		tokens      []string
	}
)

// send sends a piece to the caller and records its tokens. The tokens replace recorded ones from the piece's offset on. A
// piece of another answer, or with an offset before startOffset, replaces all recorded tokens.
func (p *relayedAnswer) send(piece request.Piece) error {
	if piece.AnswerID != p.answerID || piece.Offset < p.startOffset {
		p.answerID, p.startOffset, p.tokens = piece.AnswerID, piece.Offset, nil
	}
	p.tokens = append(p.tokens[:min(piece.Offset-p.startOffset, len(p.tokens))], piece.Tokens...)
	return p.out(piece)
}

// nextJoin returns the request to join at the next keeper after the one at lostAddress was lost. It contains the caller's
// tokens only if they start at offset 0, as the next keeper can't continue the answer otherwise.
func (p *relayedAnswer) nextJoin(lostAddress string) joinRequest {
	j := joinRequest{lostAddress: lostAddress}
	if p.answerID == "" || p.startOffset != 0 {
		return j
	}
	j.position = request.Position{AnswerID: p.answerID, Offset: len(p.tokens)}
	j.prefix = p.tokens
	return j
}

// startPosition returns the position at which a connection joins a record that was opened for it.
func (j joinRequest) startPosition() request.Position {
	if len(j.prefix) == 0 {
		return request.Position{}
	}
	return j.position
}
