// Package service is a plain service that records each run of a key.
package service

import (
	"github.com/rotisserie/eris"
)

type (
	// Command is the subcommand service.
	Command struct{}
)

// Run implements the subcommand.
func (c *Command) Run() error {
	return eris.New("service: not built yet")
}
