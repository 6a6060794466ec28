package main

import (
	"fmt"
	"io"
	"strings"

	"gooseberrypin.example/scenario/fleet"
)

// printAddresses prints the fleet's addresses and an example request.
func printAddresses(f *fleet.Fleet, out io.Writer) {
	caller, err := f.CallerAddress("entry1")
	if err != nil {
		fmt.Fprintln(out, err)
		return
	}
	fmt.Fprintf(out, "caller address of entry1: %s\n", caller)
	fmt.Fprintf(out, "operator addresses: %s\n", strings.Join(f.OperatorAddresses(), " "))
	fmt.Fprintf(out, "platform: %s, accepts new configurations at %s\n", f.PlatformAddress(), f.PlatformAdminAddress())
	fmt.Fprintf(out, "\n%s\n\n", curl(caller))
	fmt.Fprintln(out, "running until interrupted")
}

// curl returns a command line that sends a generation to a caller address and receives the answer as JSON.
func curl(caller string) string {
	return fmt.Sprintf(`curl -s http://%s/gooseberry.caller.v1.Router/Complete \
  -H 'Content-Type: application/json' -H 'Authorization: Bearer %s' \
  -d '{"idempotencyKey":"quilt-1","model":"%s","prompt":"How is a cotton quilt washed?","maxOutputTokens":12}'`,
		caller, fleet.Credential(partnerName), fleet.Model)
}
