// Command gooseberry-standin takes the place of outside systems in tests and the demo.
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
		Service  service.Command  `cmd:"" help:"Serve as a plain service that records each run of a key."`
		Partner  partner.Command  `cmd:"" help:"Send requests and resend them at once when an answer is slow."`
	}
)

func main() {
	var c commands
	k := kong.Parse(&c,
		kong.Name("gooseberry-standin"),
		kong.Description("Stand-ins for outside systems, for tests and the demo."))
	k.FatalIfErrorf(k.Run())
}
