// Command gooseberry-sidecar runs the sidecar of one model engine or plain service.
package main

import (
	"math/rand/v2"
	"os"

	"gooseberrypin.example/router/command"
	"gooseberrypin.example/router/configuration"
	"gooseberrypin.example/router/event"
	"gooseberrypin.example/router/settings"
	"gooseberrypin.example/sidecar"
)

const (
	description = "Runs beside one model engine or plain service and manages its memory, leases and bookings. " +
		"SIGTERM drains: running work completes before the process exits."
)

type (
	daemon struct {
		command.Flags
		Upstream        string `help:"Name of the upstream in the configuration."`
		UpstreamAddress string `help:"IP:port of the upstream itself."`
		Kind            string `help:"Kind of the upstream: engine or service."`

		settings sidecar.Settings
	}
)

func main() {
	os.Exit(command.Run("gooseberry-sidecar", description, &daemon{}))
}

// Read implements command.Daemon.
func (d *daemon) Read() (string, error) {
	s := &d.settings
	if err := settings.Load(d.Settings, s); err != nil {
		return s.Name, err
	}
	d.Override(&s.Process)
	settings.Override(&s.Upstream, d.Upstream)
	settings.Override(&s.UpstreamAddress, d.UpstreamAddress)
	if d.Kind != "" {
		s.Kind = configuration.Kind(d.Kind)
	}
	return s.Name, s.Check()
}

// Serve implements command.Daemon.
func (d *daemon) Serve(log event.Log, stop <-chan struct{}) error {
	if d.settings.Seed == 0 {
		d.settings.Seed = rand.Uint64()
	}
	random := rand.New(rand.NewPCG(d.settings.Seed, 0))
	return sidecar.NewSidecar(d.settings, random, log).Serve(stop)
}
