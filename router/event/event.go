// Package event is the catalogue of numbered log events. docs/EVENTS.md explains each.
package event

import (
	"io"
	"log/slog"

	"github.com/go-logr/logr"
)

const (
	// processField is the log field with the name of the process.
	processField = "process"
	numberField  = "event"
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
		// gate bounds the lines a second; nil: no bound.
		gate *gate
	}
)

// NewLog returns a log that writes JSON lines to w under the process's name.
func NewLog(w io.Writer, process string) Log {
	handler := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: slog.LevelInfo})
	return Log{logger: logr.FromSlogHandler(handler).WithValues(processField, process)}
}

// Discard returns a log that writes nothing.
func Discard() Log {
	return Log{logger: logr.Discard()}
}

// Info writes an event with alternating field names and values.
func (l Log) Info(e Event, fields ...any) {
	if !l.gate.passPlain() {
		return
	}
	l.logger.Info(e.Text, append([]any{numberField, e.Number}, fields...)...)
}

// Error writes an event with the error that caused it.
func (l Log) Error(err error, e Event, fields ...any) {
	if !l.gate.passFailure() {
		return
	}
	l.logger.Error(err, e.Text, append([]any{numberField, e.Number}, fields...)...)
}

// Warn writes an event about a request that was not served. It is dropped later than others.
func (l Log) Warn(e Event, fields ...any) {
	if !l.gate.passFailure() {
		return
	}
	l.logger.Info(e.Text, append([]any{numberField, e.Number}, fields...)...)
}
