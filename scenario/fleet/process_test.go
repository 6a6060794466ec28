package fleet

import (
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

const (
	childVariable = "FLEET_TEST_CHILD"
	childReady    = 77
)

func TestMain(m *testing.M) {
	if os.Getenv(childVariable) != "" {
		child()
		return
	}
	os.Exit(m.Run())
}

// child runs in the child process. It logs the ready event and exits on SIGTERM.
func child() {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM)
	fmt.Fprintf(os.Stderr, "{\"event\":%d}\n", childReady)
	<-stop
}

func newChild(t *testing.T) *Process {
	t.Setenv(childVariable, "1")
	return &Process{Name: "child", program: os.Args[0], readyEvent: childReady, log: newLogCollector(io.Discard)}
}

func TestProcessRestartsAfterEachExit(t *testing.T) {
	is := is.New(t)
	p := newChild(t)
	is.NoErr(p.Start())
	is.True(p.Start() != nil) // already running
	is.NoErr(p.Stop())
	is.NoErr(p.Start())
	is.NoErr(p.Freeze())
	is.NoErr(p.Thaw())
	is.NoErr(p.Freeze())
	is.NoErr(p.Kill())
	is.True(!p.Running())
	is.True(p.Stop() != nil) // not running
	is.Equal(p.Starts(), 2)
}

func TestProcessThatExitsBeforeListening(t *testing.T) {
	is := is.New(t)
	p := newChild(t)
	p.arguments = []string{"-test.run=^$"}
	t.Setenv(childVariable, "")
	is.True(p.Start() != nil) // exited before it listened
}

func TestLogCollectorFindsFaults(t *testing.T) {
	is := is.New(t)
	l := newLogCollector(io.Discard)
	fmt.Fprint(l, "{\"event\":5}\nWARNING: DATA")
	fmt.Fprint(l, " RACE\npanic: x\nfine\n")
	is.Equal(l.faultLines(), []string{"WARNING: DATA RACE", "panic: x"})
	_, found, _ := l.find(5, 0)
	is.True(found)
	_, found, _ = l.find(5, 1)
	is.True(!found) // skips the first event
}
