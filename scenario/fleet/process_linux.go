package fleet

import (
	"os/exec"
	"syscall"
)

// killWithParent makes the kernel send SIGKILL to the process when its parent exits.
func killWithParent(c *exec.Cmd) {
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
}
