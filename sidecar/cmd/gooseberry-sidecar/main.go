// Command gooseberry-sidecar stands beside one model engine or plain service.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"gooseberrypin.example/router/configuration"
	"gooseberrypin.example/router/event"
	"gooseberrypin.example/router/settings"
	"gooseberrypin.example/sidecar"
)

const (
	version          = "0.1.0"
	settingsExitCode = 2
	failedExitCode   = 1
)

type (
	flags struct {
		Settings        string           `required:"" type:"existingfile" help:"JSON file with the settings; flags override it."`
		Name            string           `help:"Name of the process, unique in the fleet."`
		VM              string           `name:"vm" help:"Name of the VM in the platform's list."`
		FleetAddress    string           `help:"IP:port that serves the system's own processes."`
		OperatorAddress string           `help:"IP:port that serves metrics, the state dump and drain."`
		PlatformAddress string           `help:"IP:port of the platform's configuration service."`
		Upstream        string           `help:"Name of the upstream in the configuration."`
		UpstreamAddress string           `help:"IP:port of the upstream itself."`
		Kind            string           `help:"Kind of the upstream: engine or service."`
		Version         kong.VersionFlag `help:"Print the version and exit."`
	}
)

func main() {
	var f flags
	k, err := kong.New(&f,
		kong.Name("gooseberry-sidecar"),
		kong.Description("Stands beside one model engine or plain service and owns its memory, leases and bookings. "+
			"SIGTERM drains: what runs is finished first."),
		kong.Vars{"version": version})
	if err != nil {
		panic(err)
	}
	if _, err := k.Parse(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(settingsExitCode)
	}
	os.Exit(run(&f))
}

func run(f *flags) int {
	s, err := read(f)
	log := event.NewLog(os.Stderr, s.Name)
	if err != nil {
		log.Error(err, event.SettingsRefused)
		return settingsExitCode
	}
	if s.Seed == 0 {
		s.Seed = rand.Uint64()
	}
	terminated := make(chan os.Signal, 1)
	signal.Notify(terminated, syscall.SIGTERM, syscall.SIGINT)
	stop := make(chan struct{})
	go func() {
		<-terminated
		close(stop)
	}()
	if err := sidecar.NewSidecar(*s, rand.New(rand.NewPCG(s.Seed, 0)), log).Serve(stop); err != nil {
		log.Error(err, event.ServeFailed)
		return failedExitCode
	}
	return 0
}

func read(f *flags) (*sidecar.Settings, error) {
	s := &sidecar.Settings{}
	if err := settings.Load(f.Settings, s); err != nil {
		return s, err
	}
	settings.Override(&s.Name, f.Name)
	settings.Override(&s.VM, f.VM)
	settings.Override(&s.FleetAddress, f.FleetAddress)
	settings.Override(&s.OperatorAddress, f.OperatorAddress)
	settings.Override(&s.PlatformAddress, f.PlatformAddress)
	settings.Override(&s.Upstream, f.Upstream)
	settings.Override(&s.UpstreamAddress, f.UpstreamAddress)
	if f.Kind != "" {
		s.Kind = configuration.Kind(f.Kind)
	}
	return s, s.Check()
}
