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
	// replica is one replica of the platform.
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

	// node is one process.
	node struct {
		name   string
		vm     vm.VM
		reader *subscription.Reader
		store  *configuration.Store
		table  *vm.Table
		log    *lines
		cancel context.CancelFunc
		done   chan struct{}
	}

	// lines collects log lines.
	lines struct {
		mu     sync.Mutex
		buffer bytes.Buffer
	}

	// fleet is a set of processes with the platform's replicas.
	fleet struct {
		t     *testing.T
		mu    sync.Mutex
		nodes map[string]*node
		// silent addresses accept a call and never answer, as a frozen process does.
		silent map[string]bool
		// lax is the answer to each watch, with its parts, if it is set.
		lax      *port.Update
		laxParts map[string][]byte
		watches  int
		list     vm.List
	}

	// link implements port.Peers within a fleet.
	link struct {
		fleet *fleet
	}
)

var (
	errDown = errors.New("down")
)

func newReplica() *replica {
	return &replica{parts: make(map[string][]byte), changed: make(chan struct{})}
}

// publish serves a configuration whose content differs with note.
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
	p.change(func() {
		p.revision, p.manifest = revision, manifest
		for digest, content := range parts {
			p.parts[digest] = content
		}
	})
	return configuration.Digest(manifest)
}

func (p *replica) publishVMs(list vm.List) {
	content, _ := json.Marshal(list)
	p.change(func() { p.version, p.vms = list.Version, content })
}

func (p *replica) setDown(down bool) {
	p.change(func() { p.down = down })
}

func (p *replica) change(edit func()) {
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

func (p *replica) watch(ctx context.Context, wait time.Duration, pick func() []byte) ([]byte, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
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
		if content != nil {
			return content, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, nil
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
		err = errors.New("no such part")
	}
	return content, err
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.Write(p)
}

// count returns how often an event was logged for a manifest's digest.
func (l *lines) count(e event.Event, digest string) int {
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

// chosen returns the revision that the process logged as its first, or 0.
func (l *lines) chosen() int64 {
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

func (l *link) target(ctx context.Context, address string) (*node, error) {
	l.fleet.mu.Lock()
	n, found := l.fleet.nodes[address]
	silent := l.fleet.silent[address]
	l.fleet.mu.Unlock()
	if silent {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if !found {
		return nil, errDown
	}
	return n, nil
}

func (l *link) Watch(ctx context.Context, address string, view port.View, wait time.Duration) (port.Update, error) {
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

func (l *link) Part(ctx context.Context, address, sha256 string) ([]byte, error) {
	n, err := l.target(ctx, address)
	if err != nil {
		return nil, err
	}
	if content, found := l.fleet.laxParts[sha256]; found {
		return content, nil
	}
	return n.reader.Part(sha256), nil
}

// newFleet returns a fleet whose VM list has size processes in each data centre.
func newFleet(t *testing.T, dataCentres, size int) *fleet {
	f := &fleet{t: t, nodes: make(map[string]*node), silent: make(map[string]bool), list: vm.List{Version: 1}}
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

// start runs a process on a listed VM against a replica.
func (f *fleet) start(v vm.VM, platform port.Platform) *node {
	n := &node{name: v.Name, vm: v, store: configuration.NewStore(), table: vm.NewTable(), log: &lines{}, done: make(chan struct{})}
	random := rand.New(rand.NewPCG(1, uint64(len(v.Name))+uint64(v.FleetAddress[len(v.FleetAddress)-6])))
	n.reader = subscription.NewReader(v.Name, v.DataCentre, platform, &link{fleet: f}, n.store, n.table, random, event.NewLog(n.log, v.Name))
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

// startAll runs a process on each VM and waits until all are ready.
func (f *fleet) startAll(platform port.Platform) {
	for _, v := range f.list.VMs {
		f.start(v, platform)
	}
	for _, n := range f.all() {
		<-n.reader.Ready()
	}
	synctest.Wait()
}

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

func (f *fleet) stop(n *node) {
	f.mu.Lock()
	delete(f.nodes, n.vm.FleetAddress)
	f.mu.Unlock()
	n.cancel()
	<-n.done
}

// countWatch counts a watch, and returns the answer to it if that is fixed.
func (f *fleet) countWatch() *port.Update {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.watches++
	return f.lax
}

func (f *fleet) calls() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.watches
}

// freeze stops a process from answering, its open calls included.
func (f *fleet) freeze(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silent[address] = true
}

// toggle freezes a process, or lets it answer again.
func (f *fleet) toggle(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silent[address] = !f.silent[address]
}

func (f *fleet) frozen(address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.silent[address]
}

func (f *fleet) stopAll() {
	for _, n := range f.all() {
		n.cancel()
	}
	for _, n := range f.all() {
		<-n.done
	}
}

// holders returns the nodes of a data centre that watch the platform.
func (f *fleet) holders(dataCentre string) []*node {
	var nodes []*node
	for _, v := range subscription.Holders(&f.list, dataCentre) {
		nodes = append(nodes, f.nodes[v.FleetAddress])
	}
	return nodes
}

// behind returns the names of the processes that have another revision in force.
func (f *fleet) behind(revision int64) []string {
	var names []string
	for _, n := range f.all() {
		if n.reader.View().Revision != revision {
			names = append(names, n.name)
		}
	}
	return names
}

// advance lets the bubble's time pass.
func advance(d time.Duration) {
	<-time.After(d)
	synctest.Wait()
}
