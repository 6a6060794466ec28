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
	// Command is the subcommand engine with its flags.
	Command struct {
		Listen            string   `default:"127.0.0.1:0" help:"IP:port to serve; port 0 takes a free one."`
		Pieces            int      `default:"64" help:"Pieces of memory for streams."`
		PieceTokens       int64    `default:"4096" help:"Tokens that fit in one piece."`
		StepMS            float64  `default:"20" help:"Duration of a decode step with an empty batch, in milliseconds."`
		StepPerStreamUS   int64    `default:"500" help:"Duration that each stream adds to a decode step, in microseconds."`
		PrefillTokensPerS int64    `default:"40000" name:"prefill-tokens-per-s" help:"Prompt tokens prefilled per second."`
		LinkBytesPerS     int64    `default:"100000000" name:"link-bytes-per-s" help:"Rate at which KV caches are exported, in bytes per second."`
		KVBytesPerToken   int64    `default:"64" name:"kv-bytes-per-token" help:"Size of the KV cache of one token, in bytes."`
		KVLifeMS          int64    `default:"800" name:"kv-life-ms" help:"Lifetime of an exported KV cache, in milliseconds."`
		ReportLagMS       int64    `default:"500" help:"Maximum age of a load report, in milliseconds."`
		CacheBlocks       int      `default:"4096" help:"Maximum number of blocks in the prefix cache."`
		HeedsFencing      bool     `help:"Reject an order whose fencing number is not higher than the last accepted one."`
		ChecksOrders      bool     `help:"Reject an order without the order key."`
		OrderKey          string   `help:"Key that orders must carry with --checks-orders."`
		CrashMarker       string   `help:"Text in a prompt that makes the process exit with code 70."`
		Role              string   `help:"Initial role; empty serves both roles."`
		Models            []string `help:"Initial models; empty serves any model."`
	}
)

// Run serves until the listener fails.
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
