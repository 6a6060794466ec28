// Package fleet runs the system's programs with stand-ins for the platform and the upstreams on loopback. It
// starts and stops the processes and injects faults.
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
	// PlatformName is the name of the platform stand-in's process.
	PlatformName = "platform"
	// StandinListening is the number of the event that a stand-in logs when it listens.
	StandinListening = 9001

	fleetKey = "fleet-key-for-tests-only"
)

type (
	// Fleet is a platform, entries, and upstreams with their sidecars, each in a process of its own.
	Fleet struct {
		// directory is the folder for settings and logs.
		directory string
		// binaries is the folder of the programs.
		binaries string
		// host is the IP address that all processes listen on.
		host string
		// disabledMechanisms are named entry.MECHANISM or sidecar.MECHANISM.
		disabledMechanisms []string
		engineArguments    []string
		useLinks           bool

		nodes       []*node
		nodesByName map[string]*node
		processes   map[string]*Process
		startOrder  []string
		// links are the links by linkName.
		links map[string]*link.Link
		// linksTo are the links to each process, by the name of the process.
		linksTo map[string][]*link.Link
		// reservedPorts are the listeners that hold the ports of processes that were never started, by process.
		reservedPorts        map[string][]net.Listener
		platformAddress      string
		platformAdminAddress string

		mu            sync.Mutex
		configuration *configuration.Configuration
		vms           *vm.List
	}

	// Option configures a Fleet.
	Option func(*Fleet)
)

// New returns a fleet whose processes are not started. It writes settings and logs to the folder directory. The
// processes run the programs in the folder binaries.
func New(layout Layout, directory, binaries string, options ...Option) (*Fleet, error) {
	f := &Fleet{
		directory:     directory,
		binaries:      binaries,
		host:          "127.0.0.1",
		nodes:         layout.nodes(),
		nodesByName:   make(map[string]*node),
		processes:     make(map[string]*Process),
		links:         make(map[string]*link.Link),
		linksTo:       make(map[string][]*link.Link),
		reservedPorts: make(map[string][]net.Listener),
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

// WithHost sets the address that all processes listen on. The default is 127.0.0.1.
func WithHost(host string) Option {
	return func(f *Fleet) { f.host = host }
}

// WithLinks routes the connections between processes through links, which Partition, Heal and Reset need.
func WithLinks() Option {
	return func(f *Fleet) { f.useLinks = true }
}

// WithNaive disables mechanisms, named entry.MECHANISM or sidecar.MECHANISM.
func WithNaive(mechanisms ...string) Option {
	return func(f *Fleet) { f.disabledMechanisms = mechanisms }
}

// WithEngineArguments adds arguments to the command line of each engine.
func WithEngineArguments(arguments ...string) Option {
	return func(f *Fleet) { f.engineArguments = arguments }
}

// Names returns the names of all processes in the order in which they start.
func (f *Fleet) Names() []string {
	return slices.Clone(f.startOrder)
}

// Process returns a process by name. The error for an unknown name lists the existing names.
func (f *Fleet) Process(name string) (*Process, error) {
	p, found := f.processes[name]
	if !found {
		return nil, eris.Errorf("no process %q among %s", name, strings.Join(f.startOrder, ", "))
	}
	return p, nil
}

// Start starts all processes that do not run and waits until they are ready. The platform serves the configuration
// and the VM list before any other process starts.
func (f *Fleet) Start() error {
	for _, name := range f.startOrder {
		if f.processes[name].Running() {
			continue
		}
		if err := f.StartProcess(name); err != nil {
			return err
		}
	}
	return f.AwaitReady()
}

// StartProcess starts one process and waits until it listens. If it is the platform, StartProcess then publishes
// the newest configuration and VM list to it.
func (f *Fleet) StartProcess(name string) error {
	p, err := f.Process(name)
	if err != nil {
		return err
	}
	f.releasePorts(name)
	if err := p.Start(); err != nil {
		return err
	}
	if err := f.enableLinks(name); err != nil {
		return err
	}
	if name == PlatformName {
		return f.publishAll()
	}
	return nil
}

// Stop terminates all processes with SIGTERM, one after the other: entries first, then sidecars, upstreams and the
// platform. It returns the first error.
func (f *Fleet) Stop() error {
	var firstErr error
	for _, name := range slices.Backward(f.startOrder) {
		p := f.processes[name]
		if !p.Running() {
			continue
		}
		if err := p.Stop(); err != nil && firstErr == nil {
			firstErr = err
		}
	}
	return firstErr
}

// Close kills all running processes, closes all links and releases all reserved ports.
func (f *Fleet) Close() {
	for _, name := range slices.Backward(f.startOrder) {
		if p := f.processes[name]; p.Running() {
			_ = p.Kill()
		}
	}
	for _, l := range f.links {
		l.Close()
	}
	for name := range f.reservedPorts {
		f.releasePorts(name)
	}
}

// Faults returns the log lines in which processes reported a data race, a panic or a fatal error, each after the
// name of its process.
func (f *Fleet) Faults() []string {
	var list []string
	for _, name := range f.startOrder {
		for _, line := range f.processes[name].Faults() {
			list = append(list, name+": "+line)
		}
	}
	return list
}

// reserveAddresses chooses the addresses of all processes. It listens on each, so that another program cannot take
// the port before the process starts.
func (f *Fleet) reserveAddresses() error {
	var err error
	reserve := func(process string) string {
		l, listenErr := listenOnFreePort(f.host)
		if listenErr != nil {
			err = listenErr
			return ""
		}
		f.reservedPorts[process] = append(f.reservedPorts[process], l)
		return l.Addr().String()
	}
	f.platformAddress, f.platformAdminAddress = reserve(PlatformName), reserve(PlatformName)
	for _, n := range f.nodes {
		f.nodesByName[n.name] = n
		n.fleetAddress, n.operatorAddress = reserve(n.processName()), reserve(n.processName())
		if n.isEntry() {
			n.callerAddress = reserve(n.processName())
		} else {
			n.upstreamAddress = reserve(n.name)
		}
	}
	return err
}

// enableLinks makes the links to a process accept connections.
func (f *Fleet) enableLinks(process string) error {
	for _, l := range f.linksTo[process] {
		if err := l.Listen(); err != nil {
			return err
		}
	}
	return nil
}

// releasePorts closes the listeners that reserve the ports of a process.
func (f *Fleet) releasePorts(process string) {
	// After an error, the process reports that it can't listen.
	_ = closeAll(f.reservedPorts[process])
	delete(f.reservedPorts, process)
}

// addProcesses adds all processes in the order in which they start: the platform, upstreams, then sidecars and
// entries.
func (f *Fleet) addProcesses() error {
	err := f.addProcess(PlatformName, "gooseberry-standin", StandinListening,
		"platform", "--listen", f.platformAddress, "--admin", f.platformAdminAddress)
	for _, n := range f.nodes {
		if !n.isEntry() && err == nil {
			err = f.addProcess(n.name, "gooseberry-standin", StandinListening, f.upstreamArguments(n)...)
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
		return []string{"service", "--listen", n.upstreamAddress}
	}
	return append([]string{"engine", "--listen", n.upstreamAddress, "--heeds-fencing"}, f.engineArguments...)
}

// addDaemon adds the entry or the sidecar of a node.
func (f *Fleet) addDaemon(n *node) error {
	path, err := f.writeSettings(n)
	if err != nil {
		return err
	}
	program := "gooseberry-sidecar"
	if n.isEntry() {
		program = "gooseberry-entry"
	}
	return f.addProcess(n.processName(), program, event.Listening.Number, "--settings", path)
}

// addProcess adds a process that logs the event readyEvent when it listens.
func (f *Fleet) addProcess(name, program string, readyEvent int, arguments ...string) error {
	file, err := os.Create(filepath.Join(f.directory, name+".log"))
	if err != nil {
		return eris.Wrap(err, name)
	}
	f.processes[name] = &Process{
		Name:       name,
		program:    filepath.Join(f.binaries, program),
		arguments:  arguments,
		readyEvent: readyEvent,
		log:        newLogCollector(file),
		onExit: func() {
			for _, l := range f.linksTo[name] {
				l.Refuse()
			}
		},
	}
	f.startOrder = append(f.startOrder, name)
	return nil
}

// writeSettings writes the settings file of an entry or a sidecar and returns its path.
func (f *Fleet) writeSettings(n *node) (string, error) {
	s, err := f.settingsOf(n)
	if err != nil {
		return "", err
	}
	content, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return "", eris.Wrap(err, n.name)
	}
	path := filepath.Join(f.directory, n.processName()+".json")
	return path, eris.Wrap(os.WriteFile(path, content, 0o600), n.name)
}
