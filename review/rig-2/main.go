// Command rig runs one case of the review against processes of the project. See REPORT-2.md.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

var (
	root, temp string
	trouble    bool
	began      = time.Now()
	record     *os.File
	recordMu   sync.Mutex
	ends       []func()
	cases      = map[string]func() bool{}
)

// note writes a line to the record.
func note(format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	fmt.Fprintf(record, "%8.3f  %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, args...))
}

// atEnd runs a function at the end of the case.
func atEnd(f func()) { ends = append(ends, f) }

func main() { os.Exit(run()) }

// run returns 1 if the rule was broken, 0 if it held and 2 if the case could not run.
func run() (code int) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FOLDER")
		return 2
	}
	var err error
	if root, err = os.Getwd(); err != nil {
		return 2
	}
	if record, err = os.Create(filepath.Join(os.Args[2], "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if temp, err = os.MkdirTemp("", "review-2-"); err != nil {
		return 2
	}
	trouble = os.Getenv("TROUBLE") != "0"
	defer func() {
		if r := recover(); r != nil {
			note("could not run: %v", r)
			fmt.Fprintln(os.Stderr, r)
			code = 2
		}
		for i := len(ends) - 1; i >= 0; i-- {
			ends[i]()
		}
		if os.Getenv("KEEP") == "" {
			os.RemoveAll(temp)
		} else {
			fmt.Fprintln(os.Stderr, temp)
		}
		note("exit %d", code)
		record.Close()
	}()
	time.AfterFunc(115*time.Second, func() {
		note("could not run: over 115 s")
		os.Exit(2)
	})
	note("trouble: %v", trouble)
	if cases[os.Args[1]]() {
		return 1
	}
	return 0
}
