package gateway

import (
	"bytes"
	"errors"
	"io"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

const (
	// maxCallBody bounds the answer of a plain service, which is read whole before it is passed on.
	maxCallBody = 8 << 20
	// readPiece is what is read of an answer at once.
	readPiece = 16 << 10
)

var (
	errTooLong = eris.New("the answer is too long")
	errNoRoom  = eris.New("no memory is left for answers")
)

type (
	// allowance is a number of bytes that several readers share. It is safe for concurrent use.
	allowance struct {
		most int64
		used atomic.Int64
	}
)

// take reports whether so many bytes were left, and takes them.
func (a *allowance) take(bytes int64) bool {
	if a.used.Add(bytes) > a.most {
		a.used.Add(-bytes)
		return false
	}
	return true
}

func (a *allowance) give(bytes int64) {
	a.used.Add(-bytes)
}

// readWhole reads the body of an answer. One that breaks off leaves open what ran.
func (g *Gateway) readWhole(a Answer) ([]byte, Result) {
	taken := int64(0)
	// Others may take the place of an answer only once it is released.
	defer func() { g.answers.give(taken) }()
	defer a.Body.Release()
	var body bytes.Buffer
	for {
		if !g.answers.take(readPiece) {
			return nil, Unknown{Err: errNoRoom}
		}
		taken += readPiece
		_, err := io.CopyN(&body, a.Body, readPiece)
		switch {
		case errors.Is(err, io.EOF):
			return body.Bytes(), a
		case err != nil:
			return nil, Unknown{Err: eris.Wrap(err, "answer broke off"), ConnectionLost: true}
		case body.Len() > maxCallBody:
			return nil, Unknown{Err: errTooLong}
		}
	}
}
