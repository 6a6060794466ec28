// Command gooseberryctl is the command-line client for operators.
package main

import (
	"os"

	"gooseberrypin.example/gooseberryctl"
)

func main() {
	os.Exit(gooseberryctl.Run(os.Args[1:], os.Stdout, os.Stderr))
}
