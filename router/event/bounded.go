package event

import (
	"io"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// maxQueuedLines is the maximum number of queued lines. It covers some seconds of load with a slow reader.
	maxQueuedLines = 1024
	// routineLinesPerSecond is the limit of lines per second about successful operations. Lines about failures
	// have a separate limit.
	routineLinesPerSecond = 200
	// failureLinesPerSecond is the limit of lines per second about failures.
	failureLinesPerSecond = 400
	// dropReportInterval is the interval at which the number of dropped lines is logged.
	dropReportInterval = 5 * time.Second
)

type (
	// Queue is a writer that never blocks. Lines are held in a bounded queue. When it is full, further lines
	// are dropped and counted.
	Queue struct {
		lines          chan []byte
		dropped        atomic.Int64
		closeRequested chan struct{}
		done           chan struct{}
	}

	// rateLimits bounds the lines of a log per second, and counts the lines above the bounds.
	rateLimits struct {
		routine *rate.Limiter
		failure *rate.Limiter
		queue   *Queue
	}
)

// NewQueue returns a queue whose lines are written to w by a goroutine that runs until Close.
func NewQueue(w io.Writer) *Queue {
	q := &Queue{lines: make(chan []byte, maxQueuedLines), closeRequested: make(chan struct{}), done: make(chan struct{})}
	go q.run(w)
	return q
}

// Write implements io.Writer. It adds the line to the queue or drops it, and never returns an error.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// nearlyFull reports whether more than half of the queue is used.
func (q *Queue) nearlyFull() bool {
	return len(q.lines) > maxQueuedLines/2
}

// Close writes the queued lines. It returns after the given time at the latest.
func (q *Queue) Close(timeout time.Duration) {
	close(q.closeRequested)
	select {
	case <-q.done:
	case <-time.After(timeout):
	}
}

// run writes queued lines until Close is called and the queue is empty.
func (q *Queue) run(w io.Writer) {
	defer close(q.done)
	for {
		select {
		case line := <-q.lines:
			q.writeLine(w, line)
			continue
		default:
		}
		select {
		case line := <-q.lines:
			q.writeLine(w, line)
		case <-q.closeRequested:
			return
		}
	}
}

// writeLine writes a line, and counts it as dropped if that fails.
func (q *Queue) writeLine(w io.Writer, line []byte) {
	if _, err := w.Write(line); err != nil {
		q.dropped.Add(1)
	}
}

// NewBoundedLog returns a log whose lines per second are bounded. Lines about failures have a separate bound,
// so that a burst of other lines does not cause them to be dropped.
func NewBoundedLog(q *Queue, process string) Log {
	l := NewLog(q, process)
	l.limits = &rateLimits{
		routine: rate.NewLimiter(routineLinesPerSecond, routineLinesPerSecond),
		failure: rate.NewLimiter(failureLinesPerSecond, failureLinesPerSecond),
		queue:   q,
	}
	return l
}

// ReportDropped logs the number of dropped lines every few seconds, if there are any, until stop is closed.
func (l Log) ReportDropped(stop <-chan struct{}) {
	if l.limits == nil {
		return
	}
	t := time.NewTicker(dropReportInterval)
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case <-t.C:
			if l.limits.queue.nearlyFull() {
				continue // The line would be dropped, and the number with it.
			}
			if n := l.limits.queue.dropped.Swap(0); n > 0 {
				unbounded := Log{logger: l.logger}
				unbounded.Error(nil, LinesDropped, "lines", n)
			}
		}
	}
}

// allowRoutine reports whether a line about a successful operation may be written. Without limits, all may.
func (r *rateLimits) allowRoutine() bool {
	return r == nil || r.allowLine(r.routine)
}

// allowFailure reports whether a line about a failure may be written. Without limits, all may.
func (r *rateLimits) allowFailure() bool {
	return r == nil || r.allowLine(r.failure)
}

// allowLine reports whether a limiter permits a line, and counts the line as dropped otherwise.
func (r *rateLimits) allowLine(l *rate.Limiter) bool {
	if l.Allow() {
		return true
	}
	r.queue.dropped.Add(1)
	return false
}
