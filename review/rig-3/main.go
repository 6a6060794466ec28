// Command rig3 plays the scripted cases of the third review: rig3 CASE FOLDER. It exits with 1 if the rule of the case was
// broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
)

func main() {
	cases := map[string]func(folder string){"part": part, "drill": drill, "ids": ids, "nodeadline": nodeadline, "slowread": slowread, "stale": stale, "copies": copies}
	if len(os.Args) > 1 && os.Args[1] == "engine" {
		serveEngine(os.Args[2:])
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig3 CASE FOLDER")
		os.Exit(2)
	}
	cases[os.Args[1]](os.Args[2])
}
