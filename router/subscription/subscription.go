// Package subscription keeps a process's configuration and VM list up to date: from the
// platform, and from the processes that watch it.
package subscription

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"gooseberrypin.example/router/configuration"
	"gooseberrypin.example/router/event"
	"gooseberrypin.example/router/port"
	"gooseberrypin.example/router/vm"
)

type (
	// Reader reads the published state and serves it to other readers.
	Reader struct {
		vmName     string
		dataCentre string
		platform   port.Platform
		peers      port.Peers
		store      *configuration.Store
		table      *vm.Table
		log        event.Log
		options    options
		budget     *budget
		ready      chan struct{}
		offers     chan offer

		mu       sync.Mutex
		random   *rand.Rand
		heard    time.Time
		polls    int
		silent   bool
		since    time.Time
		current  *topology
		refused  []string
		rejected *candidate
		flights  map[string]chan struct{}
		changed  chan struct{}
		down     bool
		// vms is the newest VM list as published.
		vms        []byte
		vmsVersion int64
	}

	// State is the part of a process's state dump that tells about its reader.
	State struct {
		Revision        int64     `json:"revision"`
		Digest          string    `json:"digest"`
		VMsVersion      int64     `json:"vms_version"`
		Holder          bool      `json:"holder"`
		HeardAt         time.Time `json:"heard_at"`
		InForceSince    time.Time `json:"in_force_since"`
		RefusedRevision int64     `json:"refused_revision,omitempty"`
		PlatformReads   int64     `json:"platform_reads"`
		PlatformDown    bool      `json:"platform_down"`
	}

	offer struct {
		address string
		view    port.View
	}
)

// NewReader returns a reader for the process on a VM of a data centre. It uses the random
// source under its own lock.
func NewReader(vmName, dataCentre string, platform port.Platform, peers port.Peers,
	store *configuration.Store, table *vm.Table, random *rand.Rand, log event.Log, opts ...Option,
) *Reader {
	o := defaultOptions()
	for _, apply := range opts {
		apply(&o)
	}
	return &Reader{
		vmName:     vmName,
		dataCentre: dataCentre,
		platform:   platform,
		peers:      peers,
		store:      store,
		table:      table,
		log:        log,
		options:    o,
		budget:     newBudget(),
		ready:      make(chan struct{}),
		offers:     make(chan offer, offerQueue),
		random:     random,
		flights:    make(map[string]chan struct{}),
		changed:    make(chan struct{}),
	}
}

// Run reads until the context ends.
func (r *Reader) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { r.takeOffers(ctx) })
	r.bootstrap(ctx)
	wg.Go(func() { r.watchManifests(ctx) })
	wg.Go(func() { r.watchVMs(ctx) })
	wg.Go(func() { r.watchPeers(ctx) })
	wg.Wait()
}

// Ready returns a channel that is closed once a configuration is in force, compared with
// the platform's and the peers'.
func (r *Reader) Ready() <-chan struct{} {
	return r.ready
}

// View returns what the process knows.
func (r *Reader) View() port.View {
	v := port.View{VMsVersion: r.table.Current().Version}
	if s := r.store.Current(); s != nil {
		v.Revision, v.Digest = s.Revision, s.Digest
	}
	return v
}

// ObserveView takes the view of a peer, as heartbeats carry it, and pulls what is newer. It
// doesn't wait.
func (r *Reader) ObserveView(address string, view port.View) {
	own := r.View()
	if !own.Behind(view) && (!own.Conflicts(view) || r.wasRefused(view.Digest)) {
		return
	}
	select {
	case r.offers <- offer{address: address, view: view}:
	default:
	}
}

// State returns the reader's part of the state dump.
func (r *Reader) State() State {
	v := r.View()
	holder := r.topology().holder
	r.mu.Lock()
	defer r.mu.Unlock()
	s := State{
		Revision:      v.Revision,
		Digest:        v.Digest,
		VMsVersion:    v.VMsVersion,
		Holder:        holder,
		HeardAt:       r.heard,
		InForceSince:  r.since,
		PlatformReads: r.budget.count.Load(),
		PlatformDown:  r.down,
	}
	if r.rejected != nil {
		s.RefusedRevision = r.rejected.revision
	}
	return s
}
