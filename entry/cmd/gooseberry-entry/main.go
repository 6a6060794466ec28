// Command gooseberry-entry faces callers, keeps their requests and decides where they run.
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
	description = "Faces callers, keeps their requests and decides where they run. SIGTERM drains: what runs is finished first."
)

type (
	daemon struct {
		command.Flags
		CallerAddress string `help:"IP:port that partners call."`

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
