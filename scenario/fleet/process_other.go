//go:build !linux

package fleet

import (
	"os/exec"
)

// killWithParent does nothing. A child process keeps running when its parent exits.
func killWithParent(*exec.Cmd) {}
