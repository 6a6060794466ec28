package subscription_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gooseberrypin.example/router/configuration"
	"gooseberrypin.example/router/event"
	"gooseberrypin.example/router/port"
	"gooseberrypin.example/router/subscription"
	"gooseberrypin.example/router/vm"
)

type (
	// replica is one replica of the platform. It implements port.Platform.
	replica struct {
		mu       sync.Mutex
		revision int64
		manifest []byte
		version  int64
		vms      []byte
		parts    map[string][]byte
		down     bool
		reads    int
		changed  chan struct{}
	}

	// node is one process of the fleet.
	node struct {
		name   string
		vm     vm.VM
		reader *subscription.Reader
		store  *configuration.Store
		table  *vm.Table
		log    *logBuffer
		cancel context.CancelFunc
		done   chan struct{}
	}

	// logBuffer collects the log lines of one process.
	logBuffer struct {
		mu     sync.Mutex
		buffer bytes.Buffer
	}

	// fleet is a set of processes that call each other.
	fleet struct {
		t  *testing.T
		mu sync.Mutex
		// nodes contains the running processes, keyed by fleet address.
		nodes map[string]*node
		// frozenAddresses contains the fleet addresses that accept calls but never answer them, like a frozen process.
		frozenAddresses map[string]bool
		// fixedAnswer is the answer to each watch if it is set. fixedParts contains its parts, keyed by SHA-256.
		fixedAnswer *port.Update
		fixedParts  map[string][]byte
		watches     int
		list        vm.List
	}

	// fleetPeers implements port.Peers by calling the processes of a fleet.
	fleetPeers struct {
		fleet *fleet
	}
)

var (
	errDown = errors.New("down")
)

func newReplica() *replica {
	return &replica{parts: make(map[string][]byte), changed: make(chan struct{})}
}

// publish publishes a configuration whose content depends on note, and returns the digest of its manifest. If valid is
// false, the selector of its pool is invalid.
func (p *replica) publish(revision int64, note string, valid bool) (digest string) {
	c := &configuration.Configuration{
		Revision: revision,
		Limits:   configuration.Limits{PlatformReadsPerS: platformReadsPerS},
		Pools:    []configuration.Pool{{Name: "care", Role: configuration.RoleDecode, Selector: "note=" + note}},
	}
	if !valid {
		c.Pools[0].Selector = "note like " + note
	}
	manifest, parts := configuration.Split(c)
	p.update(func() {
		p.revision, p.manifest = revision, manifest
		for digest, content := range parts {
			p.parts[digest] = content
		}
	})
	return configuration.Digest(manifest)
}

func (p *replica) publishVMs(list vm.List) {
	content, _ := json.Marshal(list)
	p.update(func() { p.version, p.vms = list.Version, content })
}

// setDown makes all reads fail, or succeed again.
func (p *replica) setDown(down bool) {
	p.update(func() { p.down = down })
}

// update edits the replica and wakes the watches.
func (p *replica) update(edit func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	edit()
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *replica) readCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads
}

// watch counts a read and returns the content that pick returns, as soon as it isn't nil. It returns nil after wait.
func (p *replica) watch(ctx context.Context, wait time.Duration, pick func() []byte) ([]byte, error) {
	end := time.Now().Add(wait)
	p.mu.Lock()
	p.reads++
	p.mu.Unlock()
	for {
		p.mu.Lock()
		content, down, changed := pick(), p.down, p.changed
		p.mu.Unlock()
		if down {
			return nil, errDown
		}
		remaining := time.Until(end)
		if content != nil || remaining <= 0 {
			return content, nil
		}
		select {
		case <-changed:
		case <-time.After(remaining):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (p *replica) Manifest(ctx context.Context, after int64, wait time.Duration) ([]byte, error) {
	return p.watch(ctx, wait, func() []byte {
		if p.revision <= after {
			return nil
		}
		return p.manifest
	})
}

func (p *replica) VMs(ctx context.Context, after int64, wait time.Duration) ([]byte, error) {
	return p.watch(ctx, wait, func() []byte {
		if p.version <= after {
			return nil
		}
		return p.vms
	})
}

func (p *replica) Part(ctx context.Context, sha256 string) ([]byte, error) {
	content, err := p.watch(ctx, 0, func() []byte { return p.parts[sha256] })
	if content == nil && err == nil {
		err = errors.New("part not found")
	}
	return content, err
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.Write(p)
}

// count returns the number of log lines with an event and the digest of a manifest.
func (l *logBuffer) count(e event.Event, digest string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, line := range bytes.Split(l.buffer.Bytes(), []byte("\n")) {
		var fields struct {
			Event  int    `json:"event"`
			Digest string `json:"digest"`
		}
		if json.Unmarshal(line, &fields) == nil && fields.Event == e.Number && fields.Digest == digest {
			n++
		}
	}
	return n
}

// firstRevision returns the first revision that the process logged as in force after its start, or 0.
func (l *logBuffer) firstRevision() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, line := range bytes.Split(l.buffer.Bytes(), []byte("\n")) {
		var fields struct {
			Event    int   `json:"event"`
			Revision int64 `json:"revision"`
		}
		if json.Unmarshal(line, &fields) == nil && fields.Event == event.FirstConfiguration.Number {
			return fields.Revision
		}
	}
	return 0
}

// target returns the process at a fleet address. It blocks until the context ends if the address is frozen.
func (l *fleetPeers) target(ctx context.Context, address string) (*node, error) {
	l.fleet.mu.Lock()
	n, found := l.fleet.nodes[address]
	frozen := l.fleet.frozenAddresses[address]
	l.fleet.mu.Unlock()
	if frozen {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if !found {
		return nil, errDown
	}
	return n, nil
}

func (l *fleetPeers) Watch(ctx context.Context, address string, view port.View, wait time.Duration) (port.Update, error) {
	n, err := l.target(ctx, address)
	if err != nil {
		return port.Update{}, err
	}
	if u := l.fleet.countWatch(); u != nil {
		return *u, nil
	}
	u := n.reader.Watch(ctx, view, wait)
	if _, err := l.target(ctx, address); err != nil {
		return port.Update{}, err
	}
	return u, nil
}

func (l *fleetPeers) Part(ctx context.Context, address, sha256 string) ([]byte, error) {
	n, err := l.target(ctx, address)
	if err != nil {
		return nil, err
	}
	if content, found := l.fleet.fixedParts[sha256]; found {
		return content, nil
	}
	return n.reader.Part(sha256), nil
}

// newFleet returns a fleet whose VM list contains size VMs in each data centre. No process is started.
func newFleet(t *testing.T, dataCentres, size int) *fleet {
	f := &fleet{t: t, nodes: make(map[string]*node), frozenAddresses: make(map[string]bool), list: vm.List{Version: 1}}
	for d := range dataCentres {
		for n := range size {
			f.list.VMs = append(f.list.VMs, vm.VM{
				Name: fmt.Sprintf("vm-%d-%d", d, n), State: vm.Live, DataCentre: fmt.Sprintf("sul-%d", d),
				FleetAddress: fmt.Sprintf("10.0.%d.%d:7100", d, n),
			})
		}
	}
	return f
}

// start starts a process on a VM of the list. The process reads the given replica.
func (f *fleet) start(v vm.VM, platform port.Platform) *node {
	n := &node{name: v.Name, vm: v, store: configuration.NewStore(), table: vm.NewTable(), log: &logBuffer{}, done: make(chan struct{})}
	random := rand.New(rand.NewPCG(1, uint64(len(v.Name))+uint64(v.FleetAddress[len(v.FleetAddress)-6])))
	n.reader = subscription.NewReader(v.Name, v.DataCentre, platform, &fleetPeers{fleet: f}, n.store, n.table, random, event.NewLog(n.log, v.Name))
	var ctx context.Context
	ctx, n.cancel = context.WithCancel(context.Background())
	f.mu.Lock()
	f.nodes[v.FleetAddress] = n
	f.mu.Unlock()
	go func() {
		defer close(n.done)
		n.reader.Run(ctx)
	}()
	return n
}

// startAll starts a process on each VM and waits until all are ready.
func (f *fleet) startAll(platform port.Platform) {
	for _, v := range f.list.VMs {
		f.start(v, platform)
	}
	for _, n := range f.all() {
		<-n.reader.Ready()
	}
	synctest.Wait()
}

// all returns the running processes in the order of the VM list.
func (f *fleet) all() []*node {
	f.mu.Lock()
	defer f.mu.Unlock()
	var nodes []*node
	for _, v := range f.list.VMs {
		if n, found := f.nodes[v.FleetAddress]; found {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// stop ends a process and waits for it. Calls to its address fail.
func (f *fleet) stop(n *node) {
	f.mu.Lock()
	delete(f.nodes, n.vm.FleetAddress)
	f.mu.Unlock()
	n.cancel()
	<-n.done
}

// countWatch counts a watch at a peer, and returns fixedAnswer.
func (f *fleet) countWatch() *port.Update {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.watches++
	return f.fixedAnswer
}

func (f *fleet) watchCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.watches
}

// freeze makes a process unresponsive. It does not answer calls that are open already either.
func (f *fleet) freeze(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.frozenAddresses[address] = true
}

// toggleFrozen freezes a process, or makes it answer again if it is frozen.
func (f *fleet) toggleFrozen(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.frozenAddresses[address] = !f.frozenAddresses[address]
}

func (f *fleet) frozen(address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.frozenAddresses[address]
}

func (f *fleet) stopAll() {
	for _, n := range f.all() {
		n.cancel()
	}
	for _, n := range f.all() {
		<-n.done
	}
}

// holders returns the processes of a data centre that watch the platform.
func (f *fleet) holders(dataCentre string) []*node {
	var nodes []*node
	for _, v := range subscription.Holders(&f.list, dataCentre) {
		nodes = append(nodes, f.nodes[v.FleetAddress])
	}
	return nodes
}

// processesWithout returns the names of the running processes that do not have the revision in force.
func (f *fleet) processesWithout(revision int64) []string {
	var names []string
	for _, n := range f.all() {
		if n.reader.View().Revision != revision {
			names = append(names, n.name)
		}
	}
	return names
}

// advance advances the fake clock of the synctest bubble by d and waits until all goroutines are blocked.
func advance(d time.Duration) {
	<-time.After(d)
	synctest.Wait()
}
