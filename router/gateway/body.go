package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"gooseberrypin.example/router/memory"
)

const (
	// maxBufferedBodyBytes bounds the body of an answer that is buffered before it is sent to the caller,
	// such as that of a plain service.
	maxBufferedBodyBytes = 8 << 20
	// answerPatience is how long an answer waits for memory. It is longer than that of requests, as the upstream has run
	// this one.
	answerPatience = 2 * time.Second
	// largeAnswerBytes is the size above which the connection to the upstream gets a larger receive buffer, which takes
	// largeReceiveBytes.
	largeAnswerBytes  = 32 << 10
	largeReceiveBytes = 256 << 10
)

var (
	errAnswerTooLong = eris.New("the answer is too long")
	errAnswerMemory  = eris.New("memory limit of buffered answers reached")
)

type (
	// widenable is the body of an answer on a connection whose receive buffer can be enlarged for it.
	widenable interface{ Widen(receiveBytes int) }
)

// allocation returns the memory of the request and the function that releases it at its end.
func (g *Gateway) allocation(r *Request) (*memory.Allocation, func()) {
	if r.Memory != nil {
		// Its owner releases it.
		r.Memory.CompleteRequest()
		return r.Memory, func() {}
	}
	a := g.answerMemory.NewAllocation(func() {})
	return a, a.Release
}

// readBody reads the complete body of an answer and releases it. It returns the answer itself as the
// result, or Unknown if the body is truncated or exceeds a memory limit: the upstream may have run the
// request. The memory is held until the end of the request.
func (ar *activeRequest) readBody(ctx context.Context, a Answer) ([]byte, Result) {
	defer a.Body.Release()
	if w, ok := a.Body.(widenable); ok && a.Length > largeAnswerBytes && ar.memory.Grow(largeReceiveBytes) {
		w.Widen(largeReceiveBytes)
		defer ar.memory.Shrink(largeReceiveBytes)
	}
	body, err := ar.memory.ReadAll(ctx, a.Body, a.Length, maxBufferedBodyBytes, answerPatience)
	switch {
	case errors.Is(err, memory.ErrExhausted):
		return nil, Unknown{Err: errAnswerMemory}
	case errors.Is(err, memory.ErrTooLong):
		return nil, Unknown{Err: errAnswerTooLong}
	case err != nil:
		return nil, Unknown{Err: eris.Wrap(err, "answer truncated"), ConnectionLost: true}
	}
	return body, a
}
