// Package engine serves prefills, KV caches and token streams as a model engine does.
package engine

import (
	"github.com/rotisserie/eris"
)

type (
	// Command is the subcommand engine.
	Command struct{}
)

// Run implements the subcommand.
func (c *Command) Run() error {
	return eris.New("engine: not built yet")
}
