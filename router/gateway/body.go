package gateway

import (
	"bytes"
	"errors"
	"io"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

const (
	// maxBufferedBodyBytes bounds the body of an answer that is buffered before it is sent to the caller,
	// such as that of a plain service.
	maxBufferedBodyBytes = 8 << 20
	// readChunkBytes is the size of one read from an answer.
	readChunkBytes = 16 << 10
)

var (
	errAnswerTooLong = eris.New("the answer is too long")
	errAnswerMemory  = eris.New("memory limit of buffered answers reached")
)

type (
	// byteBudget bounds the bytes that several readers use at the same time. It is safe for concurrent use.
	byteBudget struct {
		limit int64
		used  atomic.Int64
	}
)

// acquire takes a number of bytes from the budget, or returns false if they exceed what is left.
func (b *byteBudget) acquire(bytes int64) bool {
	if b.used.Add(bytes) > b.limit {
		b.used.Add(-bytes)
		return false
	}
	return true
}

func (b *byteBudget) release(bytes int64) {
	b.used.Add(-bytes)
}

// readBody reads the complete body of an answer and releases it. It returns the answer itself as the
// result, or Unknown if the body is truncated or exceeds a memory limit: the upstream may have run the
// request.
func (g *Gateway) readBody(a Answer) ([]byte, Result) {
	acquired := int64(0)
	// The memory returns to the budget only after the answer is released.
	defer func() { g.answerMemory.release(acquired) }()
	defer a.Body.Release()
	var body bytes.Buffer
	for {
		if !g.answerMemory.acquire(readChunkBytes) {
			return nil, Unknown{Err: errAnswerMemory}
		}
		acquired += readChunkBytes
		_, err := io.CopyN(&body, a.Body, readChunkBytes)
		switch {
		case errors.Is(err, io.EOF):
			return body.Bytes(), a
		case err != nil:
			return nil, Unknown{Err: eris.Wrap(err, "answer truncated"), ConnectionLost: true}
		case body.Len() > maxBufferedBodyBytes:
			return nil, Unknown{Err: errAnswerTooLong}
		}
	}
}
