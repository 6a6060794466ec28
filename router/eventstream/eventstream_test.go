package eventstream_test

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"

	"gooseberrypin.example/router/eventstream"
)

// testMemory is memory with a limit, and the largest number of bytes that was taken.
type testMemory struct{ limit, taken, peak int64 }

func newMemory() *testMemory { return &testMemory{limit: 4 << 20} }

func (m *testMemory) Grow(bytes int64) bool {
	if m.taken+bytes > m.limit {
		return false
	}
	m.taken += bytes
	m.peak = max(m.peak, m.taken)
	return true
}

func (m *testMemory) Shrink(bytes int64) { m.taken -= bytes }

func ExampleReader_Next() {
	r := eventstream.NewReader(strings.NewReader("id: 1\ndata: quilt\n\nid: 2\ndata: air\n\n"), newMemory())
	for {
		e, err := r.Next()
		if err != nil {
			fmt.Println(err)
			return
		}
		fmt.Printf("%s %q\n", e.ID, e.Raw)
	}
	// Output:
	// 1 "id: 1\ndata: quilt\n\n"
	// 2 "id: 2\ndata: air\n\n"
	// EOF
}

func TestNext(t *testing.T) {
	tests := map[string]struct {
		stream string
		ids    []string
		err    error
	}{
		"empty":                {"", nil, io.EOF},
		"no id":                {"data: x\n\n", []string{"none"}, io.EOF},
		"id is not a number":   {"id: x\ndata: x\n\n", []string{"none"}, io.EOF},
		"id over 64 bits":      {"id: 18446744073709551616\ndata: x\n\n", []string{"18446744073709551616"}, io.EOF},
		"id with a sign":       {"id: -07\ndata: x\n\n", []string{"-07"}, io.EOF},
		"id is too long":       {"id: " + strings.Repeat("1", 5000) + "\n\n", []string{"none"}, io.EOF},
		"carriage returns":     {"id: 4\r\ndata: x\r\n\r\n", []string{"4"}, io.EOF},
		"several lines":        {"id: 4\ndata: a\ndata: b\nweight: 2\n\n", []string{"4"}, io.EOF},
		"truncated in a line":  {"id: 4\n\nid: 5\nda", []string{"4"}, eventstream.ErrTruncated},
		"truncated after line": {"id: 4\n\nid: 5\n", []string{"4"}, eventstream.ErrTruncated},
		"longer than a buffer": {"id: 4\ndata: " + strings.Repeat("x", 10_000) + "\n\n", []string{"4"}, io.EOF},
		"too long":             {"data: " + strings.Repeat("x", 300_000), nil, eventstream.ErrTooLong},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := eventstream.NewReader(iotest.OneByteReader(strings.NewReader(tt.stream)), newMemory())
			var ids []string
			for {
				e, err := r.Next()
				if err != nil {
					is.True(errors.Is(err, tt.err))
					break
				}
				if !e.HasID {
					e.ID.Text = "none"
				}
				ids = append(ids, e.ID.Text)
			}
			is.Equal(ids, tt.ids)
		})
	}
}

// Guards against a faulty engine that fills the memory of the process with events that do not end.
func TestLongEventsTakeMemory(t *testing.T) {
	event := func(bytes int) string { return "data: " + strings.Repeat("x", bytes) + "\n\n" }
	tests := map[string]struct {
		limit      int64
		stream     string
		events     int
		err        error
		least      int64
		takesAtAll bool
	}{
		"short events take none":   {0, event(4000) + event(4000), 2, io.EOF, 0, false},
		"a long one is taken":      {1 << 20, event(100_000), 1, io.EOF, 100_000, true},
		"and returned":             {600_000, event(100_000) + event(100_000) + event(100), 3, io.EOF, 100_000, true},
		"no memory is left":        {100_000, event(100) + event(100_000), 1, eventstream.ErrMemory, 20_000, true},
		"no memory, and no end":    {100_000, "data: " + strings.Repeat("x", 200_000), 0, eventstream.ErrMemory, 20_000, true},
		"no memory, in many lines": {100_000, strings.Repeat("data: x\n", 20_000), 0, eventstream.ErrMemory, 20_000, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := &testMemory{limit: tt.limit}
			r := eventstream.NewReader(strings.NewReader(tt.stream), m)
			events := 0
			_, err := r.Next()
			for ; err == nil; _, err = r.Next() {
				events++
			}
			is.True(errors.Is(err, tt.err))
			is.Equal(events, tt.events)
			is.True(m.peak >= tt.least)
			is.Equal(m.peak > 0, tt.takesAtAll)
			r.Release()
			is.Equal(m.taken, int64(0))
		})
	}
}

// FuzzNext checks that the events that are read form a prefix of the stream, for any bytes that an upstream sends.
func FuzzNext(f *testing.F) {
	for _, seed := range []string{"", "id: 1\ndata: x\n\n", "id:\n\n\n", "data: \x00\r\n\r\n", "id: 99999999999999999999\n\n"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, stream []byte) {
		r := eventstream.NewReader(strings.NewReader(string(stream)), newMemory())
		var read []byte
		for {
			e, err := r.Next()
			if err != nil {
				break
			}
			read = append(read, e.Raw...)
		}
		if !strings.HasPrefix(string(stream), string(read)) {
			t.Fatalf("read %q from %q", read, stream)
		}
	})
}
