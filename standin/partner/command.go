package partner

import (
	"context"
	"encoding/json"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

type (
	// Command is the subcommand partner.
	Command struct {
		Entries         []string `name:"entry" required:"" help:"IP:port of an entry's caller address. Repeat or separate by commas."`
		Credential      string   `required:"" help:"Credential of the partner."`
		Kind            Kind     `enum:"generate,call,mixed" default:"mixed" help:"Requests to send: ${enum}."`
		Models          []string `name:"model" help:"Models to ask, in turn."`
		Services        []string `name:"service" help:"Services to call, in turn."`
		Path            string   `default:"/bookings" help:"Path of calls."`
		MaxOutputTokens int32    `default:"0" help:"Bound of an answer. 0 takes the rule's."`
		Requests        int      `default:"10" help:"Number of requests."`
		Concurrency     int      `default:"4" help:"Requests at once."`
		IntervalMS      int64    `name:"interval-ms" default:"0" help:"Time between starts of requests, in milliseconds."`
		PatienceMS      int64    `name:"patience-ms" default:"2000" help:"Wait for a first token or an answer before a resend, in milliseconds."`
		TimeoutMS       int64    `name:"timeout-ms" default:"30000" help:"Time until a request is given up, in milliseconds."`
		Tries           int      `default:"100" help:"Bound of the tries of a request."`
		ClockOffsetMS   int64    `name:"clock-offset-ms" default:"0" help:"Error of the clock that dates the keys, in milliseconds."`
		HeedRetryAfter  bool     `help:"Wait as long as a refusal says, in place of resending at once."`
		Seed            uint64   `default:"1" help:"Seed of the requests."`
	}
)

// Run implements the subcommand. The report goes to the standard output as JSON.
func (c *Command) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	l := c.load()
	if err := l.Check(); err != nil {
		return err
	}
	report := New(c.Credential, c.Entries, c.options()...).Run(ctx, l)
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	return eris.Wrap(e.Encode(report), "partner")
}

func (c *Command) load() Load {
	return Load{
		Requests:        c.Requests,
		Concurrency:     c.Concurrency,
		Kind:            c.Kind,
		Models:          c.Models,
		Services:        c.Services,
		Path:            c.Path,
		MaxOutputTokens: c.MaxOutputTokens,
		Seed:            c.Seed,
		ClockOffset:     time.Duration(c.ClockOffsetMS) * time.Millisecond,
		Interval:        time.Duration(c.IntervalMS) * time.Millisecond,
	}
}

func (c *Command) options() []Option {
	options := []Option{
		WithHedgeDelay(time.Duration(c.PatienceMS) * time.Millisecond),
		WithTimeout(time.Duration(c.TimeoutMS) * time.Millisecond),
		WithMaxAttempts(c.Tries),
	}
	if c.HeedRetryAfter {
		options = append(options, WithRetryAfter())
	}
	return options
}
