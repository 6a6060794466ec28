package scenario

import (
	"fmt"
	"runtime"
	"strings"
	"sync"

	"github.com/rogpeppe/go-internal/testscript"
)

type (
	// recorder implements testscript.T for a script that is expected to fail. It records the log and whether the
	// script failed, and does not fail the test.
	recorder struct {
		mu     sync.Mutex
		failed bool
		log    strings.Builder
	}
)

// runRecorded runs one script, reports whether it failed and returns its log.
func runRecorded(p testscript.Params) (failed bool, log string) {
	r := &recorder{}
	r.Run("", func(t testscript.T) { testscript.RunT(t, p) })
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failed, r.log.String()
}

// Run implements testscript.T. It runs f in a goroutine of its own, which FailNow and Skip end.
func (r *recorder) Run(_ string, f func(testscript.T)) {
	var done sync.WaitGroup
	done.Go(func() { f(r) })
	done.Wait()
}

// Skip implements testscript.T. A skipped script counts as passed.
func (r *recorder) Skip(args ...any) {
	r.Log(args...)
	runtime.Goexit()
}

// Fatal implements testscript.T.
func (r *recorder) Fatal(args ...any) {
	r.Log(args...)
	r.FailNow()
}

// FailNow implements testscript.T.
func (r *recorder) FailNow() {
	r.mu.Lock()
	r.failed = true
	r.mu.Unlock()
	runtime.Goexit()
}

// Log implements testscript.T.
func (r *recorder) Log(args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintln(&r.log, args...)
}

// Parallel implements testscript.T.
func (r *recorder) Parallel() {}

// Verbose implements testscript.T.
func (r *recorder) Verbose() bool { return false }
