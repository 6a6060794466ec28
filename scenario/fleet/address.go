package fleet

import (
	"errors"
	"math/rand/v2"
	"net"
	"strconv"
	"syscall"

	"github.com/rotisserie/eris"
)

const (
	// lowestPort and highestPort bound the ports of a fleet. They lie below the ephemeral port range, so that the
	// kernel does not assign a port to another socket between its release and the start of its process.
	lowestPort  = 10_000
	highestPort = 32_000
)

// listenOnFreePort listens on a free port of a host. It starts its search at a random port, so that fleets that
// start at the same time rarely try the same ports.
func listenOnFreePort(host string) (net.Listener, error) {
	const ports = highestPort - lowestPort
	first := rand.IntN(ports)
	for i := range ports {
		port := lowestPort + (first+i)%ports
		l, err := net.Listen("tcp", net.JoinHostPort(host, strconv.Itoa(port)))
		if err == nil {
			return l, nil
		}
		if !errors.Is(err, syscall.EADDRINUSE) {
			return nil, eris.Wrap(err, "listen")
		}
	}
	return nil, eris.Errorf("listen: no free port on %s", host)
}
