// Package event declares the numbered log events and writes them as JSON lines. docs/EVENTS.md describes
// each event.
package event

import (
	"io"
	"log/slog"

	"github.com/go-logr/logr"
)

const (
	// processField is the log field with the name of the process.
	processField = "process"
	// numberField is the log field with the number of the event.
	numberField = "event"
)

type (
	// Event is one kind of log line. Its number never changes.
	Event struct {
		Number int
		Text   string
	}

	// Log writes numbered events as JSON lines.
	Log struct {
		logger logr.Logger
		// limits bounds the lines per second. Nil means no bound.
		limits *rateLimits
	}
)

// NewLog returns a log that writes JSON lines to w. Each line contains the name of the process.
func NewLog(w io.Writer, process string) Log {
	handler := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: slog.LevelInfo})
	return Log{logger: logr.FromSlogHandler(handler).WithValues(processField, process)}
}

// Discard returns a log that writes nothing.
func Discard() Log {
	return Log{logger: logr.Discard()}
}

// Info writes an event that is not a failure. The fields are alternating names and values.
func (l Log) Info(e Event, fields ...any) {
	if !l.limits.allowRoutine() {
		return
	}
	l.logger.Info(e.Text, append([]any{numberField, e.Number}, fields...)...)
}

// Error writes an event about a failure with the error that caused it.
func (l Log) Error(err error, e Event, fields ...any) {
	if !l.limits.allowFailure() {
		return
	}
	l.logger.Error(err, e.Text, append([]any{numberField, e.Number}, fields...)...)
}

// Warn writes an event about a request that was not served. It is rate-limited as a failure, so that it is
// dropped later than the lines of Info.
func (l Log) Warn(e Event, fields ...any) {
	if !l.limits.allowFailure() {
		return
	}
	l.logger.Info(e.Text, append([]any{numberField, e.Number}, fields...)...)
}
