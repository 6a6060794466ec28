// Command bench-capacity measures the marginal cost of each kind of item on this machine and prints a table.
package main

import (
	"fmt"
	"os"
	"runtime"

	"github.com/alecthomas/kong"
	"github.com/rotisserie/eris"

	"gooseberrypin.example/scenario/capacity"
)

type (
	command struct {
		Bin string `help:"Directory of the built programs." default:"bin" type:"existingdir"`
	}
)

func main() {
	var c command
	kong.Parse(&c, kong.Name("bench-capacity"), kong.Description("Print the marginal memory, processor time and network bytes of each kind of item on this machine."))
	if err := c.run(); err != nil {
		fmt.Fprintln(os.Stderr, eris.ToString(err, false))
		os.Exit(1)
	}
}

func (c *command) run() error {
	fmt.Printf("%s, %s, %d processors\n", runtime.Version(), runtime.GOARCH, runtime.NumCPU())
	fmt.Println(capacity.Header())
	for _, measure := range capacity.NewBench().All(c.Bin) {
		costs, err := measure()
		if err != nil {
			return err
		}
		for _, c := range costs {
			fmt.Println(c)
		}
	}
	return nil
}
