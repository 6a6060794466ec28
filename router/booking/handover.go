package booking

import (
	"slices"
	"time"
)

const (
	// maxPartRecords and maxPartBytes bound one message of a hand-over.
	maxPartRecords = 500
	maxPartBytes   = 512 << 10
)

type (
	// HandOver carries records to the next home of their keys.
	HandOver struct {
		Pool string
		From string
		// Revision is the first one of the layout that moved the keys.
		Revision int64
		// Complete tells that From holds no more records for the receiver and runs none.
		Complete bool
		Records  []Record
		// CoveredSince is the creation time from which whole records are complete.
		CoveredSince time.Time
	}
)

// PendingHandOvers returns the hand-overs of the keys that moved from here to another upstream,
// but for those that are over: their pool and the first revision of its layout tell them apart.
func (h *Home) PendingHandOvers(to string, over func(pool string, revision int64) bool) []HandOver {
	h.mu.RLock()
	defer h.mu.RUnlock()
	var list []HandOver
	for name, p := range h.pools {
		if _, member := p.current().layout.find(to); !member || over(name, p.current().revision) {
			continue
		}
		if h.running.below(p.current().revision) > 0 {
			continue
		}
		o := HandOver{Pool: name, From: h.self.Upstream, Revision: p.current().revision}
		o.CoveredSince, o.Complete = p.kept(h.self)
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

// Parts cuts a hand-over into messages of a bounded size. Only the last one is whole.
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

// StartDraining refuses new keys from now on. Records still answer.
func (h *Home) StartDraining() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.draining = true
}

// FinalHandOvers returns the hand-overs of a planned stop, by the member that gets them. It
// is called after Stop, when nothing runs any more.
func (h *Home) FinalHandOvers() map[Member][]HandOver {
	h.mu.RLock()
	defer h.mu.RUnlock()
	leaving := make(map[Member][]HandOver)
	for name, p := range h.pools {
		for next, records := range h.byNext(name, p.current().layout) {
			o := HandOver{Pool: name, From: h.self.Upstream, Revision: h.revision, Records: records}
			leaving[next] = append(leaving[next], o)
		}
	}
	stopped := HandOver{From: h.self.Upstream, Revision: maxRevision, Complete: true}
	for _, p := range h.peers {
		if !p.elsewhere {
			leaving[p.member] = append(leaving[p.member], stopped)
		}
	}
	return leaving
}

// Accept takes a hand-over, and returns the number of records that were taken.
func (h *Home) Accept(o HandOver, now time.Time) int {
	now = h.Tick(now)
	h.mu.Lock()
	defer h.mu.Unlock()
	accepted := 0
	for i := range o.Records {
		if h.take(&o.Records[i], now) {
			accepted++
		}
	}
	if !o.Complete || accepted < len(o.Records) {
		return accepted
	}
	if o.Revision == maxRevision {
		h.stopped(o.From, now)
		return accepted
	}
	p, found := h.pools[o.Pool]
	if found && p.current().contiguous && p.current().revision == o.Revision {
		p.current().handed[o.From] = o.CoveredSince
	}
	return accepted
}

func (o HandOver) part(first, end int) HandOver {
	o.Records, o.Complete = o.Records[first:end], false
	return o
}

// take keeps a record unless a better one is here. It tells whether the key is covered.
func (h *Home) take(r *Record, now time.Time) bool {
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

// stopped notes that an upstream's sidecar stopped for good.
func (h *Home) stopped(upstream string, now time.Time) {
	for _, p := range h.peers {
		if p.member.Upstream == upstream {
			p.stopped = true
		}
	}
	h.settle(now)
}

// byNext groups the records of a pool by the member that follows as their keys' home.
// Without such a member any other sidecar keeps them until this one starts again.
func (h *Home) byNext(name string, l *Layout) map[Member][]Record {
	groups := make(map[Member][]Record)
	others := NewLayout(h.others())
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

// others lists the sidecars of other plain services on listed VMs.
func (h *Home) others() []Member {
	var list []Member
	for name, p := range h.peers {
		if h.listed[name] && p.member.Upstream != "" && !p.elsewhere && !p.stopped {
			list = append(list, p.member)
		}
	}
	return list
}
