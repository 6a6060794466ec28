package transfer_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrypin.example/router/transfer"
)

const (
	rate = 10e9
)

var (
	start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
)

// kvTransfer returns a transfer whose deadline is due after start, and whose KV cache expires after 800 ms.
func kvTransfer(attempt string, bytes int64, due time.Duration) transfer.Transfer {
	return transfer.Transfer{Attempt: attempt, Bytes: bytes, Deadline: start.Add(due), Expires: start.Add(800 * time.Millisecond)}
}

func TestLinkOrder(t *testing.T) {
	for name, test := range map[string]struct {
		waiting []transfer.Transfer
		want    string
	}{
		"by deadline":     {waiting: []transfer.Transfer{kvTransfer("a", 1e8, time.Second), kvTransfer("b", 1e8, 500*time.Millisecond)}, want: "b"},
		"by latest start": {waiting: []transfer.Transfer{kvTransfer("a", 1e8, time.Second), kvTransfer("b", 2e9, 1100*time.Millisecond)}, want: "b"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := transfer.NewLink(rate)
			for _, w := range test.waiting {
				l.Push(w)
			}
			first, found := l.Next(start)
			is.True(found)
			is.Equal(first.Attempt, test.want)
			_, found = l.Next(start)
			is.True(!found) // only one transfer may run at once
			l.Done(first.Attempt, 10*time.Millisecond)
			_, found = l.Next(start)
			is.True(found)
		})
	}
}

func TestLinkStalls(t *testing.T) {
	is := is.New(t)
	l := transfer.NewLink(rate, transfer.WithStallAfter(50*time.Millisecond))
	l.Push(kvTransfer("a", 1e9, time.Second))
	l.Next(start)
	l.Progress("a", 1e8, start.Add(40*time.Millisecond))
	is.Equal(len(l.Stalled(start.Add(80*time.Millisecond))), 0)
	l.Progress("a", 1e8, start.Add(80*time.Millisecond)) // no bytes more than before
	is.Equal(l.Stalled(start.Add(90 * time.Millisecond))[0].Bytes, int64(1e9))
	is.True(l.Remove("a"))
	l.Push(kvTransfer("b", 1e9, time.Second))
	is.Equal(len(l.Expired(start.Add(700*time.Millisecond))), 0)
	is.Equal(l.Expired(start.Add(701 * time.Millisecond))[0].Attempt, "b") // the transfer takes 100 ms
}

// BenchmarkLink measures queueing, starting and completing one transfer.
func BenchmarkLink(b *testing.B) {
	l := transfer.NewLink(rate)
	t := kvTransfer("a", 1e8, time.Second)
	b.ReportAllocs()
	for b.Loop() {
		l.Push(t)
		l.Next(start)
		l.Done("a", 10*time.Millisecond)
	}
}
