package booking_test

import (
	"fmt"
	"time"

	"gooseberrypin.example/router/booking"
	"gooseberrypin.example/router/configuration"
	"gooseberrypin.example/router/label"
	"gooseberrypin.example/router/refusal"
	"gooseberrypin.example/router/vm"
)

const (
	sidecars       = 3
	desk           = "desk"
	shortHorizon   = 1 << sidecars
	detectedPause  = 1500 * time.Millisecond
	tickInterval   = 250 * time.Millisecond
	maxPartnerSkew = 2 * time.Second
)

type (
	// simulation is a fleet of three sidecars with a clock each, links between them that can
	// be partitioned, and a platform whose updates arrive late.
	simulation struct {
		naive            bool
		now              time.Time
		revisions        []*configuration.Index
		lists            []*vm.List
		nodes            []*node
		partitioned      map[[2]int]bool
		keys             []booking.Call
		runs             map[string]int
		tombstoned       map[string]bool
		requests         []request
		acknowledgements []pendingAcknowledgement
		violations       []string
	}

	node struct {
		home        *booking.Home
		member      booking.Member
		clockOffset time.Duration
		frozenSince time.Time
		delisted    bool
		// pending contains the granted runs whose end the home has not recorded.
		pending []grantedRun
	}

	grantedRun struct {
		call  booking.Call
		grant booking.Granted
		sent  bool
	}

	request struct {
		to        int
		call      booking.Call
		tombstone bool
	}

	// pendingAcknowledgement is an acknowledgement in transit.
	pendingAcknowledgement struct {
		to       int
		home     *booking.Home
		question booking.Question
		received booking.Acknowledgement
	}

	// operation is one event. Kind selects the method. A and B are its arguments, reduced
	// modulo the number of possible values.
	operation struct {
		Kind int
		A    int
		B    int
	}
)

func newSimulation(naive bool) *simulation {
	s := &simulation{
		naive:       naive,
		now:         time.Date(2026, 12, 4, 2, 0, 0, 0, time.UTC),
		partitioned: make(map[[2]int]bool),
		runs:        make(map[string]int),
		tombstoned:  make(map[string]bool),
	}
	list := &vm.List{Version: 1}
	for i := range sidecars {
		m := booking.Member{Upstream: fmt.Sprintf("desk%d", i), VM: fmt.Sprintf("vm%d", i), Address: fmt.Sprint(i)}
		s.nodes = append(s.nodes, &node{member: m, clockOffset: time.Duration(i-1) * 200 * time.Millisecond})
		list.VMs = append(list.VMs, vm.VM{Name: m.VM, Role: vm.RoleUpstream, State: vm.Live, FleetAddress: m.Address})
	}
	s.lists = []*vm.List{list}
	s.publish(7)
	for i := range s.nodes {
		s.restart(i)
		s.adopt(i, len(s.revisions)-1)
	}
	for i := range s.nodes {
		s.exchangeQuestions(i)
	}
	s.advance(3 * time.Second)
	return s
}

// publish creates a new revision. The low bits of set select the members of the pool, and
// the bit shortHorizon selects a key horizon of 6 s instead of 30 s.
func (s *simulation) publish(set int) {
	c := &configuration.Configuration{
		Revision: int64(len(s.revisions) + 1),
		Pools:    []configuration.Pool{{Name: desk, Role: configuration.RoleService, Selector: "pool=in"}},
		Rules:    []configuration.Rule{{Name: "booking", Service: "booking", ServicePool: desk}},
	}
	c.Limits.KeyHorizonSeconds = 30
	if set&shortHorizon != 0 {
		c.Limits.KeyHorizonSeconds = 6
	}
	for i, n := range s.nodes {
		pool := "out"
		if set&(1<<i) != 0 {
			pool = "in"
		}
		c.Upstreams = append(c.Upstreams, configuration.Upstream{
			Name: n.member.Upstream, Kind: configuration.KindService, VM: n.member.VM,
			SidecarAddress: n.member.Address, Labels: label.Labels{"pool": pool},
		})
	}
	index, err := configuration.NewIndex(c)
	if err != nil {
		panic(err)
	}
	s.revisions = append(s.revisions, index)
}

func (s *simulation) clock(i int) time.Time { return s.now.Add(s.nodes[i].clockOffset) }

func (s *simulation) running(i int) bool {
	return s.nodes[i].home != nil && s.nodes[i].frozenSince.IsZero()
}

func (s *simulation) connected(i, j int) bool {
	return s.running(i) && s.running(j) && !s.partitioned[[2]int{min(i, j), max(i, j)}]
}

// restart starts a new process for a crashed one, with the newest list of VMs and no configuration.
func (s *simulation) restart(i int) {
	if s.nodes[i].home != nil || s.nodes[i].delisted {
		return
	}
	var options []booking.Option
	if s.naive {
		options = append(options, booking.WithNaive())
	}
	s.nodes[i].home = booking.NewHome(s.nodes[i].member, options...)
	s.nodes[i].frozenSince = time.Time{}
	s.nodes[i].home.SetVMs(s.lists[len(s.lists)-1], s.clock(i))
}

func (s *simulation) crash(i int) {
	s.nodes[i].home, s.nodes[i].pending = nil, nil
}

func (s *simulation) adopt(i, revision int) {
	if s.running(i) {
		s.nodes[i].home.Adopt(s.revisions[revision], s.clock(i))
	}
}

func (s *simulation) updateVMs(i int) {
	if s.running(i) {
		s.nodes[i].home.SetVMs(s.lists[len(s.lists)-1], s.clock(i))
	}
}

// exchangeQuestions sends all questions of a sidecar and delivers the answers at once.
func (s *simulation) exchangeQuestions(i int) {
	before := len(s.acknowledgements)
	s.sendQuestions(i)
	for len(s.acknowledgements) > before {
		s.deliverAcknowledgement(len(s.acknowledgements) - 1)
	}
}

// sendQuestions sends all questions of a sidecar and leaves the answers in transit.
func (s *simulation) sendQuestions(i int) {
	if !s.running(i) {
		return
	}
	for _, q := range s.nodes[i].home.Questions() {
		j := s.find(q.Member.VM)
		if !s.connected(i, j) {
			continue
		}
		other := s.nodes[j].home
		a := other.Acknowledge(s.nodes[i].member.Upstream, q.Revision, s.clock(j))
		if a.Revision >= q.Revision && a.Running == 0 {
			for _, o := range other.PendingHandOvers(s.nodes[i].member.Upstream, notCompleted) {
				s.nodes[i].home.Accept(o, s.clock(i))
			}
		}
		s.acknowledgements = append(s.acknowledgements, pendingAcknowledgement{to: i, home: s.nodes[i].home, question: q, received: a})
	}
}

// notCompleted reports each hand-over as still to be made.
func notCompleted(string, int64) bool { return false }

func (s *simulation) deliverAcknowledgement(n int) {
	a := s.acknowledgements[n]
	s.acknowledgements = append(s.acknowledgements[:n], s.acknowledgements[n+1:]...)
	if s.running(a.to) && s.nodes[a.to].home == a.home {
		a.home.RecordAcknowledgement(a.question, a.received, s.clock(a.to))
	}
}

func (s *simulation) find(name string) int {
	for i, n := range s.nodes {
		if n.member.VM == name {
			return i
		}
	}
	panic("no such VM")
}

// sendRequest sends a key from an entry with the given revision to the key's home in that revision.
func (s *simulation) sendRequest(key, revision int, tombstone bool) {
	c := s.keys[key]
	c.Revision = int64(revision + 1)
	m, found := booking.Layouts(s.revisions[revision])[desk].Home(c.Key)
	if found {
		s.requests = append(s.requests, request{to: s.find(m.VM), call: c, tombstone: tombstone})
	}
}

// deliverRequest delivers a request to its sidecar and checks a refusal against the runs so far.
func (s *simulation) deliverRequest(n int) {
	if n < 0 || n >= len(s.requests) {
		return
	}
	r := s.requests[n]
	if !s.nodes[r.to].frozenSince.IsZero() {
		return
	}
	s.requests = append(s.requests[:n], s.requests[n+1:]...)
	if !s.running(r.to) {
		return
	}
	home := s.nodes[r.to].home
	var o booking.Outcome
	if r.tombstone {
		o = home.Tombstone(r.call, s.clock(r.to))
	} else {
		o = home.Begin(r.call, s.clock(r.to))
	}
	switch o := o.(type) {
	case booking.Granted:
		s.nodes[r.to].pending = append(s.nodes[r.to].pending, grantedRun{call: r.call, grant: o})
	case booking.Refused:
		if o.Refusal.Ran == refusal.RanNo && s.runs[r.call.Key] > 0 {
			s.violations = append(s.violations, "refused as not run, but the key ran: "+o.Refusal.String())
		}
		if o.Refusal.Reason == refusal.Tombstoned {
			s.tombstoned[r.call.Key] = true
		}
	case booking.Joined, booking.Completed:
	}
}

// advanceRun sends a granted run to the service, withdraws it, or records its end.
func (s *simulation) advanceRun(i, n int, lost bool) {
	node := s.nodes[i]
	if !s.running(i) || len(node.pending) == 0 {
		return
	}
	at := n % len(node.pending)
	p := &node.pending[at]
	if !p.sent && n%7 == 6 {
		node.home.Withdraw(p.call, p.grant)
		node.pending = append(node.pending[:at], node.pending[at+1:]...)
		return
	}
	if !p.sent {
		p.sent = true
		s.recordRun(p.call.Key)
		return
	}
	switch {
	case lost:
		node.home.MarkUnknown(p.call, p.grant)
	default:
		node.home.Complete(p.call, p.grant, booking.Result{Status: 200})
	}
	node.pending = append(node.pending[:at], node.pending[at+1:]...)
}

func (s *simulation) recordRun(key string) {
	s.runs[key]++
	if s.runs[key] > 1 {
		s.violations = append(s.violations, "ran twice: "+key)
	}
	if s.tombstoned[key] {
		s.violations = append(s.violations, "ran after its tombstone: "+key)
	}
}

func (s *simulation) advance(d time.Duration) {
	for d > 0 {
		s.now = s.now.Add(min(d, tickInterval))
		d -= tickInterval
		for i, n := range s.nodes {
			if s.running(i) {
				n.home.Tick(s.clock(i))
				n.home.Expire(s.clock(i))
			}
		}
	}
}

// stopPlanned stops a sidecar as planned. It does nothing while a run is pending there.
func (s *simulation) stopPlanned(i int) {
	if !s.running(i) || len(s.nodes[i].pending) > 0 {
		return
	}
	s.nodes[i].home.StartDraining()
	for to, list := range s.nodes[i].home.FinalHandOvers() {
		j := s.find(to.VM)
		for _, o := range list {
			if s.connected(i, j) {
				s.nodes[j].home.Accept(o, s.clock(j))
			}
		}
	}
	s.crash(i)
}

// delist removes a VM from the platform's list if its process crashed or was frozen for
// longer than detectedPause.
func (s *simulation) delist(i int) {
	n := s.nodes[i]
	removable := n.home == nil || !n.frozenSince.IsZero() && s.now.Sub(n.frozenSince) > detectedPause
	if !removable || n.delisted {
		return
	}
	n.delisted = true
	last := s.lists[len(s.lists)-1]
	next := &vm.List{Version: last.Version + 1}
	for _, v := range last.VMs {
		if v.Name != n.member.VM {
			next.VMs = append(next.VMs, v)
		}
	}
	s.lists = append(s.lists, next)
}
