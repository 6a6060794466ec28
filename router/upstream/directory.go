package upstream

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// removalGrace is how long members that were withdrawn during a source outage are kept after the source
	// recovers. Live servers publish themselves again within about 2 s.
	removalGrace = 2 * time.Second
)

type (
	// Directory is the set of upstreams that the platform publishes. While the source is unavailable, the
	// last published upstreams are kept. It is safe for concurrent use.
	Directory struct {
		mu      sync.RWMutex
		members map[string]*Member
		// idsByAddress holds the IDs of the members that are published at an address.
		idsByAddress map[string][]string
		// occupants holds, by address, the latest incarnation that was published there, until its departure is forgotten.
		occupants map[string]occupant
		// membersByRole caches the members that are not draining, by pool and phase, ordered by ID. It is nil
		// after a member has changed.
		membersByRole map[role][]*Member
		// removalDue holds, by ID, when members that were withdrawn during a source outage are removed.
		removalDue        map[string]time.Time
		sourceUnavailable bool
		// graceEnd is the end of the grace period after the last source outage.
		graceEnd time.Time
		// restoreEnd is the end of RestoreGrace after the last restore of the source.
		restoreEnd time.Time
		// departed holds, by ID, the incarnations that have left within departedRetention.
		departed map[string]departure
		// onTermination is called once for each incarnation that is found to have terminated.
		onTermination func(Termination)
	}

	// Option configures a directory.
	Option func(*Directory)

	// role is a key of membersByRole.
	role struct {
		pool  string
		phase Phase
	}
)

// NewDirectory returns an empty directory.
func NewDirectory(opts ...Option) *Directory {
	d := &Directory{
		members:       make(map[string]*Member),
		idsByAddress:  make(map[string][]string),
		occupants:     make(map[string]occupant),
		removalDue:    make(map[string]time.Time),
		departed:      make(map[string]departure),
		onTermination: func(Termination) {},
	}
	for _, opt := range opts {
		opt(d)
	}
	return d
}

// WithTerminationHandler sets a function that is called for each incarnation that is found to have
// terminated: it is no longer published, or a later incarnation is published under its ID or address. The
// function runs without the directory's lock.
func WithTerminationHandler(onTermination func(Termination)) Option {
	return func(d *Directory) { d.onTermination = onTermination }
}

// Put adds or updates an upstream as it was published. It reports whether the incarnation is new.
func (d *Directory) Put(u Upstream) bool {
	d.mu.Lock()
	isNew, terminated := d.put(u)
	d.mu.Unlock()
	d.notifyTerminated(terminated)
	return isNew
}

func (d *Directory) notifyTerminated(terminated []Termination) {
	for _, t := range terminated {
		d.onTermination(t)
	}
}

// put adds or updates an upstream as it was published. It reports whether the incarnation is new, and returns
// the incarnations that it shows to have terminated. The caller holds the lock.
func (d *Directory) put(u Upstream) (bool, []Termination) {
	old, found := d.members[u.ID]
	last, known := d.departed[u.ID]
	if found {
		last, known = old.departure(), true
	}
	restoring := time.Now().Before(d.restoreEnd)
	switch {
	case known && u.Started.Before(last.started) && !u.Started.IsZero():
		// A delayed write of an earlier incarnation, or an older copy of the source, does not affect a later one.
		return false, nil
	case known && !found && restoring && u.Started.Equal(last.started):
		// The older copy of a restored source has not seen it leave.
		return false, nil
	case found && old.Draining && u.Started.Equal(last.started) && (restoring || !u.Started.IsZero()):
		// An incarnation that drains never serves again.
		u.Draining = true
	}
	delete(d.departed, u.ID)
	delete(d.removalDue, u.ID)
	d.membersByRole = nil
	switch {
	case !found || old.Address != u.Address || old.Started != u.Started:
		next := &Member{Upstream: u, History: last.historyOf(u)}
		terminated := d.replacePredecessors(next)
		if found {
			terminated = append(terminated, old.newlyTerminated(!old.Started.Equal(u.Started))...)
			d.removeFromAddress(old)
		}
		d.members[u.ID] = next
		d.idsByAddress[u.Address] = append(d.idsByAddress[u.Address], u.ID)
		d.occupy(next)
		return true, terminated
	case old.Upstream == u:
		return false, nil
	}
	// Requests read members without the lock, so a new Member takes the place of a changed one.
	d.members[u.ID] = &Member{Upstream: u, History: old.History}
	return false, nil
}

// Remove removes an upstream and reports whether it did. While the source is unavailable and during the grace
// period after an outage, it schedules the removal instead.
func (d *Directory) Remove(id string, now time.Time) bool {
	d.mu.Lock()
	m, found := d.members[id]
	if !found {
		d.mu.Unlock()
		return false
	}
	if d.sourceUnavailable || now.Before(d.graceEnd) {
		d.scheduleRemoval(id, now)
		d.mu.Unlock()
		return false
	}
	d.drop(id)
	d.mu.Unlock()
	d.notifyTerminated(m.unpublished())
	return true
}

// drop removes a member. The caller holds the lock.
func (d *Directory) drop(id string) {
	d.membersByRole = nil
	m := d.members[id]
	d.departed[id] = m.departure()
	d.removeFromAddress(m)
	delete(d.members, id)
	delete(d.removalDue, id)
}

// removeFromAddress removes a member's ID from idsByAddress. The caller holds the lock.
func (d *Directory) removeFromAddress(m *Member) {
	remaining := slices.DeleteFunc(d.idsByAddress[m.Address], func(id string) bool { return id == m.ID })
	if len(remaining) == 0 {
		delete(d.idsByAddress, m.Address)
		return
	}
	d.idsByAddress[m.Address] = remaining
}

func (d *Directory) scheduleRemoval(id string, now time.Time) {
	if _, found := d.removalDue[id]; found {
		return
	}
	due := d.graceEnd
	if d.sourceUnavailable || due.Before(now) {
		due = now.Add(removalGrace)
	}
	d.removalDue[id] = due
}

// Replace sets all upstreams, as the source lists them. During the grace period after an outage, members that
// are not listed are scheduled for removal; otherwise they are removed at once.
func (d *Directory) Replace(all []Upstream, now time.Time) {
	d.mu.Lock()
	var terminated []Termination
	published := make(map[string]bool, len(all))
	for _, u := range all {
		published[u.ID] = true
		_, predecessors := d.put(u)
		terminated = append(terminated, predecessors...)
	}
	for id, m := range d.members {
		switch {
		case published[id]:
		case now.Before(d.graceEnd):
			d.scheduleRemoval(id, now)
		default:
			d.drop(id)
			terminated = append(terminated, m.unpublished()...)
		}
	}
	d.mu.Unlock()
	d.notifyTerminated(terminated)
}

// SourceUnavailable records that the source cannot be read.
func (d *Directory) SourceUnavailable() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sourceUnavailable = true
}

// SourceAvailable records that the source can be read again, and begins the grace period after an outage.
// Call it before Replace.
func (d *Directory) SourceAvailable(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.sourceUnavailable {
		return
	}
	d.sourceUnavailable = false
	d.graceEnd = now.Add(removalGrace)
}

// Sweep removes the members whose scheduled removal is due, unless the source is unavailable.
func (d *Directory) Sweep(now time.Time) {
	d.mu.Lock()
	d.forgetDeparted(now)
	var terminated []Termination
	for id, due := range d.removalDue {
		if !d.sourceUnavailable && !now.Before(due) {
			terminated = append(terminated, d.members[id].unpublished()...)
			d.drop(id)
		}
	}
	d.mu.Unlock()
	d.notifyTerminated(terminated)
}

// Ready returns the members of a pool and phase that may get new requests, ordered by ID. Draining, replaced
// and ejected members are left out, and those that pause after a rejection.
func (d *Directory) Ready(pool string, phase Phase, now time.Time) []*Member {
	return filter(d.membersInRole(role{pool, phase}), func(m *Member) bool { return m.usable(now) })
}

// Published returns the members of a pool and phase that are neither draining nor leaving nor replaced, ordered by ID.
// Ejected members are included.
func (d *Directory) Published(pool string, phase Phase) []*Member {
	return filter(d.membersInRole(role{pool, phase}), func(m *Member) bool { return !m.isReplaced(time.Now()) && !m.isLeaving() })
}

func filter(members []*Member, include func(*Member) bool) []*Member {
	var kept []*Member
	for _, m := range members {
		if include(m) {
			kept = append(kept, m)
		}
	}
	return kept
}

// membersInRole returns the members of a role that are not draining, ordered by ID. Each request calls it
// several times, while members change a few times a second at most, so the result is cached.
func (d *Directory) membersInRole(r role) []*Member {
	d.mu.RLock()
	membersByRole := d.membersByRole
	d.mu.RUnlock()
	if membersByRole == nil {
		membersByRole = d.indexRoles()
	}
	return membersByRole[r]
}

func (d *Directory) indexRoles() map[role][]*Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.membersByRole != nil {
		return d.membersByRole
	}
	d.membersByRole = make(map[role][]*Member)
	for _, m := range d.sorted() {
		if !m.Draining {
			r := role{m.Pool, m.Phase}
			d.membersByRole[r] = append(d.membersByRole[r], m)
		}
	}
	return d.membersByRole
}

// sorted returns all members, ordered by ID. The caller holds the lock.
func (d *Directory) sorted() []*Member {
	return slices.SortedFunc(maps.Values(d.members), func(a, b *Member) int { return cmp.Compare(a.ID, b.ID) })
}

// Failing returns the IDs of the upstreams that this process has ejected because of failures, in order.
func (d *Directory) Failing(now time.Time) []string {
	d.mu.RLock()
	defer d.mu.RUnlock()
	var ids []string
	for _, m := range d.members {
		if m.ejectedForFailures(now) {
			ids = append(ids, m.ID)
		}
	}
	slices.Sort(ids)
	return ids
}

// MarkSuspect records that another process has ejected the upstreams with these IDs. Unknown IDs are ignored.
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

// Contains reports whether an upstream is a member.
func (d *Directory) Contains(id string) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	_, found := d.members[id]
	return found
}

// ContainsIncarnation reports whether the same incarnation is a member at the same address. Without a start time, incarnations
// can't be told apart.
func (d *Directory) ContainsIncarnation(u Upstream) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	m, found := d.members[u.ID]
	return found && m.Address == u.Address && !u.Started.IsZero() && m.Started.Equal(u.Started)
}

// Size returns the number of members.
func (d *Directory) Size() int {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return len(d.members)
}
