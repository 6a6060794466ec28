// Package partner is a client that resends at once.
package partner

import (
	"github.com/rotisserie/eris"
)

type (
	// Command is the subcommand partner.
	Command struct{}
)

// Run implements the subcommand.
func (c *Command) Run() error {
	return eris.New("partner: not built yet")
}
