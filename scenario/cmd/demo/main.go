// Command demo starts a complete fleet on loopback, sends requests through it and stops it. It fails if a request
// is not answered, an answer is incomplete or a booking runs more than once.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/rotisserie/eris"

	"gooseberrypin.example/scenario/fleet"
)

type (
	command struct {
		Bin  string `help:"Directory of the built programs." default:"bin" type:"existingdir"`
		Keep bool   `help:"Keep the fleet running until interrupted, and print its addresses."`
		Logs string `help:"Directory for settings and logs. Default: a temporary directory that is removed at exit."`
	}
)

func main() {
	var c command
	kong.Parse(&c, kong.Name("demo"), kong.Description("Start a fleet on loopback, send requests through it and stop it."))
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	if err := c.run(ctx, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, eris.ToString(err, false))
		os.Exit(1)
	}
}

func (c *command) run(ctx context.Context, out io.Writer) error {
	directory, remove, err := c.directory()
	if err != nil {
		return err
	}
	defer remove()
	f, err := fleet.New(fleet.Layout{Entries: 2, Prefill: 2, Decode: 2, Services: 2}, directory, c.Bin)
	if err != nil {
		return err
	}
	defer f.Close()
	if err := f.Start(); err != nil {
		return err
	}
	fmt.Fprintf(out, "started: %s\n", strings.Join(f.Names(), " "))
	t, err := serve(ctx, f, out)
	if err != nil {
		return err
	}
	if err := c.status(ctx, f, out); err != nil {
		return err
	}
	if c.Keep {
		printAddresses(f, out)
		<-ctx.Done()
	}
	if err := f.Stop(); err != nil {
		return err
	}
	fmt.Fprintf(out, "stopped: all processes\n%s\n", t)
	return t.err()
}

// directory returns the directory for settings and logs, and a function that removes it if it is temporary.
func (c *command) directory() (string, func(), error) {
	if c.Logs != "" {
		return c.Logs, func() {}, eris.Wrap(os.MkdirAll(c.Logs, 0o755), "logs")
	}
	directory, err := os.MkdirTemp("", "gooseberry-demo-")
	return directory, func() { _ = os.RemoveAll(directory) }, eris.Wrap(err, "logs")
}

// status runs gooseberryctl status on all operator addresses and prints its output.
func (c *command) status(ctx context.Context, f *fleet.Fleet, out io.Writer) error {
	arguments := append([]string{"status"}, f.OperatorAddresses()...)
	fmt.Fprintf(out, "$ gooseberryctl %s\n", strings.Join(arguments, " "))
	run := exec.CommandContext(ctx, filepath.Join(c.Bin, "gooseberryctl"), arguments...)
	run.Stdout, run.Stderr = out, out
	return eris.Wrap(run.Run(), "gooseberryctl status")
}
