package scenario

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/rotisserie/eris"
)

const (
	scriptDirectory = "testdata"
	// maxConcurrentFleets limits the number of fleets, and thereby of processes, that run at the same time.
	maxConcurrentFleets = 3
	// addressByteValues is the number of values that the last three bytes of a loopback address may each have.
	addressByteValues = 250
)

var (
	naiveFlag = flag.String("naive", "", "switch these mechanisms off, joined by commas; the scripts are then expected to fail")
	runFlag   = flag.String("script", "", "run only the scripts whose name contains this")

	programs = []string{
		"gooseberrypin.example/entry/cmd/gooseberry-entry",
		"gooseberrypin.example/sidecar/cmd/gooseberry-sidecar",
		"gooseberrypin.example/gooseberryctl/cmd/gooseberryctl",
		"gooseberrypin.example/standin/cmd/gooseberry-standin",
	}
)

type (
	// suite is shared by all tests of the package. It has the programs, which are built once, and creates the
	// state of each script.
	suite struct {
		binaries           string
		disabledMechanisms []string
		// fleetSlots is a semaphore with maxConcurrentFleets slots.
		fleetSlots chan struct{}
		// hostCount is the number of loopback addresses assigned up to now.
		hostCount atomic.Int64

		mu sync.Mutex
		// faults are the data races and panics of all fleets that were not returned by takeFaults yet.
		faults []string
	}
)

var shared *suite

func TestMain(m *testing.M) {
	flag.Parse()
	directory, err := os.MkdirTemp("", "gooseberry-scenario-")
	if err == nil {
		err = build(directory)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, eris.ToString(err, false))
		os.Exit(1)
	}
	shared = &suite{binaries: directory, fleetSlots: make(chan struct{}, maxConcurrentFleets)}
	if *naiveFlag != "" {
		shared.disabledMechanisms = strings.Split(*naiveFlag, ",")
	}
	code := m.Run()
	_ = os.RemoveAll(directory)
	os.Exit(code)
}

func TestScenarios(t *testing.T) {
	t.Cleanup(func() {
		for _, fault := range shared.takeFaults() {
			t.Error(fault)
		}
	})
	testscript.Run(t, shared.params(scriptFiles(t, *runFlag), shared.disabledMechanisms))
}

// build builds the programs with the race detector into a directory.
func build(directory string) error {
	arguments := append([]string{"build", "-race", "-o", directory + string(filepath.Separator)}, programs...)
	output, err := exec.Command("go", arguments...).CombinedOutput()
	return eris.Wrapf(err, "build: %s", output)
}

// scriptFiles returns the paths of the scripts whose name contains nameFilter and which KNOWN-RED.txt does not
// list. It fails the test if there are none.
func scriptFiles(t *testing.T, nameFilter string) []string {
	paths, err := filepath.Glob(filepath.Join(scriptDirectory, "*.txtar"))
	if err != nil {
		t.Fatal(err)
	}
	var files []string
	excluded := knownRedScripts(t)
	for _, file := range paths {
		if strings.Contains(filepath.Base(file), nameFilter) && !slices.Contains(excluded, filepath.Base(file)) {
			files = append(files, file)
		}
	}
	if len(files) == 0 {
		t.Fatalf("no script has %q in its name, other than those in KNOWN-RED.txt", nameFilter)
	}
	return files
}

func (su *suite) params(files, disabledMechanisms []string) testscript.Params {
	return testscript.Params{
		Files:               files,
		RequireExplicitExec: true,
		Setup:               func(e *testscript.Env) error { return su.setup(e, disabledMechanisms) },
		Cmds:                commands(),
	}
}

// setup creates the state of a script once a fleet slot is free. The script itself creates its fleet with the
// command fleet.
func (su *suite) setup(e *testscript.Env, disabledMechanisms []string) error {
	su.fleetSlots <- struct{}{}
	s := newScriptState(e.WorkDir, su.binaries, su.host(), disabledMechanisms)
	e.Values[scriptStateKey{}] = s
	e.Setenv("PATH", su.binaries+string(os.PathListSeparator)+e.Getenv("PATH"))
	e.Defer(func() {
		s.close(e.T())
		su.addFaults(e.WorkDir, s)
		<-su.fleetSlots
	})
	return nil
}

// host returns a different loopback address at each call, so that no other process binds a port that a
// fleet has reserved. Addresses repeat after addressByteValues calls.
func (su *suite) host() string {
	n := su.hostCount.Add(1)
	return fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%addressByteValues, 1+os.Getpid()/addressByteValues%addressByteValues, 1+n%addressByteValues)
}

// addFaults records the faults of a script, prefixed with the name of its directory.
func (su *suite) addFaults(directory string, s *scriptState) {
	su.mu.Lock()
	defer su.mu.Unlock()
	for _, fault := range s.faults {
		su.faults = append(su.faults, filepath.Base(directory)+": "+fault)
	}
}

// takeFaults returns the recorded faults and removes them.
func (su *suite) takeFaults() []string {
	su.mu.Lock()
	defer su.mu.Unlock()
	list := su.faults
	su.faults = nil
	return list
}
