package service

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"gooseberrypin.example/router/event"
)

const (
	headerTimeout = 5 * time.Second
)

type (
	// Command is the subcommand service with its flags.
	Command struct {
		Listen  string `help:"IP:port to serve. Port 0 takes a free one." default:"127.0.0.1:0"`
		DelayMS int64  `help:"Delay before a call is answered, in milliseconds." name:"delay-ms" default:"0"`
	}
)

// Run serves until SIGINT or SIGTERM.
func (c *Command) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return eris.Wrap(err, "service")
	}
	event.NewLog(os.Stderr, "service").Info(event.StandinListening, "address", listener.Addr().String())
	service := New(time.Duration(c.DelayMS) * time.Millisecond)
	server := &http.Server{Handler: service.Handler(), ReadHeaderTimeout: headerTimeout}
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	if err := server.Serve(listener); !eris.Is(err, http.ErrServerClosed) {
		return eris.Wrap(err, "service")
	}
	return nil
}
