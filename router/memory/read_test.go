package memory_test

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"
	"time"

	"github.com/matryer/is"

	"gooseberrypin.example/router/memory"
)

var (
	errSource = errors.New("source failed")
)

func TestReadAll(t *testing.T) {
	content := bytes.Repeat([]byte("quilt"), 60_000)
	whole := func(size int) func() io.Reader {
		return func() io.Reader { return bytes.NewReader(content[:size]) }
	}
	tests := map[string]struct {
		source func() io.Reader
		length int64
		size   int
		err    error
	}{
		"stated length":         {whole(300_000), 300_000, 300_000, nil},
		"nothing":               {whole(0), 0, 0, nil},
		"unknown length":        {whole(300_000), -1, 300_000, nil},
		"unknown length, small": {whole(10), -1, 10, nil},
		"unknown, one piece":    {whole(4 << 10), -1, 4 << 10, nil},
		"byte by byte":          {func() io.Reader { return iotest.OneByteReader(bytes.NewReader(content[:9000])) }, -1, 9000, nil},
		"end with the data":     {func() io.Reader { return iotest.DataErrReader(bytes.NewReader(content[:9000])) }, 9000, 9000, nil},
		"too long, stated":      {whole(300_000), 300_001, 0, memory.ErrTooLong},
		"too long, unknown":     {func() io.Reader { return io.MultiReader(bytes.NewReader(content), bytes.NewReader(content)) }, -1, 0, memory.ErrTooLong},
		"source fails":          {func() io.Reader { return iotest.ErrReader(errSource) }, 10, 0, errSource},
		"source fails, unknown": {func() io.Reader { return iotest.ErrReader(errSource) }, -1, 0, errSource},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := memory.NewBudget(4 << 20)
			a := b.NewAllocation(ignore)
			got, err := a.ReadAll(t.Context(), tt.source(), tt.length, 300_000, time.Second)
			is.True(errors.Is(err, tt.err))
			if tt.err == nil {
				is.True(bytes.Equal(got, content[:tt.size]))
				is.True(b.Usage().Used >= int64(tt.size))
				is.True(b.Usage().Used <= int64(tt.size)+4<<10) // no more is held than what was read
			}
			a.Release()
			is.Equal(b.Usage().Used, int64(0))
		})
	}
}

// Guards against memory that is used before it is taken from the budget: nothing is read if none is left.
func TestReadAllTakesMemoryFirst(t *testing.T) {
	tests := map[string]int64{"stated length": 600 << 10, "unknown length": -1}
	for name, length := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := memory.NewBudget(256 << 10)
			source := bytes.NewReader(make([]byte, 600<<10))
			_, err := b.NewAllocation(ignore).ReadAll(t.Context(), source, length, 1<<20, 0)
			is.True(errors.Is(err, memory.ErrExhausted))
			is.True(source.Size()-int64(source.Len()) <= 256<<10)
		})
	}
}
