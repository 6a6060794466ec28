// Package subscription keeps the configuration and the VM list of a process up to date.
//
// Two processes of each data centre, the holders, watch the platform, each other and holders of other data centres.
// The other processes, the followers, watch the holders of their data centre. A follower reads the platform itself
// when it starts, while no holder answers, and when no holder returns a part.
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
	// Reader reads the configuration and the VM list and serves them to the readers of other processes. It is safe for
	// concurrent use.
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
		// ready is closed when the first configuration is in force.
		ready chan struct{}
		// pendingViews contains peers' views that were newer than this process's view or conflicted with it.
		pendingViews chan peerView

		mu     sync.Mutex
		random *rand.Rand
		// lastAnswer is the time of the last answer to a watch at a peer, or of the end of the bootstrap.
		lastAnswer time.Time
		// peerWatches is the number of calls of nextPeer. It alternates between the peers.
		peerWatches int
		// unresponsiveLogged reports whether event.HoldersUnresponsive was logged since the last answer.
		unresponsiveLogged bool
		// inForceSince is the time at which the current revision came into force.
		inForceSince time.Time
		// cachedTopology is the topology under the VM list last used. It may be nil.
		cachedTopology *topology
		// rejectedDigests contains the digests of the manifests last rejected, oldest first.
		rejectedDigests []string
		// newestRejected is the rejected manifest with the highest revision, unless a higher one is in force.
		newestRejected *candidate
		// evaluations maps the digests of manifests that are being evaluated to a channel that is closed at the end.
		evaluations map[string]chan struct{}
		// changed is closed and replaced when a newer configuration or VM list is installed.
		changed chan struct{}
		// platformDown reports whether the last read of the platform failed.
		platformDown bool
		// vms is the newest VM list as published.
		vms        []byte
		vmsVersion int64
	}

	// State is the reader's part of the state dump of a process.
	State struct {
		Revision   int64  `json:"revision"`
		Digest     string `json:"digest"`
		VMsVersion int64  `json:"vms_version"`
		// Holder reports whether the process watches the platform for its data centre.
		Holder bool `json:"holder"`
		// LastAnswerAt is the time of the last answer to a watch at a peer.
		LastAnswerAt time.Time `json:"heard_at"`
		InForceSince time.Time `json:"in_force_since"`
		// RefusedRevision is the highest rejected revision that is not below the one in force, or 0.
		RefusedRevision int64 `json:"refused_revision,omitempty"`
		// PlatformReads is the number of reads of the platform since the start of the process.
		PlatformReads int64 `json:"platform_reads"`
		// PlatformDown reports whether the last read of the platform failed.
		PlatformDown bool `json:"platform_down"`
	}

	// peerView is the view that a peer reported.
	peerView struct {
		address string
		view    port.View
	}
)

// NewReader returns a reader for the process on the named VM and data centre. The reader guards the random source
// with its own lock, so no other code may use that source.
func NewReader(vmName, dataCentre string, platform port.Platform, peers port.Peers,
	store *configuration.Store, table *vm.Table, random *rand.Rand, log event.Log, opts ...Option,
) *Reader {
	o := defaultOptions()
	for _, apply := range opts {
		apply(&o)
	}
	return &Reader{
		vmName:       vmName,
		dataCentre:   dataCentre,
		platform:     platform,
		peers:        peers,
		store:        store,
		table:        table,
		log:          log,
		options:      o,
		budget:       newBudget(),
		ready:        make(chan struct{}),
		pendingViews: make(chan peerView, maxPendingViews),
		random:       random,
		evaluations:  make(map[string]chan struct{}),
		changed:      make(chan struct{}),
	}
}

// Run keeps the configuration and the VM list up to date until the context ends.
func (r *Reader) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { r.pullPendingViews(ctx) })
	r.bootstrap(ctx)
	wg.Go(func() { r.watchManifests(ctx) })
	wg.Go(func() { r.watchVMs(ctx) })
	wg.Go(func() { r.watchPeers(ctx) })
	wg.Wait()
}

// Ready returns a channel that is closed when the first configuration is in force: the highest revision that the
// platform and the peers report, or one that was pulled before because a peer's view contained it.
func (r *Reader) Ready() <-chan struct{} {
	return r.ready
}

// View returns the revision in force and the version of the VM list.
func (r *Reader) View() port.View {
	v := port.View{VMsVersion: r.table.Current().Version}
	if s := r.store.Current(); s != nil {
		v.Revision, v.Digest = s.Revision, s.Digest
	}
	return v
}

// ObserveView queues a pull from the peer at the fleet address if the view that it reported, for instance in a
// heartbeat, is newer than this process's view or conflicts with it. It does not block, and drops the view if the queue
// is full.
func (r *Reader) ObserveView(address string, view port.View) {
	own := r.View()
	if !own.Behind(view) && (!own.Conflicts(view) || r.wasRejected(view.Digest)) {
		return
	}
	select {
	case r.pendingViews <- peerView{address: address, view: view}:
	default:
	}
}

// State returns the reader's current state.
func (r *Reader) State() State {
	v := r.View()
	holder := r.topology().isHolder
	r.mu.Lock()
	defer r.mu.Unlock()
	s := State{
		Revision:      v.Revision,
		Digest:        v.Digest,
		VMsVersion:    v.VMsVersion,
		Holder:        holder,
		LastAnswerAt:  r.lastAnswer,
		InForceSince:  r.inForceSince,
		PlatformReads: r.budget.reads.Load(),
		PlatformDown:  r.platformDown,
	}
	if r.newestRejected != nil {
		s.RefusedRevision = r.newestRejected.revision
	}
	return s
}
