package gooseberryctl

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"gooseberrypin.example/router/event"
)

const (
	// relatedWindow is the time before the end of a request in which lines about its upstreams are shown. It exceeds the
	// longest ejection, which is four seconds.
	relatedWindow = 10 * time.Second
)

type (
	// logLine is a line of a process's log.
	logLine struct {
		Time    time.Time `json:"time"`
		Process string    `json:"process"`
		Event   int       `json:"event"`
		Message string    `json:"msg"`
		Request string    `json:"request"`
		// Upstream is the one that answered or was tried last. Source is the engine that prefilled the prompt.
		Upstream string `json:"upstream"`
		Source   string `json:"source"`
		// Limited are the upstreams that were passed over because their limits were used up.
		Limited []string `json:"limited"`
		// Reason, Ran and Why describe a refusal. Cause is the last failure of an upstream.
		Reason string `json:"reason"`
		Ran    string `json:"ran"`
		Why    string `json:"why"`
		Cause  string `json:"cause"`
		Status int    `json:"status"`
		// fields contains all fields of the line.
		fields map[string]any
	}
)

// explainRequest prints the log lines of a request, the related lines about its upstreams, and its outcome.
func explainRequest(o *output, id string, files []string) error {
	lines, err := readLogs(files)
	if err != nil {
		return err
	}
	requestLines := slices.DeleteFunc(slices.Clone(lines), func(l logLine) bool { return l.Request != id })
	if len(requestLines) == 0 {
		return &faultError{message: fmt.Sprintf("no log line of request %q: check that --log includes the log of the entry that received the request, and whether that log reports dropped lines (event %d)", id, event.LinesDropped.Number)}
	}
	for _, l := range related(lines, requestLines) {
		if err := l.print(o.out); err != nil {
			return err
		}
	}
	_, err = fmt.Fprintln(o.out, requestLines[len(requestLines)-1].conclusion())
	return eris.Wrap(err, "output")
}

// readLogs returns the log lines of all files, sorted by time. It skips text before a line's JSON, and lines without JSON or
// without an event.
func readLogs(files []string) ([]logLine, error) {
	var lines []logLine
	for _, name := range files {
		content, err := os.ReadFile(name)
		if err != nil {
			return nil, eris.Wrap(err, "log")
		}
		for line := range bytes.Lines(content) {
			if l, ok := parseLine(string(line)); ok {
				lines = append(lines, l)
			}
		}
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.Time.Compare(b.Time) })
	return lines, nil
}

// parseLine returns the log line in a line of text, or false if there is none.
func parseLine(text string) (logLine, bool) {
	var l logLine
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return l, false
	}
	content := []byte(text[start:])
	if json.Unmarshal(content, &l) != nil || json.Unmarshal(content, &l.fields) != nil {
		return l, false
	}
	return l, l.Event != 0
}

// related returns the lines of a request together with lines from the same processes about its upstreams, such as
// ejections, within relatedWindow before the request's last line.
func related(lines, requestLines []logLine) []logLine {
	end := requestLines[len(requestLines)-1]
	upstreams, processes := map[string]bool{}, map[string]bool{}
	for _, l := range requestLines {
		upstreams[l.Upstream], upstreams[l.Source], processes[l.Process] = true, true, true
		for _, id := range l.Limited {
			upstreams[id] = true
		}
	}
	delete(upstreams, "")
	return slices.DeleteFunc(slices.Clone(lines), func(l logLine) bool {
		if l.Request != "" {
			return l.Request != end.Request
		}
		withinWindow := !l.Time.After(end.Time) && end.Time.Sub(l.Time) <= relatedWindow
		// Some lines name the incarnation of an upstream, as ID@START.
		id, _, _ := strings.Cut(l.Upstream, "@")
		return !withinWindow || !processes[l.Process] || !upstreams[id]
	})
}

// print writes the line with its fields sorted by name. It omits empty strings and zeros.
func (l logLine) print(w io.Writer) error {
	var names []string
	for name := range l.fields {
		switch name {
		case "time", "level", "msg", "process", "event", "request":
		default:
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var text strings.Builder
	for _, name := range names {
		if v := l.fields[name]; v != "" && v != 0.0 {
			fmt.Fprintf(&text, " %s=%v", name, v)
		}
	}
	_, err := fmt.Fprintf(w, "%s %s %d %s%s\n", l.Time.Format("15:04:05.000"), l.Process, l.Event, l.Message, text.String())
	return eris.Wrap(err, "output")
}

// conclusion returns a sentence about the outcome of the request, of which l is the last line.
func (l logLine) conclusion() string {
	switch {
	case l.Event == event.RequestServed.Number && l.Status >= 500:
		return fmt.Sprintf("Upstream %s itself answered with status %d.", l.Upstream, l.Status)
	case l.Event == event.RequestServed.Number:
		return fmt.Sprintf("Answered by upstream %s with status %d.", l.Upstream, l.Status)
	}
	text := fmt.Sprintf("Refused as %s (ran: %s): %s.", l.Reason, l.Ran, l.Why)
	if l.Cause != "" {
		text += fmt.Sprintf(" Last failure, at upstream %s: %s.", l.Upstream, l.Cause)
	}
	return text
}
