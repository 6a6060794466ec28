package fleet

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"sync"
)

const (
	// tailLines is the number of log lines that are stored for error messages.
	tailLines = 60
)

type (
	// Event is one line with an event number in a process's log.
	Event struct {
		Number       int    `json:"event"`
		Address      string `json:"address"`
		AdminAddress string `json:"admin_address"`
	}

	// logCollector writes a process's log to output. It stores the events, the faults and the last tailLines
	// lines.
	logCollector struct {
		mu     sync.Mutex
		output io.Writer
		// partialLine is the start of a line whose end was not written yet.
		partialLine []byte
		tail        []string
		events      []Event
		faults      []string
		// changed is closed and replaced when an event is added.
		changed chan struct{}
	}
)

func newLogCollector(w io.Writer) *logCollector {
	return &logCollector{output: w, changed: make(chan struct{})}
}

// Write implements io.Writer.
func (l *logCollector) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, err := l.output.Write(p); err != nil {
		return 0, err
	}
	l.partialLine = append(l.partialLine, p...)
	for {
		line, rest, found := bytes.Cut(l.partialLine, []byte("\n"))
		if !found {
			return len(p), nil
		}
		l.partialLine = rest
		l.add(line)
	}
}

// add stores one complete line.
func (l *logCollector) add(line []byte) {
	text := string(line)
	l.tail = append(l.tail, text)
	if len(l.tail) > tailLines {
		l.tail = l.tail[1:]
	}
	if isFault(text) {
		l.faults = append(l.faults, text)
	}
	var e Event
	if json.Unmarshal(line, &e) != nil || e.Number == 0 {
		return
	}
	l.events = append(l.events, e)
	close(l.changed)
	l.changed = make(chan struct{})
}

// find returns the first event with the given number, not counting the first `after` events. The channel changed is
// closed when another event is added.
func (l *logCollector) find(number, after int) (event Event, found bool, changed <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.events[after:] {
		if e.Number == number {
			return e, true, l.changed
		}
	}
	return Event{}, false, l.changed
}

// count returns the number of events so far.
func (l *logCollector) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.events)
}

func (l *logCollector) eventCounts() map[int]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := make(map[int]int)
	for _, e := range l.events {
		counts[e.Number]++
	}
	return counts
}

func (l *logCollector) lastLines() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Join(l.tail, "\n")
}

func (l *logCollector) faultLines() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.faults...)
}

// isFault reports whether a line is the start of a data race report, a panic or a fatal error of the Go runtime.
func isFault(line string) bool {
	return strings.Contains(line, "WARNING: DATA RACE") ||
		strings.HasPrefix(line, "panic:") ||
		strings.HasPrefix(line, "fatal error:")
}
