package entry

import (
	"gooseberrypin.example/router/request"
)

type (
	// passed is what a relay has passed on to its caller.
	passed struct {
		out      send
		answerID string
		// from is the offset of the first token that was passed on.
		from   int
		tokens []string
	}
)

// send passes a piece on and remembers it. A piece of another answer, or at an earlier
// offset, replaces what it overlaps.
func (p *passed) send(piece request.Piece) error {
	if piece.AnswerID != p.answerID || piece.Offset < p.from {
		p.answerID, p.from, p.tokens = piece.AnswerID, piece.Offset, nil
	}
	p.tokens = append(p.tokens[:min(piece.Offset-p.from, len(p.tokens))], piece.Tokens...)
	return p.out(piece)
}

// joining tells the next keeper what the caller has. Only a prefix from offset 0 lets
// it continue the answer.
func (p *passed) joining(lost string) joining {
	j := joining{lost: lost}
	if p.answerID == "" || p.from != 0 {
		return j
	}
	j.at = request.Position{AnswerID: p.answerID, Offset: len(p.tokens)}
	j.prefix = p.tokens
	return j
}

// begin is the position in a record that was opened for this connection.
func (j joining) begin() request.Position {
	if len(j.prefix) == 0 {
		return request.Position{}
	}
	return j.at
}
