package platform

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"gooseberrypin.example/router/adapter/fleet"
	"gooseberrypin.example/router/configuration"
	"gooseberrypin.example/router/event"
)

const (
	stopTimeout = time.Second
)

type (
	// Command is the subcommand platform with its flags.
	Command struct {
		Listen        string   `help:"IP:port of the read-only protocol." default:"127.0.0.1:0"`
		Admin         string   `help:"IP:port of the admin protocol, which publishes content, sets the mode and returns read counts." default:"127.0.0.1:0"`
		Configuration []string `help:"JSON files with the initial configuration. Their lists are concatenated." type:"existingfile"`
		VMs           string   `name:"vms" help:"JSON file with the initial VM list." type:"existingfile"`
	}
)

// Run publishes the initial content and serves until SIGINT or SIGTERM.
func (c *Command) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	p := New()
	if err := c.publish(p); err != nil {
		return err
	}
	return c.serve(ctx, p, event.NewLog(os.Stderr, "platform"))
}

// publish publishes the initial configuration and VM list, if given.
func (c *Command) publish(p *Platform) error {
	if len(c.Configuration) > 0 {
		body, err := mergeFiles(c.Configuration)
		if err != nil {
			return err
		}
		if _, err := p.Publish(body); err != nil {
			return err
		}
	}
	if c.VMs == "" {
		return nil
	}
	body, err := os.ReadFile(c.VMs)
	if err != nil {
		return eris.Wrap(err, "platform")
	}
	_, err = p.PublishVMs(body)
	return err
}

// mergeFiles returns one configuration as JSON with the concatenated lists of all files. A later file replaces the
// revision and the limits that it sets.
func mergeFiles(files []string) ([]byte, error) {
	merged := configuration.Configuration{}
	for _, file := range files {
		content, err := os.ReadFile(file)
		if err != nil {
			return nil, eris.Wrap(err, "platform")
		}
		next := configuration.Configuration{Revision: merged.Revision, Limits: merged.Limits}
		if err := json.Unmarshal(content, &next); err != nil {
			return nil, eris.Wrap(err, file)
		}
		merged.Revision = next.Revision
		merged.Limits = next.Limits
		merged.Upstreams = append(merged.Upstreams, next.Upstreams...)
		merged.Pools = append(merged.Pools, next.Pools...)
		merged.Rules = append(merged.Rules, next.Rules...)
		merged.Partners = append(merged.Partners, next.Partners...)
	}
	return json.Marshal(merged)
}

func (c *Command) serve(ctx context.Context, p *Platform, log event.Log) error {
	readListener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return eris.Wrap(err, "platform")
	}
	adminListener, err := net.Listen("tcp", c.Admin)
	if err != nil {
		return eris.Wrap(err, "platform")
	}
	failed := make(chan error, 2)
	servers := []*http.Server{fleet.NewServer(p.ReadHandler()), fleet.NewServer(p.AdminHandler())}
	go func() { failed <- servers[0].Serve(readListener) }()
	go func() { failed <- servers[1].Serve(adminListener) }()
	log.Info(event.StandinListening, "address", readListener.Addr().String(), "admin_address", adminListener.Addr().String())
	select {
	case err := <-failed:
		return eris.Wrap(err, "platform")
	case <-ctx.Done():
		return stopAll(servers)
	}
}

// stopAll waits up to stopTimeout for open requests, then closes the connections.
func stopAll(servers []*http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	for _, s := range servers {
		if s.Shutdown(ctx) != nil {
			_ = s.Close()
		}
	}
	return nil
}
