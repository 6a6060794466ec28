package fleet

import (
	"context"
	"net"
	"os/exec"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// Guards against ports that are still in use when a process is to listen on them: a process that another test starts at the same
// time has a copy of the listener that reserved them until it executes its program.
func TestReleasedPortsAreFree(t *testing.T) {
	const rounds, starters = 1500, 8
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var tasks sync.WaitGroup
	for range starters {
		tasks.Go(func() {
			for ctx.Err() == nil {
				// The outcome does not matter.
				_ = exec.Command("true").Run()
			}
		})
	}
	inUse := 0
	for range rounds {
		l, err := listenOnFreePort("127.0.0.1")
		is.NoErr(err)
		is.NoErr(closeAll([]net.Listener{l}))
		again, err := net.Listen("tcp", l.Addr().String())
		if err != nil {
			inUse++
			continue
		}
		is.NoErr(again.Close())
	}
	cancel()
	tasks.Wait()
	is.Equal(inUse, 0) // ports that are still in use
}
