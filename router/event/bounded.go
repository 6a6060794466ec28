package event

import (
	"io"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// queuedLines is the number of lines that wait for a slow reader: some seconds of load.
	queuedLines = 1024
	// defaultPlainLines is the number of lines a second about what went well; lines about
	// failures come beside them.
	defaultPlainLines = 200
	// failureLines is the number of lines a second about failures.
	failureLines = 400
	// dropReport is how often dropped lines are told.
	dropReport = 5 * time.Second
)

type (
	// Queue is a writer that never blocks: lines wait in a bounded queue, and are dropped and
	// counted when it is full.
	Queue struct {
		lines   chan []byte
		dropped atomic.Int64
		closing chan struct{}
		done    chan struct{}
	}

	// gate bounds the lines of a log a second.
	gate struct {
		plain   *rate.Limiter
		failure *rate.Limiter
		dropped *atomic.Int64
	}
)

// NewQueue returns a queue in front of w.
func NewQueue(w io.Writer) *Queue {
	q := &Queue{lines: make(chan []byte, queuedLines), closing: make(chan struct{}), done: make(chan struct{})}
	go q.write(w)
	return q
}

// Write implements io.Writer. It takes the line or drops it.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes what waits, for at most the given time.
func (q *Queue) Close(wait time.Duration) {
	close(q.closing)
	select {
	case <-q.done:
	case <-time.After(wait):
	}
}

func (q *Queue) write(w io.Writer) {
	defer close(q.done)
	for {
		select {
		case line := <-q.lines:
			q.pass(w, line)
			continue
		default:
		}
		select {
		case line := <-q.lines:
			q.pass(w, line)
		case <-q.closing:
			return
		}
	}
}

func (q *Queue) pass(w io.Writer, line []byte) {
	if _, err := w.Write(line); err != nil {
		q.dropped.Add(1)
	}
}

// NewBoundedLog returns a log whose lines a second are bounded. Lines about failures have a bound
// of their own, so that a flood of others does not drop them.
func NewBoundedLog(q *Queue, process string) Log {
	l := NewLog(q, process)
	l.gate = &gate{
		plain:   rate.NewLimiter(defaultPlainLines, defaultPlainLines),
		failure: rate.NewLimiter(failureLines, failureLines),
		dropped: &q.dropped,
	}
	return l
}

// ReportDropped writes the number of dropped lines now and then until stop is closed.
func (l Log) ReportDropped(stop <-chan struct{}) {
	if l.gate == nil {
		return
	}
	t := time.NewTicker(dropReport)
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case <-t.C:
			if n := l.gate.dropped.Swap(0); n > 0 {
				l.Error(nil, LinesDropped, "lines", n)
			}
		}
	}
}

// passPlain reports whether a line about what went well is written. No gate lets all pass.
func (g *gate) passPlain() bool {
	return g == nil || g.allow(g.plain)
}

// passFailure is passPlain for a line about a failure.
func (g *gate) passFailure() bool {
	return g == nil || g.allow(g.failure)
}

func (g *gate) allow(l *rate.Limiter) bool {
	if l.Allow() {
		return true
	}
	g.dropped.Add(1)
	return false
}
