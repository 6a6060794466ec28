// Command gooseberryctl is the operators' client.
package main

import (
	"os"

	"gooseberrypin.example/gooseberryctl"
)

func main() {
	os.Exit(gooseberryctl.Run(os.Args[1:], os.Stdout, os.Stderr))
}
