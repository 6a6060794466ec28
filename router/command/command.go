// Package command implements the common command line of the daemons.
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

	// logFlushTimeout bounds the time for writing the remaining log lines before the process exits.
	logFlushTimeout = 200 * time.Millisecond
)

type (
	// Flags are the flags of every daemon. A flag overrides the setting of the same name.
	Flags struct {
		Settings        string           `required:"" type:"existingfile" help:"JSON file with the settings; flags override it."`
		Name            string           `help:"Name of the process, unique in the fleet."`
		VM              string           `name:"vm" help:"Name of the VM in the platform's list."`
		FleetAddress    string           `help:"IP:port that serves the system's own processes."`
		OperatorAddress string           `help:"IP:port that serves metrics, the state dump and drain."`
		PlatformAddress string           `help:"IP:port of the platform's configuration service."`
		Version         kong.VersionFlag `help:"Print the version and exit."`
	}

	// Daemon is a program that Run starts. Its exported fields define the flags.
	Daemon interface {
		// Read loads the settings from the file that the flags name, applies the flags, checks the result and returns
		// the name of the process.
		Read() (name string, err error)
		// Serve serves until the drain that begins when stop is closed has completed.
		Serve(log event.Log, stop <-chan struct{}) error
	}
)

// Override replaces each setting whose flag is not empty.
func (f *Flags) Override(p *settings.Process) {
	settings.Override(&p.Name, f.Name)
	settings.Override(&p.VM, f.VM)
	settings.Override(&p.FleetAddress, f.FleetAddress)
	settings.Override(&p.OperatorAddress, f.OperatorAddress)
	settings.Override(&p.PlatformAddress, f.PlatformAddress)
}

// Run parses the command line into the daemon d, serves and returns the exit code. The code is 2 for an invalid command
// line or invalid settings and 1 for a failure while serving.
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
	defer lines.Close(logFlushTimeout)
	log := event.NewBoundedLog(lines, process)
	returned := make(chan struct{})
	defer close(returned)
	go log.ReportDropped(returned)
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

// terminated returns a channel that is closed when the process receives SIGTERM or SIGINT.
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
