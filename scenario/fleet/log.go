package fleet

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"sync"
)

const (
	// tailLines is the number of log lines that are kept for a report.
	tailLines = 60
)

type (
	// Event is one numbered line of a process's log.
	Event struct {
		Number       int    `json:"event"`
		Address      string `json:"address"`
		AdminAddress string `json:"admin_address"`
	}

	// logCollector keeps the events and the last lines of a process's log.
	logCollector struct {
		mu      sync.Mutex
		copy    io.Writer
		rest    []byte
		tail    []string
		events  []Event
		faults  []string
		changed chan struct{}
	}
)

func newLogCollector(w io.Writer) *logCollector {
	return &logCollector{copy: w, changed: make(chan struct{})}
}

// Write implements io.Writer.
func (l *logCollector) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, err := l.copy.Write(p); err != nil {
		return 0, err
	}
	l.rest = append(l.rest, p...)
	for {
		line, rest, found := bytes.Cut(l.rest, []byte("\n"))
		if !found {
			return len(p), nil
		}
		l.rest = rest
		l.add(line)
	}
}

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

// find returns the first event of a number after the given position.
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

// isFault tells whether a line reports a data race or a broken invariant.
func isFault(line string) bool {
	return strings.Contains(line, "WARNING: DATA RACE") ||
		strings.HasPrefix(line, "panic:") ||
		strings.HasPrefix(line, "fatal error:")
}
