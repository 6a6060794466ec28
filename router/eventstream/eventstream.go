// Package eventstream reads server-sent events one at a time, so that an answer that is truncated in the
// middle of an event can be forwarded up to its last complete event.
package eventstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"

	"github.com/rotisserie/eris"
)

const (
	// maxEventBytes bounds the size of one event.
	maxEventBytes = 256 << 10
	// readBufferBytes is the size of the buffer of a reader, in bytes.
	readBufferBytes = 2 << 10
)

var (
	// ErrTruncated is returned if the stream ends in the middle of an event.
	ErrTruncated = eris.New("stream ended in the middle of an event")
	// ErrTooLong is returned if an event exceeds the maximum size of 256 KiB.
	ErrTooLong = eris.New("event is too long")
)

type (
	// Event is one server-sent event.
	Event struct {
		// Raw contains the bytes of the event as they were received, with the empty line that ends it.
		Raw []byte
		// ID is the number in the id field of the event. It is valid only if HasID is true.
		ID int64
		// HasID reports whether the event has a numeric id field.
		HasID bool
	}

	// Reader reads the events of a stream.
	Reader struct {
		source *bufio.Reader
	}
)

// NewReader returns a reader of the events in the stream r.
func NewReader(r io.Reader) *Reader {
	return &Reader{source: bufio.NewReaderSize(r, readBufferBytes)}
}

// Next returns the next complete event. It returns io.EOF after the last event, ErrTruncated if the stream ends
// in the middle of an event, ErrTooLong if the event is too long, or the error of the source.
func (r *Reader) Next() (Event, error) {
	var e Event
	for {
		line, err := r.line(maxEventBytes - len(e.Raw))
		e.Raw = append(e.Raw, line...)
		if err != nil {
			return Event{}, endError(err, e.Raw)
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			return e, nil
		}
		if id, found := bytes.CutPrefix(text, []byte("id:")); found {
			n, err := strconv.ParseInt(string(bytes.TrimSpace(id)), 10, 64)
			e.ID, e.HasID = n, err == nil
		}
	}
}

// endError returns the error to report for a read error. It returns ErrTruncated for io.EOF after the partial
// event, and the read error otherwise.
func endError(err error, partial []byte) error {
	if errors.Is(err, io.EOF) && len(partial) > 0 {
		return ErrTruncated
	}
	return err
}

// line reads a line with its line feed. It returns ErrTooLong if the line is longer than limit bytes.
func (r *Reader) line(limit int) ([]byte, error) {
	var line []byte
	for {
		part, err := r.source.ReadSlice('\n')
		line = append(line, part...)
		if len(line) > limit {
			return nil, ErrTooLong
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
	}
}
