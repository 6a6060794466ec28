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
	"gooseberrypin.example/router/periodic"
	"gooseberrypin.example/router/quarantine"
)

const (
	// interval is the pause between two exchanges that an entry begins.
	interval = time.Second
	// exchangeTimeout bounds an exchange.
	exchangeTimeout = 500 * time.Millisecond
	// silentAfter is how long a member may be silent before it no longer counts as heard: in ten
	// rounds all entries have heard of each other, while one exchange carries them all.
	silentAfter = 10 * time.Second
	// settleRounds is the number of exchanges that must have told of nobody new before an entry
	// takes what it knows for the whole fleet.
	settleRounds = 10
	// leaveTargets is the number of entries that are told of a planned stop; they tell the others.
	leaveTargets = 3
	// spreadTargets is the number of entries that are told of urgent news at once. All of them tell as
	// many others: some 600 entries hear in three to four steps.
	spreadTargets = 8
	// spreadRounds is how often an entry does so, roundPause apart: some of those that it draws may be dead.
	spreadRounds = 2
	roundPause   = 50 * time.Millisecond
	// spreadPause bounds what urgent news may cost: on a small core an exchange takes some milliseconds.
	spreadPause = 1500 * time.Millisecond
	// joinInterval and joinTime bound how an entry that has just started asks its seeds for news.
	joinInterval = 250 * time.Millisecond
	joinTime     = 5 * time.Second
)

var (
	errSilent = eris.New("nobody has heard of the entry")
)

type (
	// Update is what one entry tells another.
	Update struct {
		// Members are the entry itself first, then a part of those that it knows.
		Members []Member
		// Suspects are contents that crashed engines.
		Suspects []quarantine.Suspect
		// Ejected are upstreams that the entry itself found failing.
		Ejected []string
	}

	// Peers reaches other entries.
	Peers interface {
		// Exchange tells an entry the news of this one and returns those of that one.
		Exchange(ctx context.Context, address string, news Update) (Update, error)
	}

	// Delegate fills and takes the news beside the members.
	Delegate interface {
		// AddLocalState adds what this entry found by itself, in bounded number.
		AddLocalState(news *Update)
		// MergeRemoteState takes what another entry found, and reports whether others should hear of it at once.
		MergeRemoteState(news Update) bool
	}

	// Group is an entry's part in the fleet. It is safe for concurrent use.
	Group struct {
		peers   Peers
		topics  Delegate
		seeds   []string
		assumed int
		log     event.Log

		// urgent is filled when there is news for all.
		urgent chan struct{}

		mu     sync.Mutex
		table  *table
		random *rand.Rand
		// rounds counts the exchanges since somebody new was found.
		rounds int
	}

	// Option changes a group.
	Option func(*Group)
)

// Sender is the address of the entry that tells the news, or empty.
func (n Update) Sender() string {
	if len(n.Members) == 0 {
		return ""
	}
	return n.Members[0].Address
}

// NewGroup returns the group of the entry at an address, which has met nobody yet. The start of the
// process is its incarnation.
func NewGroup(address string, seeds []string, peers Peers, log event.Log, opts ...Option) *Group {
	now := time.Now()
	g := &Group{
		peers:   peers,
		seeds:   slices.DeleteFunc(slices.Clone(seeds), func(s string) bool { return s == address }),
		assumed: 1,
		log:     log,
		table:   newTable(address, now.UnixMilli()),
		urgent:  make(chan struct{}, 1),
		random:  rand.New(rand.NewPCG(uint64(now.UnixNano()), 1)),
	}
	for _, opt := range opts {
		opt(g)
	}
	return g
}

// WithAssumedEntries sets the number of entries that is assumed until others are met.
func WithAssumedEntries(entries int) Option {
	return func(g *Group) { g.assumed = entries }
}

// WithDelegate adds news beside the members.
func WithDelegate(topics Delegate) Option {
	return func(g *Group) { g.topics = topics }
}

// WithIncarnation sets the number of the process's start.
func WithIncarnation(incarnation int64) Option {
	return func(g *Group) { g.table.self.Incarnation = incarnation }
}

// Run meets one other entry after another until ctx ends.
func (g *Group) Run(ctx context.Context) {
	go g.join(ctx)
	go g.spread(ctx)
	meet := func(time.Time) {
		if g.exchange(ctx, g.partner()...) {
			g.mu.Lock()
			g.rounds++
			g.mu.Unlock()
		}
	}
	meet(time.Now())
	periodic.Do(ctx, interval, meet)
}

// join asks all seeds for news until one answers: an entry that starts anew knows nothing.
func (g *Group) join(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, joinTime)
	defer cancel()
	t := time.NewTicker(joinInterval)
	defer t.Stop()
	for len(g.seeds) > 0 && !g.exchange(ctx, g.seeds...) {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// spread passes urgent news on until ctx ends.
func (g *Group) spread(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.urgent:
		}
		for range spreadRounds {
			go g.exchange(ctx, g.SamplePeers()...)
			time.Sleep(roundPause)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(spreadPause):
		}
	}
}

// SamplePeers draws entries that are told of urgent news, or asked for some: those that were heard lately, and
// seeds where there are few.
func (g *Group) SamplePeers() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []string
	for _, m := range g.table.members(time.Now()) {
		if !m.Left && m.SinceHeartbeat < g.silence() {
			list = append(list, m.Address)
		}
	}
	g.random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	for _, s := range g.seeds {
		if !slices.Contains(list, s) {
			list = append(list, s)
		}
	}
	return list[:min(len(list), spreadTargets)]
}

// Exchange takes the news of another entry and returns those of this one.
func (g *Group) Exchange(news Update) Update {
	g.hear(news)
	return g.tell()
}

func (g *Group) tell() Update {
	g.mu.Lock()
	news := Update{Members: g.table.digest(time.Now(), g.random)}
	g.mu.Unlock()
	if g.topics != nil {
		g.topics.AddLocalState(&news)
	}
	return news
}

func (g *Group) hear(news Update) {
	if g.topics != nil && g.topics.MergeRemoteState(news) {
		g.TriggerBroadcast()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.merge(news.Members)
}

// TriggerBroadcast tells other entries at once what this one found.
func (g *Group) TriggerBroadcast() {
	select {
	case g.urgent <- struct{}{}:
	default: // Others are told already.
	}
}

// Divisor is the number of entries among which the fleet's allowances are divided: all that may be
// alive. An entry that has just started, or meets nobody, assumes a large fleet. One that is cut off
// later keeps dividing by those that it knew.
func (g *Group) Divisor() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	entries := g.table.count()
	if g.rounds < settleRounds {
		entries = max(entries, g.assumed)
	}
	return entries
}

// LiveCount is the number of entries that are heard, this one included.
func (g *Group) LiveCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.heard(time.Now(), g.silence())
}

// silence is how long a member may be silent. News takes longer where an exchange carries only a part
// of the members. The caller holds the lock.
func (g *Group) silence() time.Duration {
	return silentAfter * time.Duration(max(1, len(g.table.known)/digestSize))
}

// Members returns the other entries as this one knows them.
func (g *Group) Members() []Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.members(time.Now())
}

// Leave tells other entries that this one ends by a planned stop.
func (g *Group) Leave(ctx context.Context) {
	g.mu.Lock()
	g.table.self.Left = true
	targets := g.candidates()
	g.random.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	g.mu.Unlock()
	g.exchange(ctx, targets[:min(len(targets), leaveTargets)]...)
}

// partner draws whom to meet next: a member, or a seed that may know others. Empty: nobody is known.
func (g *Group) partner() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	candidates := g.candidates()
	if len(candidates) == 0 {
		return nil
	}
	drawn := g.random.IntN(len(candidates))
	return candidates[drawn : drawn+1]
}

// candidates are the members that may be alive, and the seeds. The caller holds the lock.
func (g *Group) candidates() []string {
	list := slices.Clone(g.seeds)
	for _, m := range g.table.members(time.Now()) {
		if !m.Left && !slices.Contains(list, m.Address) {
			list = append(list, m.Address)
		}
	}
	return list
}

// exchange tells entries the same news, all at once, and reports whether one answered.
func (g *Group) exchange(ctx context.Context, addresses ...string) bool {
	if len(addresses) == 0 {
		return false
	}
	g.mu.Lock()
	g.table.self.Heartbeat++
	g.mu.Unlock()
	news := g.tell()
	var met atomic.Bool
	var all sync.WaitGroup
	for _, address := range addresses {
		all.Go(func() {
			if g.meet(ctx, address, news) {
				met.Store(true)
			}
		})
	}
	all.Wait()
	return met.Load()
}

// meet exchanges news with one entry and reports whether it answered.
func (g *Group) meet(ctx context.Context, address string, news Update) bool {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	answer, err := g.peers.Exchange(ctx, address, news)
	if err == nil {
		g.hear(answer)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	// A failed exchange shows as the member's silence, also here.
	g.notice(err)
	return err == nil
}

// merge takes what another entry knows. The caller holds the lock.
func (g *Group) merge(known []Member) {
	now := time.Now()
	for _, m := range g.table.merge(known, now) {
		g.rounds = 0
		g.log.Info(event.MemberFound, "address", m.Address, "silent_ms", m.SinceHeartbeat.Milliseconds(), "left", m.Left, "entries", g.table.count())
	}
	g.table.forget(now)
}

// notice logs who went silent, left or is back. The caller holds the lock.
func (g *Group) notice(err error) {
	for _, m := range g.table.members(time.Now()) {
		r, silent := g.table.known[m.Address], m.Left || m.SinceHeartbeat >= g.silence()
		if silent == r.told {
			continue
		}
		r.told = silent
		switch {
		case !silent:
			g.log.Info(event.MemberRecovered, "address", m.Address, "entries", g.table.count())
		case m.Left:
			g.log.Info(event.MemberLeft, "address", m.Address, "entries", g.table.count())
		default:
			if err == nil {
				err = errSilent
			}
			g.log.Error(err, event.MemberUnresponsive, "address", m.Address, "silent_ms", m.SinceHeartbeat.Milliseconds(), "entries", g.table.count())
		}
	}
}
