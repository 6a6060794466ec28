// Package fleet starts, stops and disturbs real processes of the system on loopback.
package fleet

import (
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"

	"github.com/rotisserie/eris"

	"gooseberrypin.example/router/configuration"
	"gooseberrypin.example/router/event"
	"gooseberrypin.example/router/vm"
	"gooseberrypin.example/standin/link"
)

const (
	// PlatformName is the process that stands in for the platform.
	PlatformName = "platform"
	// StandinListening is the event by which a stand-in tells that it listens.
	StandinListening = 9001

	fleetKey = "fleet-key-for-tests-only"
)

type (
	// Fleet is a platform, entries, and upstreams with their sidecars.
	Fleet struct {
		directory string
		binaries  string
		host      string
		naive     []string
		engine    []string
		linked    bool

		nodes         []*node
		byName        map[string]*node
		processes     map[string]*Process
		order         []string
		links         map[string]*link.Link
		linksTo       map[string][]*link.Link
		reserved      map[string][]net.Listener
		platform      string
		platformAdmin string

		mu            sync.Mutex
		configuration *configuration.Configuration
		vms           *vm.List
	}

	// Option changes how a fleet is built.
	Option func(*Fleet)
)

// New returns a fleet whose processes are not started yet. Logs and settings go to
// directory; the programs are taken from binaries.
func New(layout Layout, directory, binaries string, options ...Option) (*Fleet, error) {
	f := &Fleet{
		directory: directory,
		binaries:  binaries,
		host:      "127.0.0.1",
		nodes:     layout.nodes(),
		byName:    make(map[string]*node),
		processes: make(map[string]*Process),
		links:     make(map[string]*link.Link),
		linksTo:   make(map[string][]*link.Link),
		reserved:  make(map[string][]net.Listener),
	}
	for _, o := range options {
		o(f)
	}
	if err := f.reserveAddresses(); err != nil {
		f.Close()
		return nil, err
	}
	f.configuration = baseConfiguration(f.nodes)
	f.vms = baseVMs(f.nodes)
	if err := f.addProcesses(); err != nil {
		f.Close()
		return nil, err
	}
	for _, l := range f.links {
		l.Refuse()
	}
	return f, nil
}

// WithHost listens at another loopback address than 127.0.0.1.
func WithHost(host string) Option {
	return func(f *Fleet) { f.host = host }
}

// WithLinks puts a link that can be cut between each two processes.
func WithLinks() Option {
	return func(f *Fleet) { f.linked = true }
}

// WithNaive switches mechanisms off, named entry.MECHANISM or sidecar.MECHANISM.
func WithNaive(mechanisms ...string) Option {
	return func(f *Fleet) { f.naive = mechanisms }
}

// WithEngineArguments adds arguments to the command line of each engine.
func WithEngineArguments(arguments ...string) Option {
	return func(f *Fleet) { f.engine = arguments }
}

// Names returns the names of all processes in the order in which they start.
func (f *Fleet) Names() []string {
	return slices.Clone(f.order)
}

// Process returns a process by name, or an error that lists the names.
func (f *Fleet) Process(name string) (*Process, error) {
	p, found := f.processes[name]
	if !found {
		return nil, eris.Errorf("no process %q among %s", name, strings.Join(f.order, ", "))
	}
	return p, nil
}

// Start starts the processes that do not run yet and waits until they are ready. The
// platform has the configuration and the VM list before any other process starts.
func (f *Fleet) Start() error {
	for _, name := range f.order {
		if f.processes[name].Running() {
			continue
		}
		if err := f.StartOne(name); err != nil {
			return err
		}
	}
	return f.AwaitReady()
}

// StartOne starts one process; the platform gets the newest configuration and VM list.
func (f *Fleet) StartOne(name string) error {
	p, err := f.Process(name)
	if err != nil {
		return err
	}
	f.release(name)
	if err := p.Start(); err != nil {
		return err
	}
	if err := f.listenTo(name); err != nil {
		return err
	}
	if name == PlatformName {
		return f.publishAll()
	}
	return nil
}

// Stop ends all processes by SIGTERM: entries first, then sidecars, upstreams and the platform.
func (f *Fleet) Stop() error {
	var first error
	for _, name := range slices.Backward(f.order) {
		p := f.processes[name]
		if !p.Running() {
			continue
		}
		if err := p.Stop(); err != nil && first == nil {
			first = err
		}
	}
	return first
}

// Close kills what still runs and ends all links.
func (f *Fleet) Close() {
	for _, name := range slices.Backward(f.order) {
		if p := f.processes[name]; p.Running() {
			_ = p.Kill()
		}
	}
	for _, l := range f.links {
		l.Close()
	}
	for name := range f.reserved {
		f.release(name)
	}
}

// Faults returns the data races and panics that the processes reported.
func (f *Fleet) Faults() []string {
	var list []string
	for _, name := range f.order {
		for _, line := range f.processes[name].Faults() {
			list = append(list, name+": "+line)
		}
	}
	return list
}

func (f *Fleet) reserveAddresses() error {
	var err error
	reserve := func(process string) string {
		l, errListen := listenFree(f.host)
		if errListen != nil {
			err = errListen
			return ""
		}
		f.reserved[process] = append(f.reserved[process], l)
		return l.Addr().String()
	}
	f.platform, f.platformAdmin = reserve(PlatformName), reserve(PlatformName)
	for _, n := range f.nodes {
		f.byName[n.name] = n
		n.fleet, n.operator = reserve(n.process()), reserve(n.process())
		if n.isEntry() {
			n.caller = reserve(n.process())
		} else {
			n.address = reserve(n.name)
		}
	}
	return err
}

// listenTo lets the links to a process take connections.
func (f *Fleet) listenTo(process string) error {
	for _, l := range f.linksTo[process] {
		if err := l.Listen(); err != nil {
			return err
		}
	}
	return nil
}

// release frees the ports of a process, which are held until it starts.
func (f *Fleet) release(process string) {
	for _, l := range f.reserved[process] {
		_ = l.Close()
	}
	delete(f.reserved, process)
}

func (f *Fleet) addProcesses() error {
	err := f.add(PlatformName, "gooseberry-standin", StandinListening,
		"platform", "--listen", f.platform, "--admin", f.platformAdmin)
	for _, n := range f.nodes {
		if !n.isEntry() && err == nil {
			err = f.add(n.name, "gooseberry-standin", StandinListening, f.upstreamArguments(n)...)
		}
	}
	for _, n := range slices.Backward(f.nodes) {
		if err == nil {
			err = f.addDaemon(n)
		}
	}
	return err
}

func (f *Fleet) upstreamArguments(n *node) []string {
	if n.kind() == configuration.KindService {
		return []string{"service", "--listen", n.address}
	}
	return append([]string{"engine", "--listen", n.address, "--heeds-fencing"}, f.engine...)
}

func (f *Fleet) addDaemon(n *node) error {
	path, err := f.writeSettings(n)
	if err != nil {
		return err
	}
	program := "gooseberry-sidecar"
	if n.isEntry() {
		program = "gooseberry-entry"
	}
	return f.add(n.process(), program, event.Listening.Number, "--settings", path)
}

func (f *Fleet) add(name, program string, ready int, arguments ...string) error {
	file, err := os.Create(filepath.Join(f.directory, name+".log"))
	if err != nil {
		return eris.Wrap(err, name)
	}
	f.processes[name] = &Process{
		Name:      name,
		program:   filepath.Join(f.binaries, program),
		arguments: arguments,
		ready:     ready,
		log:       newLogCollector(file),
		ended: func() {
			for _, l := range f.linksTo[name] {
				l.Refuse()
			}
		},
	}
	f.order = append(f.order, name)
	return nil
}

func (f *Fleet) writeSettings(n *node) (string, error) {
	s, err := f.settings(n)
	if err != nil {
		return "", err
	}
	content, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return "", eris.Wrap(err, n.name)
	}
	path := filepath.Join(f.directory, n.process()+".json")
	return path, eris.Wrap(os.WriteFile(path, content, 0o600), n.name)
}
