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
	// Command is the subcommand partner with its flags.
	Command struct {
		Entries         []string `name:"entry" required:"" help:"IP:port of an entry's caller address. Repeat or separate by commas."`
		Credential      string   `required:"" help:"Credential of the partner."`
		Kind            Kind     `enum:"generate,call,mixed" default:"mixed" help:"Requests to send: ${enum}."`
		Models          []string `name:"model" help:"Models of generations, used in round-robin order."`
		Services        []string `name:"service" help:"Services of calls, used in round-robin order."`
		Path            string   `default:"/bookings" help:"Path of calls."`
		MaxOutputTokens int32    `default:"0" help:"Maximum number of output tokens. 0 uses the limit of the rule."`
		Requests        int      `default:"10" help:"Number of requests."`
		Concurrency     int      `default:"4" help:"Maximum number of concurrent requests."`
		IntervalMS      int64    `name:"interval-ms" default:"0" help:"Pause after the start of each request, in milliseconds."`
		PatienceMS      int64    `name:"patience-ms" default:"2000" help:"Time without a first token or an answer after which another attempt starts, in milliseconds."`
		TimeoutMS       int64    `name:"timeout-ms" default:"30000" help:"Time after which a request is abandoned, in milliseconds."`
		Tries           int      `default:"100" help:"Maximum number of attempts of a request."`
		ClockOffsetMS   int64    `name:"clock-offset-ms" default:"0" help:"Offset added to the creation time of keys, in milliseconds."`
		HeedRetryAfter  bool     `help:"Wait for the retry-after time of a refusal instead of resending immediately."`
		Seed            uint64   `default:"1" help:"Seed of the requests."`
	}
)

// Run sends the requests and writes the report to the standard output as JSON.
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
