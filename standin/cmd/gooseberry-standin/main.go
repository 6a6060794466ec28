// Command gooseberry-standin runs stand-ins for external systems in tests and the demo.
package main

import (
	"github.com/alecthomas/kong"

	"gooseberrypin.example/standin/engine"
	"gooseberrypin.example/standin/partner"
	"gooseberrypin.example/standin/platform"
	"gooseberrypin.example/standin/service"
)

type (
	commands struct {
		Platform platform.Command `cmd:"" help:"Serve a configuration and a VM list, read-only, with an admin address for tests."`
		Engine   engine.Command   `cmd:"" help:"Serve as a model engine."`
		Service  service.Command  `cmd:"" help:"Serve as a plain service that counts the runs of each idempotency key."`
		Partner  partner.Command  `cmd:"" help:"Send requests of a partner and resend slow ones without backoff."`
	}
)

func main() {
	var c commands
	k := kong.Parse(&c,
		kong.Name("gooseberry-standin"),
		kong.Description("Stand-ins for external systems, for tests and the demo."))
	k.FatalIfErrorf(k.Run())
}
