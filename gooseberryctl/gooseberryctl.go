// Package gooseberryctl implements the command-line client for operators. It checks and compares configurations, and reads
// which revision each process has in force. It does not publish configurations.
package gooseberryctl

import (
	"fmt"
	"io"

	"github.com/alecthomas/kong"
)

const (
	// ExitOK means that the command succeeded and found no faults.
	ExitOK = 0
	// ExitFaults means that the command failed or found faults, that a revision is not in force on every process, or that
	// an address did not answer.
	ExitFaults = 1
	// ExitUsage means that the command line is not valid.
	ExitUsage = 2

	version     = "0.1.0"
	description = `Command-line client for operators of gooseberrypin.

Exit codes: 0 success; 1 the command failed, faults were found, a revision is not in force on every process, or an address did not answer; 2 the command line is not valid.

The environment variable GOOSEBERRY_OPERATOR_KEY contains the key for operators' addresses that require one.`
)

type (
	// Commands contains the commands and the global flags.
	Commands struct {
		Check   CheckCommand     `cmd:"" help:"Check a configuration or settings file with the code of the daemons, and list every fault."`
		Explain ExplainCommand   `cmd:"" help:"Show the pools and upstreams for a request, the pools of an upstream with the reasons, the log lines and outcome of one request, or where an entry would send a request now, and why."`
		Diff    DiffCommand      `cmd:"" help:"Show which upstreams change pool or role between two configuration files."`
		Status  StatusCommand    `cmd:"" help:"Show the revision in force, load and state of each process, and flag processes with an older revision."`
		Watch   WatchCommand     `cmd:"" help:"Wait until a revision is in force on every process, at most for the timeout, and show the state of each process."`
		Dump    DumpCommand      `cmd:"" help:"Print the state of one process."`
		Drain   DrainCommand     `cmd:"" help:"Start the planned stop of one process."`
		Init    InitCommand      `cmd:"" help:"Write an initial configuration."`
		JSON    bool             `help:"Print JSON for scripts."`
		Version kong.VersionFlag `help:"Print the version and exit."`
	}

	// output prints the result of a command as a table or as JSON.
	output struct {
		out  io.Writer
		json bool
	}

	// faultError reports a fault that a command found in its arguments, in a file or in a process.
	faultError struct {
		message string
	}
)

// Run parses and runs a command line and returns the exit code: ExitOK, ExitFaults or ExitUsage.
func Run(args []string, stdout, stderr io.Writer) (code int) {
	var c Commands
	exited := false
	k, err := kong.New(&c,
		kong.Name("gooseberryctl"),
		kong.Description(description),
		kong.Vars{"version": version},
		kong.Writers(stdout, stderr),
		kong.Exit(func(int) { exited = true }))
	if err != nil {
		panic(err)
	}
	parsed, err := k.Parse(args)
	if exited {
		return ExitOK
	}
	if err != nil {
		fmt.Fprintln(stderr, "gooseberryctl:", err)
		return ExitUsage
	}
	if err := parsed.Run(&output{out: stdout, json: c.JSON}); err != nil {
		fmt.Fprintln(stderr, "gooseberryctl:", err)
		return ExitFaults
	}
	return ExitOK
}

// Error implements error.
func (f *faultError) Error() string {
	return f.message
}
