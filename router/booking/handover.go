package booking

import (
	"slices"
	"time"
)

const (
	// maxPartRecords is the maximum number of records in one hand-over message. A message
	// also ends with the record that brings its result bodies to maxPartBytes.
	maxPartRecords = 500
	maxPartBytes   = 512 << 10
)

type (
	// HandOver transfers records to the next home of their keys.
	HandOver struct {
		Pool string
		From string
		// Revision is the first revision with the layout that moved the keys. In a planned
		// stop it is the sender's newest revision, or maxRevision in the last hand-over.
		Revision int64
		// Complete reports that From holds no further records for the receiver and runs none of its keys.
		Complete bool
		Records  []Record
		// CoveredSince is the key creation time from which the records are complete if Complete is set.
		CoveredSince time.Time
	}
)

// PendingHandOvers returns the hand-overs of the keys that moved from this sidecar to another
// upstream, at most one for each pool. It omits a pool if completed returns true for the pool's
// name and the first revision of its layout. It also omits a pool while a run is in progress
// that was granted under a revision older than the pool's layout.
func (h *Home) PendingHandOvers(to string, completed func(pool string, revision int64) bool) []HandOver {
	h.mu.RLock()
	defer h.mu.RUnlock()
	var list []HandOver
	for name, p := range h.pools {
		if _, member := p.current().layout.find(to); !member || completed(name, p.current().revision) {
			continue
		}
		if h.running.countBelow(p.current().revision) > 0 {
			continue
		}
		o := HandOver{Pool: name, From: h.self.Upstream, Revision: p.current().revision}
		o.CoveredSince, o.Complete = p.previousCoverage(h.self)
		l := p.current().layout
		o.Records = h.table.list(func(r *Record) bool {
			m, found := l.Home(r.Key)
			return r.Pool == name && found && m.Upstream == to
		})
		if o.Complete || len(o.Records) > 0 {
			list = append(list, o)
		}
	}
	return list
}

// Parts splits a hand-over into messages of limited size. Only the last one may be complete.
func (o HandOver) Parts() []HandOver {
	var parts []HandOver
	first, size := 0, 0
	for i := range o.Records {
		size += len(o.Records[i].Result.Body)
		if next := i + 1; next-first >= maxPartRecords || size >= maxPartBytes {
			parts = append(parts, o.part(first, next))
			first, size = next, 0
		}
	}
	last := o.part(first, len(o.Records))
	last.Complete = o.Complete
	return append(parts, last)
}

// StartDraining makes the sidecar refuse new keys. Keys with a record are still answered.
func (h *Home) StartDraining() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.draining = true
}

// FinalHandOvers returns the hand-overs of a planned stop by receiving member. It must be called
// after StartDraining, once no run is in progress.
func (h *Home) FinalHandOvers() map[Member][]HandOver {
	h.mu.RLock()
	defer h.mu.RUnlock()
	handOvers := make(map[Member][]HandOver)
	for name, p := range h.pools {
		for next, records := range h.recordsByNextHome(name, p.current().layout) {
			o := HandOver{Pool: name, From: h.self.Upstream, Revision: h.revision, Records: records}
			handOvers[next] = append(handOvers[next], o)
		}
	}
	stopped := HandOver{From: h.self.Upstream, Revision: maxRevision, Complete: true}
	for _, p := range h.peers {
		if !p.notServiceSidecar {
			handOvers[p.member] = append(handOvers[p.member], stopped)
		}
	}
	return handOvers
}

// Accept stores the records of a hand-over and returns the number of accepted ones. It
// accepts no further new keys when the table is full.
func (h *Home) Accept(o HandOver, now time.Time) int {
	now = h.Tick(now)
	h.mu.Lock()
	defer h.mu.Unlock()
	accepted := 0
	for i := range o.Records {
		if h.acceptRecord(&o.Records[i], now) {
			accepted++
		}
	}
	if !o.Complete || accepted < len(o.Records) {
		return accepted
	}
	if o.Revision == maxRevision {
		h.markStopped(o.From, now)
		return accepted
	}
	p, found := h.pools[o.Pool]
	if found && p.current().contiguous && p.current().revision == o.Revision {
		p.current().handedOverSince[o.From] = o.CoveredSince
	}
	return accepted
}

func (o HandOver) part(first, end int) HandOver {
	o.Records, o.Complete = o.Records[first:end], false
	return o
}

// acceptRecord stores a record unless the key is beyond the horizon or has a better record.
// It returns false only if the table is full.
func (h *Home) acceptRecord(r *Record, now time.Time) bool {
	if r.Created.Before(now.Add(-h.horizon)) {
		return true
	}
	s := h.table.shard(r.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, found := s.entries[r.Key]; found {
		if e.State == Unknown && r.State == Done {
			e.State = Done
			h.table.setResult(e, r.Result)
		}
		return true
	}
	if !h.table.reserve() {
		return false
	}
	e := &entry{Record: *r}
	if e.State == Intent {
		e.State = Unknown
	}
	h.table.insert(s, e)
	return true
}

// markStopped records that an upstream's sidecar stopped for good.
func (h *Home) markStopped(upstream string, now time.Time) {
	for _, p := range h.peers {
		if p.member.Upstream == upstream {
			p.stopped = true
		}
	}
	h.markSettledPools(now)
}

// recordsByNextHome groups the records of a pool by the member that becomes the home of
// their keys when this sidecar stops. If the pool has no other member, a sidecar outside
// the pool stores them until this one restarts.
func (h *Home) recordsByNextHome(name string, l *Layout) map[Member][]Record {
	groups := make(map[Member][]Record)
	others := NewLayout(h.otherSidecars())
	for _, r := range h.table.list(func(r *Record) bool { return r.Pool == name }) {
		next, found := l.Home(r.Key)
		if found && next.Is(h.self) {
			next, found = l.HomeWithout(r.Key, h.self.Upstream)
		}
		if !found {
			next, found = others.Home(r.Key)
		}
		if found {
			groups[next] = append(groups[next], r)
		}
	}
	for next := range groups {
		slices.SortFunc(groups[next], func(a, b Record) int { return a.Created.Compare(b.Created) })
	}
	return groups
}

// otherSidecars returns the sidecars of other plain services on listed VMs that have not stopped.
func (h *Home) otherSidecars() []Member {
	var list []Member
	for name, p := range h.peers {
		if h.listed[name] && p.member.Upstream != "" && !p.notServiceSidecar && !p.stopped {
			list = append(list, p.member)
		}
	}
	return list
}
