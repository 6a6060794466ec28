// Package command is what the command lines of the daemons share.
package command

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"gooseberrypin.example/router/event"
	"gooseberrypin.example/router/settings"
)

const (
	// Version is the version of all programs.
	Version = "0.1.0"

	exitFailed = 1
	exitUsage  = 2

	// logDrain is how long the last log lines may take to be written at the end.
	logDrain = 200 * time.Millisecond
)

type (
	// Flags are the flags of every daemon. They override its settings.
	Flags struct {
		Settings        string           `required:"" type:"existingfile" help:"JSON file with the settings; flags override it."`
		Name            string           `help:"Name of the process, unique in the fleet."`
		VM              string           `name:"vm" help:"Name of the VM in the platform's list."`
		FleetAddress    string           `help:"IP:port that serves the system's own processes."`
		OperatorAddress string           `help:"IP:port that serves metrics, the state dump and drain."`
		PlatformAddress string           `help:"IP:port of the platform's configuration service."`
		Version         kong.VersionFlag `help:"Print the version and exit."`
	}

	// Daemon is a program as its command line sees it.
	Daemon interface {
		// Read loads the settings from the file of the flags, applies the flags and checks the result.
		Read() (name string, err error)
		// Serve serves until a drain after stop is over.
		Serve(log event.Log, stop <-chan struct{}) error
	}
)

// Override applies the flags to the settings.
func (f *Flags) Override(p *settings.Process) {
	settings.Override(&p.Name, f.Name)
	settings.Override(&p.VM, f.VM)
	settings.Override(&p.FleetAddress, f.FleetAddress)
	settings.Override(&p.OperatorAddress, f.OperatorAddress)
	settings.Override(&p.PlatformAddress, f.PlatformAddress)
}

// Run parses the command line into the daemon d, serves, and returns the exit code: 2 for a
// bad command line or settings, 1 when serving failed.
func Run(name, description string, d Daemon) int {
	k, err := kong.New(d, kong.Name(name), kong.Description(description), kong.Vars{"version": Version})
	if err != nil {
		panic(err)
	}
	if _, err := k.Parse(os.Args[1:]); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		return exitUsage
	}
	process, err := d.Read()
	lines := event.NewQueue(os.Stdout)
	defer lines.Close(logDrain)
	log := event.NewBoundedLog(lines, process)
	ended := make(chan struct{})
	defer close(ended)
	go log.ReportDropped(ended)
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		log.Error(err, event.SettingsRefused)
		return exitUsage
	}
	if err := d.Serve(log, terminated()); err != nil {
		log.Error(err, event.ServeFailed)
		return exitFailed
	}
	return 0
}

// terminated returns a channel that is closed on SIGTERM or SIGINT.
func terminated() <-chan struct{} {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	stop := make(chan struct{})
	go func() {
		<-signals
		close(stop)
	}()
	return stop
}
