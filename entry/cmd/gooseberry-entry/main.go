// Command gooseberry-entry faces callers, keeps their requests and decides where they run.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"gooseberrypin.example/entry"
	"gooseberrypin.example/router/settings"
)

const (
	version       = "0.1.0"
	exitUsage     = 2
	exitFailed    = 1
	signalBacklog = 2
)

type (
	flags struct {
		Settings        string           `required:"" type:"existingfile" help:"JSON file with the settings; flags override it."`
		Name            string           `help:"Name of this process, unique in the fleet."`
		CallerAddress   string           `help:"IP:port that partners call."`
		FleetAddress    string           `help:"IP:port for the system's own processes."`
		OperatorAddress string           `help:"IP:port for metrics, the state dump and drain."`
		PlatformAddress string           `help:"IP:port of the platform's configuration service."`
		Version         kong.VersionFlag `help:"Print the version and exit."`
	}
)

func main() {
	var f flags
	k, err := kong.New(&f,
		kong.Name("gooseberry-entry"),
		kong.Description("Faces callers, keeps their requests and decides where they run. SIGTERM drains: what runs is finished first."),
		kong.Vars{"version": version})
	if err != nil {
		panic(err)
	}
	if _, err := k.Parse(os.Args[1:]); err != nil {
		fail(exitUsage, err)
	}
	s, err := f.read()
	if err != nil {
		fail(exitUsage, err)
	}
	e := entry.New(s, entry.WithLog(os.Stderr))
	go drainOnSignal(e)
	if err := e.Run(context.Background()); err != nil {
		fail(exitFailed, err)
	}
}

// read loads the settings, applies the flags and checks the result.
func (f *flags) read() (entry.Settings, error) {
	var s entry.Settings
	if err := settings.Load(f.Settings, &s); err != nil {
		return s, err
	}
	settings.Override(&s.Name, f.Name)
	settings.Override(&s.CallerAddress, f.CallerAddress)
	settings.Override(&s.FleetAddress, f.FleetAddress)
	settings.Override(&s.OperatorAddress, f.OperatorAddress)
	settings.Override(&s.PlatformAddress, f.PlatformAddress)
	return s, s.Check()
}

func drainOnSignal(e *entry.Entry) {
	signals := make(chan os.Signal, signalBacklog)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	e.Drain()
}

func fail(code int, err error) {
	fmt.Fprintln(os.Stderr, "gooseberry-entry:", err)
	os.Exit(code)
}
