// Package engine serves prefills, KV caches and token streams as a model engine does.
package engine

import (
	"net"
	"net/http"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"gooseberrypin.example/router/event"
)

const (
	processName   = "engine"
	headerTimeout = 5 * time.Second
)

type (
	// Command is the subcommand engine.
	Command struct {
		Listen            string   `default:"127.0.0.1:0" help:"IP:port to serve; port 0 takes a free one."`
		Pieces            int      `default:"64" help:"Pieces of memory for streams."`
		PieceTokens       int64    `default:"4096" help:"Tokens that fit in one piece."`
		StepMS            float64  `default:"20" help:"Time of one decode step with an empty batch."`
		StepPerStreamUS   int64    `default:"500" help:"Time that each stream adds to a step."`
		PrefillTokensPerS int64    `default:"40000" name:"prefill-tokens-per-s" help:"Prompt tokens computed a second."`
		LinkBytesPerS     int64    `default:"100000000" name:"link-bytes-per-s" help:"Rate at which KV caches are exported."`
		KVBytesPerToken   int64    `default:"64" name:"kv-bytes-per-token" help:"Size of a token's KV cache."`
		KVLifeMS          int64    `default:"800" name:"kv-life-ms" help:"Time after which an exported KV cache is gone."`
		ReportLagMS       int64    `default:"500" help:"Age that a load report may have."`
		CacheBlocks       int      `default:"4096" help:"Blocks of prompt prefixes that the cache holds."`
		HeedsFencing      bool     `help:"Refuse an order with an old fencing number."`
		ChecksOrders      bool     `help:"Refuse an order without the order key."`
		OrderKey          string   `help:"Key that orders must carry with --checks-orders."`
		CrashMarker       string   `help:"A prompt with this text kills the process with code 70."`
		Role              string   `help:"Role at the start; empty serves both."`
		Models            []string `help:"Models at the start; empty serves any."`
	}
)

// Run implements the subcommand.
func (c *Command) Run() error {
	if c.ChecksOrders && c.OrderKey == "" {
		return eris.New("engine: --checks-orders needs --order-key")
	}
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return eris.Wrap(err, "engine")
	}
	event.NewLog(os.Stderr, processName).Info(event.StandinListening, "address", listener.Addr().String())
	server := &http.Server{Handler: NewEngine(*c, os.Exit).Handler(), ReadHeaderTimeout: headerTimeout}
	return eris.Wrap(server.Serve(listener), "engine")
}
