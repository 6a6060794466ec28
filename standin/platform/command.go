// Package platform serves the configuration and the VM list as the platform does.
package platform

import (
	"github.com/rotisserie/eris"
)

type (
	// Command is the subcommand platform.
	Command struct{}
)

// Run implements the subcommand.
func (c *Command) Run() error {
	return eris.New("platform: not built yet")
}
