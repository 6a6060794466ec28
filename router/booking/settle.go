package booking

import (
	"math"
	"time"

	"gooseberrypin.example/router/configuration"
	"gooseberrypin.example/router/vm"
)

const (
	// maxRevision is higher than each published revision. It marks the last hand-over of a
	// sidecar that stops for good.
	maxRevision = math.MaxInt64
)

type (
	// Question asks another sidecar whether it has adopted a revision.
	Question struct {
		Member   Member
		Revision int64
		// pauses is the number of detected pauses before the question. An answer is
		// ignored if another pause was detected after the question.
		pauses int64
	}

	// Acknowledgement contains the newest revision that a sidecar has adopted and the number
	// of its runs in progress that were granted under revisions older than the question's.
	Acknowledgement struct {
		Revision int64
		Running  int
	}

	// peer is the known state of the sidecar on another VM.
	peer struct {
		member Member
		// clearedBelow is the revision below which the sidecar has no run in progress.
		clearedBelow int64
		// stopped reports that the sidecar stopped for good and has not started again.
		stopped bool
		// notServiceSidecar reports that the process on the VM is not the sidecar of a plain service.
		notServiceSidecar bool
	}
)

// Revision returns the newest adopted revision, or 0 before the first one.
func (h *Home) Revision() int64 {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.revision
}

// Adopt applies the layouts and limits of a configuration, unless a newer one was adopted.
func (h *Home) Adopt(i *configuration.Index, now time.Time) {
	now = h.Tick(now)
	h.mu.Lock()
	defer h.mu.Unlock()
	c := i.Configuration()
	if c.Revision <= h.revision {
		return
	}
	contiguous := c.Revision == h.revision+1 && h.maxPeerRevision <= c.Revision
	h.revision = c.Revision
	h.setLimits(&c.Limits)
	for _, m := range Sidecars(i) {
		h.updatePeer(m)
	}
	h.adoptLayouts(Layouts(i), contiguous)
	h.markSettledPools(now)
}

// SetVMs applies the platform's list of VMs, unless a newer one was applied.
func (h *Home) SetVMs(l *vm.List, now time.Time) {
	now = h.Tick(now)
	h.mu.Lock()
	defer h.mu.Unlock()
	if l.Version <= h.listVersion {
		return
	}
	h.listVersion = l.Version
	h.listed = make(map[string]bool, len(l.VMs))
	for _, v := range l.VMs {
		h.listed[v.Name] = true
		if v.Name == h.self.VM {
			h.leaving = v.State == vm.Leaving
		}
		if v.Role == vm.RoleUpstream {
			h.updatePeer(Member{VM: v.Name, Address: v.FleetAddress})
		}
	}
	h.markSettledPools(now)
}

// Tick records that the process is running and returns the time, which never goes back.
// After a pause another sidecar may be the home of the keys, so that all sidecars must
// acknowledge the newest revision again before new keys run.
func (h *Home) Tick(now time.Time) time.Time {
	now = h.monotonicTime(now)
	before := h.lastTickNanos.Swap(now.UnixNano())
	if before == 0 || now.UnixNano()-before <= int64(h.pauseThreshold) {
		return now
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pauses++
	for _, p := range h.pools {
		h.requireAllPeers(p)
	}
	return now
}

// Questions returns the questions that other sidecars must answer before keys may run here.
func (h *Home) Questions() []Question {
	h.mu.RLock()
	defer h.mu.RUnlock()
	highest := make(map[string]int64)
	for _, p := range h.pools {
		for name, revision := range p.requiredRevisions {
			if !h.isClearedBelow(name, revision) {
				highest[name] = max(highest[name], revision)
			}
		}
	}
	questions := make([]Question, 0, len(highest))
	for name, revision := range highest {
		questions = append(questions, Question{Member: h.peers[name].member, Revision: revision, pauses: h.pauses})
	}
	return questions
}

// RecordAcknowledgement applies the answer to a question.
func (h *Home) RecordAcknowledgement(q Question, a Acknowledgement, now time.Time) {
	now = h.Tick(now)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.maxPeerRevision = max(h.maxPeerRevision, a.Revision)
	if q.pauses == h.pauses && a.Revision >= q.Revision && a.Running == 0 {
		h.setClearedBelow(q.Member.VM, q.Revision)
	}
	h.markSettledPools(now)
}

// MarkNotServiceSidecar records that the process on a VM is not the sidecar of a plain service.
func (h *Home) MarkNotServiceSidecar(q Question, now time.Time) {
	now = h.Tick(now)
	h.mu.Lock()
	defer h.mu.Unlock()
	if p, found := h.peers[q.Member.VM]; found && p.member == q.Member {
		p.notServiceSidecar = true
	}
	h.markSettledPools(now)
}

// Acknowledge answers the question of another sidecar. If that sidecar is recorded as
// stopped, it has started again, and the record is cleared.
func (h *Home) Acknowledge(from string, revision int64, now time.Time) Acknowledgement {
	h.Tick(now)
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, p := range h.peers {
		if p.member.Upstream == from {
			p.stopped = false
		}
	}
	return Acknowledgement{Revision: h.revision, Running: h.running.countBelow(revision)}
}

// monotonicTime returns now, or the latest time seen if the clock was set back.
func (h *Home) monotonicTime(now time.Time) time.Time {
	for {
		newest := h.latestNanos.Load()
		if now.UnixNano() <= newest {
			return time.Unix(0, newest)
		}
		if h.latestNanos.CompareAndSwap(newest, now.UnixNano()) {
			return time.Unix(0, now.UnixNano())
		}
	}
}

func (h *Home) setLimits(l *configuration.Limits) {
	h.horizon, h.skew = l.KeyHorizon(), l.ClockSkew()
	h.maxSkew = max(h.maxSkew, h.skew)
}

// updatePeer adds or updates a sidecar that may have been the home of keys.
func (h *Home) updatePeer(m Member) {
	if m.VM == h.self.VM {
		return
	}
	p, found := h.peers[m.VM]
	if !found {
		p = &peer{}
		h.peers[m.VM] = p
	}
	if found && m.Upstream == "" && p.member.Address == m.Address {
		return
	}
	p.notServiceSidecar = p.notServiceSidecar && p.member == m
	p.member = m
}

func (h *Home) adoptLayouts(layouts map[string]*Layout, contiguous bool) {
	for name := range h.pools {
		if _, found := layouts[name]; !found {
			delete(h.pools, name)
		}
	}
	for name, l := range layouts {
		p, found := h.pools[name]
		if !found {
			p = newPool()
			h.pools[name] = p
		}
		if p.adopt(l, h.revision, contiguous) && !p.current().contiguous {
			h.requireAllPeers(p)
		}
	}
}

// requireAllPeers requires the newest revision from each sidecar that may have been the home of keys.
func (h *Home) requireAllPeers(p *pool) {
	for name, other := range h.peers {
		other.clearedBelow = 0
		if !other.notServiceSidecar {
			p.requiredRevisions[name] = h.revision
		}
	}
}

// markSettledPools marks the pools whose keys no other sidecar can run any more. It marks
// none before the first list of VMs, because the set of sidecars is not known until then,
// and none while another sidecar has a newer revision.
func (h *Home) markSettledPools(now time.Time) {
	if h.maxPeerRevision > h.revision || h.listed == nil {
		return
	}
	for _, p := range h.pools {
		for name, revision := range p.requiredRevisions {
			if h.isClearedBelow(name, revision) {
				delete(p.requiredRevisions, name)
			}
		}
		if len(p.requiredRevisions) == 0 && p.current().settled.IsZero() {
			p.current().settled = now
		}
	}
}

// isClearedBelow reports whether a VM's sidecar has no run in progress that was granted under
// a revision older than the given one. A VM that is no longer listed counts as cleared.
func (h *Home) isClearedBelow(name string, revision int64) bool {
	if name == h.self.VM || (h.listed != nil && !h.listed[name]) {
		return true
	}
	p, found := h.peers[name]
	return found && (p.stopped || p.notServiceSidecar || p.clearedBelow >= revision)
}

func (h *Home) setClearedBelow(name string, revision int64) {
	if p, found := h.peers[name]; found {
		p.clearedBelow = max(p.clearedBelow, revision)
	}
}
