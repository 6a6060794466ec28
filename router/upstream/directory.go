package upstream

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// returnGrace is how long after the source's return an entry that it lost meanwhile is
	// kept: servers that live publish themselves again within about 2 s.
	returnGrace = 2 * time.Second
)

type (
	// Directory is the set of upstreams that the platform publishes. While the source is
	// away, the last known upstreams stay. It is safe for concurrent use.
	Directory struct {
		mu      sync.RWMutex
		members map[string]*Member
		// published are the IDs of the members that were published at an address.
		published map[string][]string
		// serving are the members that take work, by pool and phase, ordered by ID. It is built anew
		// when a member has changed; nil: one has.
		serving map[role][]*Member
		// lapsed holds when members that the source lost in an outage are dropped.
		lapsed map[string]time.Time
		away   bool
		// settled is when entries missing after an outage are gone for good.
		settled time.Time
		// ended is told of each incarnation that is known to have ended.
		ended func(Upstream)
	}

	// Option changes a directory.
	Option func(*Directory)

	// role is what a member does.
	role struct {
		pool  string
		phase Phase
	}
)

// NewDirectory returns an empty directory.
func NewDirectory(opts ...Option) *Directory {
	d := &Directory{
		members:   make(map[string]*Member),
		published: make(map[string][]string),
		lapsed:    make(map[string]time.Time),
		ended:     func(Upstream) {},
	}
	for _, opt := range opts {
		opt(d)
	}
	return d
}

// WithTerminationHandler sets what is told of each incarnation that is known to have ended: it is published no more, or
// another one is published under its ID or address.
func WithTerminationHandler(ended func(Upstream)) Option {
	return func(d *Directory) { d.ended = ended }
}

// Put takes what an upstream published of itself. It reports whether the upstream is new.
func (d *Directory) Put(u Upstream) bool {
	d.mu.Lock()
	isNew, ended := d.put(u)
	d.mu.Unlock()
	d.tell(ended)
	return isNew
}

// succeed ends the incarnations that a new member follows at its address, and returns them. A member that
// was published late, after its successor, gets no work. The caller holds the lock.
func (d *Directory) succeed(next *Member) []Upstream {
	var ended []Upstream
	for _, id := range d.published[next.Address] {
		m := d.members[id]
		switch {
		case m.ID == next.ID, m.Started.IsZero(), next.Started.IsZero():
		case m.Started.After(next.Started):
			next.Replaced()
		case m.Started.Before(next.Started):
			ended = append(ended, m.end()...)
			m.Replaced()
		}
	}
	return ended
}

// end returns the incarnation, unless its end is known already.
func (m *Member) end() []Upstream {
	if m.isGone() {
		return nil
	}
	return []Upstream{m.Upstream}
}

func (d *Directory) tell(ended []Upstream) {
	for _, u := range ended {
		d.ended(u)
	}
}

// put takes what an upstream published. It reports whether the incarnation is new, and returns those that
// are known to have ended by it. The caller holds the lock.
func (d *Directory) put(u Upstream) (bool, []Upstream) {
	delete(d.lapsed, u.ID)
	d.serving = nil
	old, found := d.members[u.ID]
	switch {
	case found && u.Started.Before(old.Started) && !u.Started.IsZero():
		// A late write of an earlier incarnation says nothing of the one that runs.
		return false, nil
	case !found || old.Address != u.Address || old.Started != u.Started:
		next := &Member{Upstream: u, History: &History{}}
		ended := d.succeed(next)
		if found {
			ended = append(ended, old.end()...)
			d.unpublish(old)
		}
		d.members[u.ID] = next
		d.published[u.Address] = append(d.published[u.Address], u.ID)
		return true, ended
	case old.Upstream == u:
		return false, nil
	}
	// Facts that requests read without the lock never change in place.
	d.members[u.ID] = &Member{Upstream: u, History: old.History}
	return false, nil
}

// Remove drops an upstream, or keeps it for the grace after an outage of the source. It
// reports whether the upstream is gone now.
func (d *Directory) Remove(id string, now time.Time) bool {
	d.mu.Lock()
	m, found := d.members[id]
	if !found {
		d.mu.Unlock()
		return false
	}
	if d.away || now.Before(d.settled) {
		d.lapse(id, now)
		d.mu.Unlock()
		return false
	}
	d.drop(id)
	d.mu.Unlock()
	d.tell(m.end())
	return true
}

// drop forgets a member. The caller holds the lock.
func (d *Directory) drop(id string) {
	d.serving = nil
	d.unpublish(d.members[id])
	delete(d.members, id)
	delete(d.lapsed, id)
}

// unpublish takes a member from those at its address. The caller holds the lock.
func (d *Directory) unpublish(m *Member) {
	left := slices.DeleteFunc(d.published[m.Address], func(id string) bool { return id == m.ID })
	if len(left) == 0 {
		delete(d.published, m.Address)
		return
	}
	d.published[m.Address] = left
}

func (d *Directory) lapse(id string, now time.Time) {
	if _, found := d.lapsed[id]; found {
		return
	}
	until := d.settled
	if d.away || until.Before(now) {
		until = now.Add(returnGrace)
	}
	d.lapsed[id] = until
}

// Replace takes the whole set.
func (d *Directory) Replace(all []Upstream, now time.Time) {
	d.mu.Lock()
	var ended []Upstream
	published := make(map[string]bool, len(all))
	for _, u := range all {
		published[u.ID] = true
		_, earlier := d.put(u)
		ended = append(ended, earlier...)
	}
	for id, m := range d.members {
		switch {
		case published[id]:
		case now.Before(d.settled):
			d.lapse(id, now)
		default:
			d.drop(id)
			ended = append(ended, m.end()...)
		}
	}
	d.mu.Unlock()
	d.tell(ended)
}

// SourceUnavailable records that the source can't be read.
func (d *Directory) SourceUnavailable() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.away = true
}

// SourceAvailable records that the source can be read again. Call it before Replace.
func (d *Directory) SourceAvailable(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.away {
		return
	}
	d.away = false
	d.settled = now.Add(returnGrace)
}

// Sweep drops the members whose grace is over.
func (d *Directory) Sweep(now time.Time) {
	d.mu.Lock()
	var ended []Upstream
	for id, until := range d.lapsed {
		if !d.away && !now.Before(until) {
			ended = append(ended, d.members[id].end()...)
			d.drop(id)
		}
	}
	d.mu.Unlock()
	d.tell(ended)
}

// Ready returns the members of a pool and phase that may get new work, ordered by ID.
func (d *Directory) Ready(pool string, phase Phase, now time.Time) []*Member {
	return keep(d.roles(role{pool, phase}), func(m *Member) bool { return m.usable(now) })
}

// Published returns the members of a pool and phase that are not leaving, ejected or not.
func (d *Directory) Published(pool string, phase Phase) []*Member {
	return keep(d.roles(role{pool, phase}), func(m *Member) bool { return !m.isGone() })
}

func keep(members []*Member, wanted func(*Member) bool) []*Member {
	var kept []*Member
	for _, m := range members {
		if wanted(m) {
			kept = append(kept, m)
		}
	}
	return kept
}

// roles returns the members of a role that are not draining, ordered by ID. Each request asks several times,
// while members change some times a second at most.
func (d *Directory) roles(r role) []*Member {
	d.mu.RLock()
	serving := d.serving
	d.mu.RUnlock()
	if serving == nil {
		serving = d.index()
	}
	return serving[r]
}

func (d *Directory) index() map[role][]*Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.serving != nil {
		return d.serving
	}
	d.serving = make(map[role][]*Member)
	for _, m := range d.sorted() {
		if !m.Draining {
			r := role{m.Pool, m.Phase}
			d.serving[r] = append(d.serving[r], m)
		}
	}
	return d.serving
}

// sorted returns all members, ordered by ID. The caller holds the lock.
func (d *Directory) sorted() []*Member {
	return slices.SortedFunc(maps.Values(d.members), func(a, b *Member) int { return cmp.Compare(a.ID, b.ID) })
}

// Failing returns the IDs of the upstreams that this process has ejected for their failures.
func (d *Directory) Failing(now time.Time) []string {
	d.mu.RLock()
	defer d.mu.RUnlock()
	var ids []string
	for _, m := range d.members {
		if m.failing(now) {
			ids = append(ids, m.ID)
		}
	}
	slices.Sort(ids)
	return ids
}

// MarkSuspect records that another process has ejected upstreams.
func (d *Directory) MarkSuspect(ids []string) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	for _, id := range ids {
		if m, found := d.members[id]; found {
			m.MarkSuspect()
		}
	}
}

// Pools returns the names of the pools that have members, in order.
func (d *Directory) Pools() []string {
	d.mu.RLock()
	defer d.mu.RUnlock()
	var pools []string
	for _, m := range d.members {
		if !slices.Contains(pools, m.Pool) {
			pools = append(pools, m.Pool)
		}
	}
	slices.Sort(pools)
	return pools
}

// Size returns the number of members.
func (d *Directory) Size() int {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return len(d.members)
}
