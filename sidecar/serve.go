package sidecar

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"gooseberrypin.example/router/adapter/fleet"
	"gooseberrypin.example/router/event"
)

const (
	drainTimeout    = 15 * time.Minute
	shutdownTimeout = 2 * time.Second
)

// Serve listens on the fleet and operator addresses and runs the sidecar. Once stop is closed or
// an operator requests a drain, it waits up to drainTimeout for running work and returns. It
// returns an error if it can't listen.
func (c *Sidecar) Serve(stop <-chan struct{}) error {
	fleetListener, err := net.Listen("tcp", c.settings.FleetAddress)
	if err != nil {
		return eris.Wrap(err, "fleet_address")
	}
	operatorListener, err := net.Listen("tcp", c.settings.OperatorAddress)
	if err != nil {
		_ = fleetListener.Close()
		return eris.Wrap(err, "operator_address")
	}
	c.SetFleetAddress(fleetListener.Addr().String())
	ctx, cancel := context.WithCancel(context.Background())
	drain := make(chan struct{})
	var once sync.Once
	startDrain := func() { once.Do(func() { close(drain) }) }
	fleetServer := fleet.NewServer(c.Handler())
	operatorServer := fleet.NewServer(c.OperatorHandler(startDrain))
	var wg sync.WaitGroup
	wg.Go(func() { c.Run(ctx) })
	wg.Go(func() { c.serveListener(fleetServer, fleetListener) })
	wg.Go(func() { c.serveListener(operatorServer, operatorListener) })
	c.log.Info(event.Listening,
		"fleet_address", fleetListener.Addr().String(),
		"operator_address", operatorListener.Addr().String())
	select {
	case <-stop:
	case <-drain:
	}
	c.drainWithTimeout()
	shutdown(fleetServer)
	shutdown(operatorServer)
	cancel()
	wg.Wait()
	c.log.Info(event.Stopped)
	return nil
}

func (c *Sidecar) drainWithTimeout() {
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	c.Drain(ctx)
}

func (c *Sidecar) serveListener(s *http.Server, l net.Listener) {
	if err := s.Serve(l); err != nil && !eris.Is(err, http.ErrServerClosed) {
		c.log.Error(err, event.ServeFailed, "address", l.Addr().String())
	}
}

// shutdown waits up to shutdownTimeout for open requests, then closes their connections.
func shutdown(s *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if s.Shutdown(ctx) != nil {
		_ = s.Close()
	}
}
