package memory

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// firstPieceBytes and maxPieceBytes are the sizes of the pieces in which content without a stated length is read.
	firstPieceBytes = 4 << 10
	maxPieceBytes   = 256 << 10
	// readBytes bounds a single read, so that the progress of a slow source is seen.
	readBytes = 64 << 10
)

var (
	// ErrExhausted is returned if no memory is left for the content.
	ErrExhausted = eris.New("no memory is left")
	// ErrTooLong is returned if the content exceeds its limit.
	ErrTooLong = eris.New("the content is too long")
)

// ReadAll reads a source to its end. It takes memory before it reads: the stated length at once, or pieces if the length is
// negative. It waits for memory for at most patience each time. It returns ErrExhausted, ErrTooLong, or the error of the source.
func (a *Allocation) ReadAll(ctx context.Context, source io.Reader, length, limit int64, patience time.Duration) ([]byte, error) {
	switch {
	case length > limit:
		return nil, ErrTooLong
	case length < 0:
		return a.readPieces(ctx, source, limit, patience)
	case !a.GrowWithin(ctx, length, patience):
		return nil, ErrExhausted
	}
	content := make([]byte, length)
	n, err := fill(source, content)
	if err == nil {
		// Some sources report their end only in a read of its own.
		_, err = source.Read(make([]byte, 1))
	}
	return content[:n], endError(err)
}

// readPieces reads content of an unknown length. It does not wait for memory while it holds some, except for the copy at the end:
// several that wait for each other would keep all of it.
func (a *Allocation) readPieces(ctx context.Context, source io.Reader, limit int64, patience time.Duration) ([]byte, error) {
	var pieces [][]byte
	total, held := int64(0), int64(0)
	for size := int64(firstPieceBytes); ; size = min(2*size, maxPieceBytes) {
		if taken := a.Grow(size) || held == 0 && a.GrowWithin(ctx, size, patience); !taken {
			return nil, ErrExhausted
		}
		held += size
		piece := make([]byte, size)
		n, err := fill(source, piece)
		pieces = append(pieces, piece[:n])
		total += int64(n)
		switch {
		case total > limit:
			return nil, ErrTooLong
		case err == nil:
			continue
		case endError(err) != nil:
			return nil, err
		case len(pieces) == 1:
			return piece[:n], nil
		case !a.GrowWithin(ctx, total, patience):
			return nil, ErrExhausted
		}
		content := make([]byte, 0, total)
		for _, piece := range pieces {
			content = append(content, piece...)
		}
		a.Shrink(held)
		return content, nil
	}
}

// fill reads until the buffer is full or the source ends. Unlike io.ReadFull, it returns the error of the source.
func fill(source io.Reader, buffer []byte) (int, error) {
	read := 0
	for read < len(buffer) {
		n, err := source.Read(buffer[read:min(len(buffer), read+readBytes)])
		read += n
		if err != nil {
			return read, err
		}
	}
	return read, nil
}

// endError returns nil for the end of a source, and other errors as they are.
func endError(err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}
