// Package eventstream reads server-sent events one at a time, so that an answer that is truncated in the
// middle of an event can be forwarded up to its last complete event.
package eventstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/rotisserie/eris"
)

const (
	// maxEventBytes bounds the size of one event.
	maxEventBytes = 256 << 10
	// freeEventBytes is the part of an event that takes no memory by Memory.Grow. Usual events have some hundred bytes.
	freeEventBytes = 8 << 10
	// eventStepBytes is the part of a longer event that is read once the memory for it is taken: eventMemoryFactor times as much,
	// for the line, the event and their growth by doubling.
	eventStepBytes    = 8 << 10
	eventMemoryFactor = 3
	// readBufferBytes is the size of the buffer of a reader, in bytes.
	readBufferBytes = 2 << 10
)

var (
	// ErrTruncated is returned if the stream ends in the middle of an event.
	ErrTruncated = eris.New("stream ended in the middle of an event")
	// ErrTooLong is returned if an event exceeds the maximum size of 256 KiB.
	ErrTooLong = eris.New("event is too long")
	// ErrMemory is returned if no memory is left for a long event.
	ErrMemory = eris.New("no memory is left for the event")
)

type (
	// Event is one server-sent event.
	Event struct {
		// Raw contains the bytes of the event as they were received, with the empty line that ends it.
		Raw []byte
		// ID is the ID of the event. It is valid only if HasID is true.
		ID ID
		// HasID reports whether the event has an ID that is an integer.
		HasID bool
	}

	// Memory is what a reader takes memory from for long events. An event is held until the next one is read.
	Memory interface {
		// Grow takes bytes, or returns false if they are not left.
		Grow(bytes int64) bool
		// Shrink returns bytes.
		Shrink(bytes int64)
	}

	// Reader reads the events of a stream.
	Reader struct {
		source *bufio.Reader
		memory Memory
		// taken is the memory that the current event has taken, and allowed the size up to which it may grow without more.
		taken   int64
		allowed int
	}
)

// NewReader returns a reader of the events in the stream r. Release returns the memory that it has taken.
func NewReader(r io.Reader, memory Memory) *Reader {
	return &Reader{source: bufio.NewReaderSize(r, readBufferBytes), memory: memory}
}

// Release returns the memory of the last event.
func (r *Reader) Release() {
	if r.taken > 0 {
		r.memory.Shrink(r.taken)
		r.taken = 0
	}
}

// grow takes the memory for an event that has a number of bytes now.
func (r *Reader) grow(bytes int) error {
	for bytes > r.allowed {
		if !r.memory.Grow(eventStepBytes * eventMemoryFactor) {
			return ErrMemory
		}
		r.taken += eventStepBytes * eventMemoryFactor
		r.allowed += eventStepBytes
	}
	return nil
}

// Next returns the next complete event. It returns io.EOF after the last event, ErrTruncated if the stream ends
// in the middle of an event, ErrTooLong if the event is too long, ErrMemory if there is no memory for it, or the error of the
// source.
func (r *Reader) Next() (Event, error) {
	r.Release()
	r.allowed = freeEventBytes
	var e Event
	for {
		line, err := r.line(len(e.Raw))
		e.Raw = append(e.Raw, line...)
		if err != nil {
			return Event{}, endError(err, e.Raw)
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			return e, nil
		}
		if id, found := bytes.CutPrefix(text, []byte("id:")); found {
			e.ID, e.HasID = ParseID(string(bytes.TrimSpace(id)))
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

// line reads a line with its line feed, the next one of an event that has a number of bytes before it.
func (r *Reader) line(before int) ([]byte, error) {
	var line []byte
	for {
		part, err := r.source.ReadSlice('\n')
		length := before + len(line) + len(part)
		if length > maxEventBytes {
			return nil, ErrTooLong
		}
		if err := r.grow(length); err != nil {
			return nil, err
		}
		line = append(line, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
	}
}
