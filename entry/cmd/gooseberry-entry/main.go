// Command gooseberry-entry runs an entry: it serves callers, keeps their requests and routes them to upstreams.
package main

import (
	"context"
	"os"

	"gooseberrypin.example/entry"
	"gooseberrypin.example/router/command"
	"gooseberrypin.example/router/event"
	"gooseberrypin.example/router/settings"
)

const (
	description = "Serves callers, keeps their requests and routes them to upstreams. SIGTERM drains: running requests finish before the process stops."
)

type (
	daemon struct {
		command.Flags
		CallerAddress string `help:"IP:port that serves partners."`

		settings entry.Settings
	}
)

func main() {
	os.Exit(command.Run("gooseberry-entry", description, &daemon{}))
}

// Read implements command.Daemon.
func (d *daemon) Read() (string, error) {
	s := &d.settings
	if err := settings.Load(d.Settings, s); err != nil {
		return s.Name, err
	}
	d.Override(&s.Process)
	settings.Override(&s.CallerAddress, d.CallerAddress)
	return s.Name, s.Check()
}

// Serve implements command.Daemon.
func (d *daemon) Serve(log event.Log, stop <-chan struct{}) error {
	e := entry.New(d.settings, entry.WithLog(log))
	go func() {
		<-stop
		e.Drain()
	}()
	return e.Run(context.Background())
}
