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
	// Command is the subcommand platform.
	Command struct {
		Listen        string   `help:"IP:port of the read-only protocol." default:"127.0.0.1:0"`
		Admin         string   `help:"IP:port to publish, change the mode and count reads." default:"127.0.0.1:0"`
		Configuration []string `help:"JSON files with the first configuration; their lists are joined." type:"existingfile"`
		VMs           string   `name:"vms" help:"JSON file with the first VM list." type:"existingfile"`
	}
)

// Run implements the subcommand.
func (c *Command) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	p := New()
	if err := c.publish(p); err != nil {
		return err
	}
	return c.serve(ctx, p, event.NewLog(os.Stderr, "platform"))
}

func (c *Command) publish(p *Platform) error {
	if len(c.Configuration) > 0 {
		body, err := joined(c.Configuration)
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

// joined returns one configuration with the lists of all files.
func joined(files []string) ([]byte, error) {
	all := configuration.Configuration{}
	for _, file := range files {
		content, err := os.ReadFile(file)
		if err != nil {
			return nil, eris.Wrap(err, "platform")
		}
		next := configuration.Configuration{Revision: all.Revision, Limits: all.Limits}
		if err := json.Unmarshal(content, &next); err != nil {
			return nil, eris.Wrap(err, file)
		}
		all.Revision = next.Revision
		all.Limits = next.Limits
		all.Upstreams = append(all.Upstreams, next.Upstreams...)
		all.Pools = append(all.Pools, next.Pools...)
		all.Rules = append(all.Rules, next.Rules...)
		all.Partners = append(all.Partners, next.Partners...)
	}
	return json.Marshal(all)
}

func (c *Command) serve(ctx context.Context, p *Platform, log event.Log) error {
	readers, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return eris.Wrap(err, "platform")
	}
	admins, err := net.Listen("tcp", c.Admin)
	if err != nil {
		return eris.Wrap(err, "platform")
	}
	failed := make(chan error, 2)
	servers := []*http.Server{fleet.NewServer(p.Reader()), fleet.NewServer(p.Admin())}
	go func() { failed <- servers[0].Serve(readers) }()
	go func() { failed <- servers[1].Serve(admins) }()
	log.Info(event.StandinListening, "address", readers.Addr().String(), "admin_address", admins.Addr().String())
	select {
	case err := <-failed:
		return eris.Wrap(err, "platform")
	case <-ctx.Done():
		return stopAll(servers)
	}
}

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
