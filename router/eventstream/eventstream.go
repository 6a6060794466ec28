// Package eventstream reads server-sent events one at a time, so that an answer which is cut in
// the middle of an event is passed on up to its last whole event.
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
	// maxEventBytes bounds one event.
	maxEventBytes = 256 << 10
	readBuffer    = 2 << 10
)

var (
	// ErrTorn tells that the stream ended in the middle of an event.
	ErrTorn = eris.New("stream ended in the middle of an event")
	// ErrTooLong tells that an event is longer than any that the reader takes.
	ErrTooLong = eris.New("event is too long")
)

type (
	// Event is one event as it was sent.
	Event struct {
		// Raw are the bytes of the event with the empty line that ends it.
		Raw []byte
		// ID is the number in the event's id field.
		ID int64
		// HasID reports whether the event has a numeric id.
		HasID bool
	}

	// Reader reads the events of a stream.
	Reader struct {
		source *bufio.Reader
	}
)

// NewReader returns a reader of the events in r.
func NewReader(r io.Reader) *Reader {
	return &Reader{source: bufio.NewReaderSize(r, readBuffer)}
}

// Next returns the next whole event, or io.EOF after the last.
func (r *Reader) Next() (Event, error) {
	var e Event
	for {
		line, err := r.line(maxEventBytes - len(e.Raw))
		e.Raw = append(e.Raw, line...)
		if err != nil {
			return Event{}, ended(err, e.Raw)
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

// ended turns the end of the source into the end of the stream, unless an event was begun.
func ended(err error, begun []byte) error {
	if errors.Is(err, io.EOF) && len(begun) > 0 {
		return ErrTorn
	}
	return err
}

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
