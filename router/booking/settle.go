package booking

import (
	"math"
	"time"

	"gooseberrypin.example/router/configuration"
	"gooseberrypin.example/router/vm"
)

const (
	// maxRevision is above each published revision. A sidecar that stops for good
	// hands over under it.
	maxRevision = math.MaxInt64
)

type (
	// Question asks a sidecar whether it acts on a revision.
	Question struct {
		Member   Member
		Revision int64
		// doubts is the number of pauses before the question; older answers don't count.
		doubts int64
	}

	// Acknowledgement tells which revision a sidecar acts on, and how many of its
	// runs were granted under revisions older than the question's.
	Acknowledgement struct {
		Revision int64
		Running  int
	}

	// peer is what is known of the sidecar on another VM.
	peer struct {
		member Member
		// cleared is the revision below which the sidecar runs nothing.
		cleared int64
		// stopped tells that the sidecar stopped for good and has not started again.
		stopped bool
		// elsewhere tells that the process on the VM is not the sidecar of a plain service.
		elsewhere bool
	}
)

// Revision returns the newest revision that was adopted.
func (h *Home) Revision() int64 {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.revision
}

// Adopt takes the layouts of a configuration.
func (h *Home) Adopt(i *configuration.Index, now time.Time) {
	now = h.Tick(now)
	h.mu.Lock()
	defer h.mu.Unlock()
	c := i.Configuration()
	if c.Revision <= h.revision {
		return
	}
	contiguous := c.Revision == h.revision+1 && h.ahead <= c.Revision
	h.revision = c.Revision
	h.setLimits(&c.Limits)
	for _, m := range Sidecars(i) {
		h.meet(m)
	}
	h.adoptLayouts(Layouts(i), contiguous)
	h.settle(now)
}

// SetVMs takes the platform's list of VMs.
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
			h.meet(Member{VM: v.Name, Address: v.FleetAddress})
		}
	}
	h.settle(now)
}

// Tick notes that the process runs. After a pause it doubts that it is still the home
// of its keys. It returns the time, which never goes back.
func (h *Home) Tick(now time.Time) time.Time {
	now = h.advance(now)
	before := h.ticked.Swap(now.UnixNano())
	if before == 0 || now.UnixNano()-before <= int64(h.pause) {
		return now
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.doubts++
	for _, p := range h.pools {
		h.needAll(p)
	}
	return now
}

// Questions returns whom to ask before keys may run.
func (h *Home) Questions() []Question {
	h.mu.RLock()
	defer h.mu.RUnlock()
	highest := make(map[string]int64)
	for _, p := range h.pools {
		for name, revision := range p.needs {
			if !h.clear(name, revision) {
				highest[name] = max(highest[name], revision)
			}
		}
	}
	questions := make([]Question, 0, len(highest))
	for name, revision := range highest {
		questions = append(questions, Question{Member: h.peers[name].member, Revision: revision, doubts: h.doubts})
	}
	return questions
}

// RecordAcknowledgement takes the answer to a question.
func (h *Home) RecordAcknowledgement(q Question, a Acknowledgement, now time.Time) {
	now = h.Tick(now)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ahead = max(h.ahead, a.Revision)
	if q.doubts == h.doubts && a.Revision >= q.Revision && a.Running == 0 {
		h.clearTo(q.Member.VM, q.Revision)
	}
	h.settle(now)
}

// MarkNotServiceSidecar notes that the process on a VM is not the sidecar of a plain service.
func (h *Home) MarkNotServiceSidecar(q Question, now time.Time) {
	now = h.Tick(now)
	h.mu.Lock()
	defer h.mu.Unlock()
	if p, found := h.peers[q.Member.VM]; found && p.member == q.Member {
		p.elsewhere = true
	}
	h.settle(now)
}

// Acknowledge answers the question of another sidecar.
func (h *Home) Acknowledge(from string, revision int64, now time.Time) Acknowledgement {
	h.Tick(now)
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, p := range h.peers {
		if p.member.Upstream == from {
			p.stopped = false
		}
	}
	return Acknowledgement{Revision: h.revision, Running: h.running.below(revision)}
}

// advance returns the time, or the newest one seen when the clock went back.
func (h *Home) advance(now time.Time) time.Time {
	for {
		newest := h.newest.Load()
		if now.UnixNano() <= newest {
			return time.Unix(0, newest)
		}
		if h.newest.CompareAndSwap(newest, now.UnixNano()) {
			return time.Unix(0, now.UnixNano())
		}
	}
}

func (h *Home) setLimits(l *configuration.Limits) {
	h.horizon, h.skew = defaultHorizon, defaultSkew
	if l.KeyHorizonSeconds > 0 {
		h.horizon = time.Duration(l.KeyHorizonSeconds) * time.Second
	}
	if l.ClockSkewMS > 0 {
		h.skew = time.Duration(l.ClockSkewMS) * time.Millisecond
	}
	h.widest = max(h.widest, h.skew)
}

// meet notes a sidecar that may have been a home.
func (h *Home) meet(m Member) {
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
	p.elsewhere = p.elsewhere && p.member == m
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
			h.needAll(p)
		}
	}
}

// needAll demands the newest revision from each sidecar that may have been a home.
func (h *Home) needAll(p *pool) {
	for name, other := range h.peers {
		other.cleared = 0
		if !other.elsewhere {
			p.needs[name] = h.revision
		}
	}
}

// settle notes the pools whose keys no other sidecar can run any more. Without a
// list of VMs nobody knows which sidecars there are.
func (h *Home) settle(now time.Time) {
	if h.ahead > h.revision || h.listed == nil {
		return
	}
	for _, p := range h.pools {
		for name, revision := range p.needs {
			if h.clear(name, revision) {
				delete(p.needs, name)
			}
		}
		if len(p.needs) == 0 && p.current().settled.IsZero() {
			p.current().settled = now
		}
	}
}

// clear tells whether a VM's sidecar runs nothing under revisions older than the given one.
func (h *Home) clear(name string, revision int64) bool {
	if name == h.self.VM || (h.listed != nil && !h.listed[name]) {
		return true
	}
	p, found := h.peers[name]
	return found && (p.stopped || p.elsewhere || p.cleared >= revision)
}

func (h *Home) clearTo(name string, revision int64) {
	if p, found := h.peers[name]; found {
		p.cleared = max(p.cleared, revision)
	}
}
