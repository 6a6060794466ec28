package fleet

import (
	"errors"
	"math/rand/v2"
	"net"
	"strconv"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// lowestPort and highestPort bound the ports of a fleet. They lie below the ephemeral port range, so that the
	// kernel does not assign a port to another socket between its release and the start of its process.
	lowestPort  = 10_000
	highestPort = 32_000
	// releaseTimeout bounds the wait for processes that are being started.
	releaseTimeout = 2 * time.Second
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

// closeAll closes listeners and waits until their ports are free. A process that is being started has copies of them until it
// executes its program; none is started meanwhile.
func closeAll(listeners []net.Listener) error {
	syscall.ForkLock.Lock()
	defer syscall.ForkLock.Unlock()
	var failed error
	for _, l := range listeners {
		failed = errors.Join(failed, l.Close())
	}
	for _, l := range listeners {
		failed = errors.Join(failed, awaitFree(l.Addr().String()))
	}
	return failed
}

// awaitFree waits until a port is free. The caller holds ForkLock, so that no process gets a copy of the probing listener.
func awaitFree(address string) error {
	for limit := time.Now().Add(releaseTimeout); ; time.Sleep(time.Millisecond) {
		l, err := net.Listen("tcp", address)
		switch {
		case err == nil:
			return eris.Wrap(l.Close(), "release port")
		case time.Now().After(limit):
			return eris.Wrap(err, "release port")
		}
	}
}
