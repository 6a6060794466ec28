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
	// lowestPort and highestPort lie below the ports that the system hands out, so that
	// nobody is given a port between its release and the start of its process.
	lowestPort  = 10_000
	highestPort = 32_000
)

// listenFree listens at a free port of a host.
func listenFree(host string) (net.Listener, error) {
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
	return nil, eris.Errorf("listen: no free port at %s", host)
}
