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
	scripts = "testdata"
	// fleetsAtOnce bounds the processes that run at the same time.
	fleetsAtOnce = 3
	// highestHost bounds one byte of a loopback address.
	highestHost = 250
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
	// bench builds the programs once and gives each script a fleet of its own.
	bench struct {
		binaries string
		naive    []string
		seats    chan struct{}
		next     atomic.Int64

		mu     sync.Mutex
		faults []string
	}
)

var shared *bench

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
	shared = &bench{binaries: directory, seats: make(chan struct{}, fleetsAtOnce)}
	if *naiveFlag != "" {
		shared.naive = strings.Split(*naiveFlag, ",")
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
	testscript.Run(t, shared.params(scriptFiles(t, *runFlag), shared.naive))
}

// build builds the programs with the race detector.
func build(directory string) error {
	arguments := append([]string{"build", "-race", "-o", directory + string(filepath.Separator)}, programs...)
	output, err := exec.Command("go", arguments...).CombinedOutput()
	return eris.Wrapf(err, "build: %s", output)
}

func scriptFiles(t *testing.T, part string) []string {
	all, err := filepath.Glob(filepath.Join(scripts, "*.txtar"))
	if err != nil {
		t.Fatal(err)
	}
	var files []string
	red := knownRed(t)
	for _, file := range all {
		if strings.Contains(filepath.Base(file), part) && !slices.Contains(red, filepath.Base(file)) {
			files = append(files, file)
		}
	}
	if len(files) == 0 {
		t.Fatalf("no script outside KNOWN-RED.txt has %q in its name", part)
	}
	return files
}

func (b *bench) params(files, naive []string) testscript.Params {
	return testscript.Params{
		Files:               files,
		RequireExplicitExec: true,
		Setup:               func(e *testscript.Env) error { return b.setup(e, naive) },
		Cmds:                commands(),
	}
}

// setup gives a script its stage; the fleet is built by the command fleet.
func (b *bench) setup(e *testscript.Env, naive []string) error {
	b.seats <- struct{}{}
	s := newStage(e.WorkDir, b.binaries, b.host(), naive)
	e.Values[stageKey{}] = s
	e.Setenv("PATH", b.binaries+string(os.PathListSeparator)+e.Getenv("PATH"))
	e.Defer(func() {
		s.close(e.T())
		b.addFaults(e.WorkDir, s)
		<-b.seats
	})
	return nil
}

// host returns a loopback address of its own for each script, so that no other
// process takes a port that was reserved.
func (b *bench) host() string {
	n := b.next.Add(1)
	return fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%highestHost, 1+os.Getpid()/highestHost%highestHost, 1+n%highestHost)
}

func (b *bench) addFaults(directory string, s *stage) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, fault := range s.faults {
		b.faults = append(b.faults, filepath.Base(directory)+": "+fault)
	}
}

func (b *bench) takeFaults() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := b.faults
	b.faults = nil
	return list
}
