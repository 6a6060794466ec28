package membership

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"gooseberrypin.example/router/event"
	"gooseberrypin.example/router/pace"
	"gooseberrypin.example/router/periodic"
	"gooseberrypin.example/router/quarantine"
	"gooseberrypin.example/router/quota"
	"gooseberrypin.example/router/rendezvous"
	"gooseberrypin.example/router/speed"
)

const (
	// exchangeInterval is the interval between the rounds of exchanges that an entry begins.
	exchangeInterval = time.Second
	// exchangeTimeout bounds one exchange.
	exchangeTimeout = 500 * time.Millisecond
	// heartbeatTimeout is how long after its last heartbeat a member counts as live. A heartbeat reaches all
	// entries within ten rounds, as long as one exchange carries all members.
	heartbeatTimeout = 10 * time.Second
	// settleRounds is the number of answered rounds without a new member after which an entry takes its members for
	// the complete fleet.
	settleRounds = 10
	// leaveFanout is the number of entries to which an entry sends its planned stop. They pass it on.
	leaveFanout = 3
	// broadcastFanout is the number of entries that receive an urgent update in one round. Each of them sends
	// it on to as many, so that it reaches about 600 entries in three to four steps.
	broadcastFanout = 8
	// broadcastRounds is the number of rounds of each broadcast, broadcastRoundPause apart, as some of the
	// entries drawn in a round may have crashed.
	broadcastRounds     = 2
	broadcastRoundPause = 50 * time.Millisecond
	// broadcastPause is the pause after each broadcast. It bounds their cost: on a small core an exchange
	// takes some milliseconds.
	broadcastPause = 1500 * time.Millisecond
	// joinInterval and joinTimeout are how often and how long a starting entry asks its seeds for their
	// state.
	joinInterval = 250 * time.Millisecond
	joinTimeout  = 5 * time.Second
)

var (
	errNoHeartbeat = eris.New("no heartbeat within the timeout")
)

type (
	// Update is the state that one entry sends to another.
	Update struct {
		// Members are the sending entry itself, followed by some of the other members that it holds.
		Members []Member
		// Suspects are contents that crashed engines.
		Suspects []quarantine.Suspect
		// Ejected are the IDs of the upstreams that the sender itself has ejected because of failures.
		Ejected []string
		// Limits are the limits of upstreams that the sender knows.
		Limits []quota.Limit
		// Reports are estimates of the limits on the work in flight at upstreams, the newest first.
		Reports []pace.Report
		// Speeds are samples of the speeds of engines, the most useful first. A message with much else holds fewer of them.
		Speeds []speed.Sample
	}

	// Peers sends updates to other entries.
	Peers interface {
		// Exchange sends an update to the entry at an address and returns that entry's update.
		Exchange(ctx context.Context, address string, update Update) (Update, error)
	}

	// Delegate adds further state to the updates beside the members.
	Delegate interface {
		// AddLocalState adds the state of this entry, in bounded size.
		AddLocalState(update *Update)
		// MergeRemoteState merges the state of another entry. It reports whether the change is to be
		// broadcast at once.
		MergeRemoteState(update Update) bool
	}

	// Group is an entry's membership in the fleet. It is safe for concurrent use.
	Group struct {
		peers          Peers
		delegate       Delegate
		seeds          []string
		assumedEntries int
		log            event.Log

		// broadcastRequests holds a value while a broadcast is requested.
		broadcastRequests chan struct{}

		mu     sync.Mutex
		table  *table
		random *rand.Rand
		// stableRounds counts the answered rounds since a new member was found.
		stableRounds int
		// connected is whether this entry has exchanged updates with another one since its start.
		connected bool
	}

	// Option configures a group.
	Option func(*Group)
)

// Sender returns the address of the entry that sent the update, or an empty string.
func (u Update) Sender() string {
	if len(u.Members) == 0 {
		return ""
	}
	return u.Members[0].Address
}

// NewGroup returns the group of the entry at an address, without other members. Its incarnation is the
// current Unix time in milliseconds unless WithIncarnation sets it. The seeds are addresses of other entries
// and may include this one.
func NewGroup(address string, seeds []string, peers Peers, log event.Log, opts ...Option) *Group {
	now := time.Now()
	g := &Group{
		peers:             peers,
		seeds:             slices.DeleteFunc(slices.Clone(seeds), func(s string) bool { return s == address }),
		assumedEntries:    1,
		log:               log,
		table:             newTable(address, now.UnixMilli()),
		broadcastRequests: make(chan struct{}, 1),
		random:            rand.New(rand.NewPCG(uint64(now.UnixNano()), 1)),
	}
	for _, opt := range opts {
		opt(g)
	}
	return g
}

// WithAssumedEntries sets the number of entries to assume until the members are complete. The default is 1.
func WithAssumedEntries(entries int) Option {
	return func(g *Group) { g.assumedEntries = entries }
}

// WithDelegate adds further state to the updates beside the members.
func WithDelegate(delegate Delegate) Option {
	return func(g *Group) { g.delegate = delegate }
}

// WithIncarnation sets the incarnation. It must increase with each start of the process.
func WithIncarnation(incarnation int64) Option {
	return func(g *Group) { g.table.self.Incarnation = incarnation }
}

// Run exchanges updates with one other entry after another until ctx ends.
func (g *Group) Run(ctx context.Context) {
	go g.join(ctx)
	go g.runBroadcasts(ctx)
	runRound := func(time.Time) {
		if g.exchangeAll(ctx, g.nextPeer()...) {
			g.mu.Lock()
			g.stableRounds++
			g.mu.Unlock()
		}
	}
	runRound(time.Now())
	periodic.Do(ctx, exchangeInterval, runRound)
}

// join asks all seeds at once until one answers: an entry that has just started holds no state.
func (g *Group) join(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	for len(g.seeds) > 0 && ctx.Err() == nil {
		next := time.Now().Add(joinInterval)
		if g.exchangeAll(ctx, g.seeds...) {
			return
		}
		if wait := time.Until(next); wait > 0 {
			select {
			case <-ctx.Done():
				return
			case <-time.After(wait):
			}
		}
	}
}

// runBroadcasts sends an update to several entries whenever a broadcast is requested, until ctx ends.
func (g *Group) runBroadcasts(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.broadcastRequests:
		}
		for range broadcastRounds {
			go g.exchangeAll(ctx, g.SamplePeers()...)
			time.Sleep(broadcastRoundPause)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(broadcastPause):
		}
	}
}

// SamplePeers returns up to broadcastFanout addresses of other entries: live members in random order,
// followed by the seeds.
func (g *Group) SamplePeers() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []string
	for _, m := range g.table.members(time.Now()) {
		if !m.Left && m.SinceHeartbeat < g.scaledHeartbeatTimeout() {
			list = append(list, m.Address)
		}
	}
	g.random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	for _, s := range g.seeds {
		if !slices.Contains(list, s) {
			list = append(list, s)
		}
	}
	return list[:min(len(list), broadcastFanout)]
}

// Exchange merges the update of another entry and returns the update of this one.
func (g *Group) Exchange(update Update) Update {
	g.apply(update)
	return g.localUpdate()
}

func (g *Group) localUpdate() Update {
	g.mu.Lock()
	update := Update{Members: g.table.digest(time.Now(), g.random)}
	g.mu.Unlock()
	if g.delegate != nil {
		g.delegate.AddLocalState(&update)
	}
	return update
}

func (g *Group) apply(update Update) {
	if g.delegate != nil && g.delegate.MergeRemoteState(update) {
		g.TriggerBroadcast()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.connected = true
	g.merge(update.Members)
}

// TriggerBroadcast requests a broadcast of this entry's state. It does not wait for it.
func (g *Group) TriggerBroadcast() {
	select {
	case g.broadcastRequests <- struct{}{}:
	default: // A broadcast is already requested.
	}
}

// Divisor returns the number of entries among which the fleet's quotas are divided: all members that may be
// running, this entry included. An entry that has just started, or reaches no other, assumes a large fleet.
// An entry that is partitioned later keeps counting the members that it holds.
func (g *Group) Divisor() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	entries := g.table.countNotLeft()
	if g.stableRounds < settleRounds {
		entries = max(entries, g.assumedEntries)
	}
	return entries
}

// LiveCount returns the number of live entries, this one included.
func (g *Group) LiveCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.countLive(time.Now(), g.scaledHeartbeatTimeout())
}

// KnownCount returns the number of entries that may be running, this one included.
func (g *Group) KnownCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.countNotLeft()
}

// Owner returns the address of the live entry that owns a name: the one with the highest random weight. Entries with
// the same live members choose the same owner. An entry that leaves owns nothing, nor does one that has seeds and has
// not reached any other entry. Owner returns the empty string if there is no owner.
func (g *Group) Owner(name string) string {
	return rendezvous.Winner(name, g.ownerCandidates())
}

// Owners returns the owner of a name, followed by the entries that would own it next, at most n.
func (g *Group) Owners(name string, n int) []string {
	return rendezvous.Rank(name, g.ownerCandidates(), n)
}

// ownerCandidates returns the addresses of the entries that may own a name.
func (g *Group) ownerCandidates() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	timeout, now := g.scaledHeartbeatTimeout(), time.Now()
	candidates := make([]string, 0, len(g.table.known)+1)
	if !g.table.self.Left && (g.connected || len(g.seeds) == 0) {
		candidates = append(candidates, g.table.self.Address)
	}
	for _, r := range g.table.known {
		if !r.Left && now.Sub(r.lastHeartbeat) < timeout {
			candidates = append(candidates, r.Address)
		}
	}
	return candidates
}

// scaledHeartbeatTimeout returns heartbeatTimeout, extended for fleets in which an exchange carries only a
// part of the members, where heartbeats take longer. The caller holds the lock.
func (g *Group) scaledHeartbeatTimeout() time.Duration {
	return heartbeatTimeout * time.Duration(max(1, len(g.table.known)/digestSize))
}

// Members returns the other entries, ordered by address.
func (g *Group) Members() []Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.members(time.Now())
}

// Leave marks this entry as left and sends its planned stop to a few other entries.
func (g *Group) Leave(ctx context.Context) {
	g.mu.Lock()
	g.table.self.Left = true
	targets := g.peerCandidates()
	g.random.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	g.mu.Unlock()
	g.exchangeAll(ctx, targets[:min(len(targets), leaveFanout)]...)
}

// nextPeer draws the address of a member or a seed for the next exchange. It returns an empty list if there
// is neither.
func (g *Group) nextPeer() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	candidates := g.peerCandidates()
	if len(candidates) == 0 {
		return nil
	}
	drawn := g.random.IntN(len(candidates))
	return candidates[drawn : drawn+1]
}

// peerCandidates returns the addresses of the seeds and of the members that have not left. The caller holds
// the lock.
func (g *Group) peerCandidates() []string {
	list := slices.Clone(g.seeds)
	for _, m := range g.table.members(time.Now()) {
		if !m.Left && !slices.Contains(list, m.Address) {
			list = append(list, m.Address)
		}
	}
	return list
}

// exchangeAll exchanges the same update with several entries at once, and reports whether one answered.
func (g *Group) exchangeAll(ctx context.Context, addresses ...string) bool {
	if len(addresses) == 0 {
		return false
	}
	g.mu.Lock()
	g.table.self.Heartbeat++
	g.mu.Unlock()
	update := g.localUpdate()
	var answered atomic.Bool
	var exchanges sync.WaitGroup
	for _, address := range addresses {
		exchanges.Go(func() {
			if g.exchangeWith(ctx, address, update) {
				answered.Store(true)
			}
		})
	}
	exchanges.Wait()
	return answered.Load()
}

// exchangeWith exchanges updates with one entry and reports whether it answered.
func (g *Group) exchangeWith(ctx context.Context, address string, update Update) bool {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	answer, err := g.peers.Exchange(ctx, address, update)
	if err == nil {
		g.apply(answer)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	// A failed exchange changes no member: the peer's last heartbeat only gets older, here as on other
	// entries.
	g.logTransitions(err)
	return err == nil
}

// merge adds the members that another entry holds. The caller holds the lock.
func (g *Group) merge(known []Member) {
	now := time.Now()
	for _, m := range g.table.merge(known, now) {
		g.stableRounds = 0
		g.log.Info(event.MemberFound, "address", m.Address, "silent_ms", m.SinceHeartbeat.Milliseconds(), "left", m.Left, "entries", g.table.countNotLeft())
	}
	g.table.removeExpired(now)
}

// logTransitions logs the members that became unresponsive, left or recovered. err is the failure of the last
// exchange or nil. The caller holds the lock.
func (g *Group) logTransitions(err error) {
	for _, m := range g.table.members(time.Now()) {
		r, absent := g.table.known[m.Address], m.Left || m.SinceHeartbeat >= g.scaledHeartbeatTimeout()
		if absent == r.loggedAbsent {
			continue
		}
		r.loggedAbsent = absent
		switch {
		case !absent:
			g.log.Info(event.MemberRecovered, "address", m.Address, "entries", g.table.countNotLeft())
		case m.Left:
			g.log.Info(event.MemberLeft, "address", m.Address, "entries", g.table.countNotLeft())
		default:
			if err == nil {
				err = errNoHeartbeat
			}
			g.log.Error(err, event.MemberUnresponsive, "address", m.Address, "silent_ms", m.SinceHeartbeat.Milliseconds(), "entries", g.table.countNotLeft())
		}
	}
}
