package gooseberryctl

import (
	"fmt"
	"os"

	"github.com/rotisserie/eris"

	"gooseberrypin.example/entry"
	platform "gooseberrypin.example/platform/settings"
	"gooseberrypin.example/router/configuration"
	"gooseberrypin.example/router/settings"
	"gooseberrypin.example/sidecar"
)

type (
	// CheckCommand checks a configuration file, or the settings of a process.
	CheckCommand struct {
		File     string `arg:"" type:"existingfile" help:"JSON file to check."`
		Settings string `enum:"no,entry,sidecar,platform" default:"no" help:"Kind of process whose settings the file contains, or no for a configuration: ${enum}."`
	}

	// DiffCommand compares two configuration files.
	DiffCommand struct {
		Old string `arg:"" type:"existingfile" help:"File with the configuration in force."`
		New string `arg:"" type:"existingfile" help:"File with the configuration to publish."`
	}

	// checkResult is the JSON output of the command check.
	checkResult struct {
		Valid  bool                  `json:"valid"`
		Faults []configuration.Fault `json:"faults"`
	}
)

// Run implements the command.
func (c *CheckCommand) Run(o *output) error {
	if c.Settings != "no" {
		return c.checkSettings(o)
	}
	content, err := os.ReadFile(c.File)
	if err != nil {
		return eris.Wrap(err, "check")
	}
	read, faults := configuration.Read(content)
	if len(faults) == 0 {
		_, faults = configuration.Build(configuration.Split(read))
	}
	rows := make([][]string, 0, len(faults))
	for _, f := range faults {
		rows = append(rows, []string{f.String()})
	}
	result := checkResult{Valid: len(faults) == 0, Faults: append([]configuration.Fault{}, faults...)}
	if err := o.print(result, []string{"FAULT"}, rows); err != nil {
		return err
	}
	if len(faults) > 0 {
		return &faultError{message: fmt.Sprintf("%s: %d fault(s)", c.File, len(faults))}
	}
	o.printLine("%s: revision %d is valid: %d upstreams, %d pools, %d rules, %d partners", c.File, read.Revision,
		len(read.Upstreams), len(read.Pools), len(read.Rules), len(read.Partners))
	return nil
}

// checkSettings loads and checks the file in the same way as the process does when it starts.
func (c *CheckCommand) checkSettings(o *output) error {
	var target interface{ Check() error }
	switch c.Settings {
	case "entry":
		target = &entry.Settings{}
	case "sidecar":
		target = &sidecar.Settings{}
	case "platform":
		target = &platform.Settings{}
	}
	err := settings.Load(c.File, target)
	if err == nil {
		err = target.Check()
	}
	if err != nil {
		return &faultError{message: fmt.Sprintf("%s: %v", c.File, err)}
	}
	o.printLine("%s: the settings are valid", c.File)
	return nil
}

// Run implements the command.
func (c *DiffCommand) Run(o *output) error {
	before, err := readIndex(c.Old)
	if err != nil {
		return err
	}
	after, err := readIndex(c.New)
	if err != nil {
		return err
	}
	d := configuration.Diff(before, after)
	rows := make([][]string, 0, len(d.Upstreams))
	for _, u := range d.Upstreams {
		rows = append(rows, []string{
			u.Upstream, string(u.Change), joinOrDash(u.OldPools), joinOrDash(u.NewPools), orDash(string(u.OldRole)), orDash(string(u.NewRole)),
		})
	}
	header := []string{"UPSTREAM", "CHANGE", "OLD POOLS", "NEW POOLS", "OLD ROLE", "NEW ROLE"}
	if err := o.print(d, header, rows); err != nil {
		return err
	}
	o.printLine("revision %d -> %d; pools changed: %s; rules: %s; partners: %s; limits changed: %v",
		d.OldRevision, d.NewRevision, joinOrDash(d.Pools), joinOrDash(d.Rules), joinOrDash(d.Partners), d.Limits)
	if d.NewRevision <= d.OldRevision {
		return &faultError{message: fmt.Sprintf("revision %d is not above %d: no process would install it", d.NewRevision, d.OldRevision)}
	}
	return nil
}

// readIndex returns the index of a configuration file, or an error if the file has faults.
func readIndex(file string) (*configuration.Index, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(err, "read")
	}
	c, faults := configuration.Read(content)
	if len(faults) > 0 {
		return nil, &faultError{message: fmt.Sprintf("%s: %d fault(s), the first is: %s", file, len(faults), faults[0])}
	}
	return configuration.NewIndex(c)
}
