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
	sidecars  = 3
	desk      = "desk"
	short     = 1 << sidecars
	pauseSeen = 1500 * time.Millisecond
	step      = 250 * time.Millisecond
	partners  = 2 * time.Second
)

type (
	// world is a small fleet of sidecars with clocks, links and a lagging platform.
	world struct {
		naive      bool
		now        time.Time
		revisions  []*configuration.Index
		lists      []*vm.List
		nodes      []*node
		cut        map[[2]int]bool
		keys       []booking.Call
		runs       map[string]int
		gaveUp     map[string]bool
		requests   []message
		answers    []answer
		violations []string
	}

	node struct {
		home   *booking.Home
		member booking.Member
		offset time.Duration
		frozen time.Time
		gone   bool
		// pending are granted runs, before and after the service ran them.
		pending []pending
	}

	pending struct {
		call  booking.Call
		grant booking.Granted
		sent  bool
	}

	message struct {
		to        int
		call      booking.Call
		tombstone bool
	}

	// answer is an acknowledgement that is still on its way.
	answer struct {
		to       int
		home     *booking.Home
		question booking.Question
		content  booking.Acknowledgement
	}

	// operation is one event; its numbers are taken modulo what there is.
	operation struct {
		Kind int
		A    int
		B    int
	}
)

func newWorld(naive bool) *world {
	w := &world{
		naive:  naive,
		now:    time.Date(2026, 12, 4, 2, 0, 0, 0, time.UTC),
		cut:    make(map[[2]int]bool),
		runs:   make(map[string]int),
		gaveUp: make(map[string]bool),
	}
	list := &vm.List{Version: 1}
	for i := range sidecars {
		m := booking.Member{Upstream: fmt.Sprintf("desk%d", i), VM: fmt.Sprintf("vm%d", i), Address: fmt.Sprint(i)}
		w.nodes = append(w.nodes, &node{member: m, offset: time.Duration(i-1) * 200 * time.Millisecond})
		list.VMs = append(list.VMs, vm.VM{Name: m.VM, Role: vm.RoleUpstream, State: vm.Live, FleetAddress: m.Address})
	}
	w.lists = []*vm.List{list}
	w.publish(7)
	for i := range w.nodes {
		w.restart(i)
		w.learn(i, len(w.revisions)-1)
	}
	for i := range w.nodes {
		w.ask(i)
	}
	w.advance(3 * time.Second)
	return w
}

// publish makes a new revision whose pool has the members of a bit set, and perhaps a short horizon.
func (w *world) publish(set int) {
	c := &configuration.Configuration{
		Revision: int64(len(w.revisions) + 1),
		Pools:    []configuration.Pool{{Name: desk, Role: configuration.RoleService, Selector: "pool=in"}},
		Rules:    []configuration.Rule{{Name: "booking", Service: "booking", ServicePool: desk}},
	}
	c.Limits.KeyHorizonSeconds = 30
	if set&short != 0 {
		c.Limits.KeyHorizonSeconds = 6
	}
	for i, n := range w.nodes {
		where := "out"
		if set&(1<<i) != 0 {
			where = "in"
		}
		c.Upstreams = append(c.Upstreams, configuration.Upstream{
			Name: n.member.Upstream, Kind: configuration.KindService, VM: n.member.VM,
			SidecarAddress: n.member.Address, Labels: label.Labels{"pool": where},
		})
	}
	index, err := configuration.NewIndex(c)
	if err != nil {
		panic(err)
	}
	w.revisions = append(w.revisions, index)
}

func (w *world) clock(i int) time.Time { return w.now.Add(w.nodes[i].offset) }

func (w *world) up(i int) bool {
	return w.nodes[i].home != nil && w.nodes[i].frozen.IsZero()
}

func (w *world) reach(i, j int) bool {
	return w.up(i) && w.up(j) && !w.cut[[2]int{min(i, j), max(i, j)}]
}

// restart starts a process afresh, with the newest list and an arbitrary old configuration.
func (w *world) restart(i int) {
	if w.nodes[i].home != nil || w.nodes[i].gone {
		return
	}
	var options []booking.Option
	if w.naive {
		options = append(options, booking.WithNaive())
	}
	w.nodes[i].home = booking.NewHome(w.nodes[i].member, options...)
	w.nodes[i].frozen = time.Time{}
	w.nodes[i].home.SetVMs(w.lists[len(w.lists)-1], w.clock(i))
}

func (w *world) crash(i int) {
	w.nodes[i].home, w.nodes[i].pending = nil, nil
}

func (w *world) learn(i, revision int) {
	if w.up(i) {
		w.nodes[i].home.Adopt(w.revisions[revision], w.clock(i))
	}
}

func (w *world) learnList(i int) {
	if w.up(i) {
		w.nodes[i].home.SetVMs(w.lists[len(w.lists)-1], w.clock(i))
	}
}

// ask puts all questions of a sidecar; the answers arrive at once.
func (w *world) ask(i int) {
	before := len(w.answers)
	w.askLater(i)
	for len(w.answers) > before {
		w.receive(len(w.answers) - 1)
	}
}

// askLater puts all questions of a sidecar; the answers stay on their way.
func (w *world) askLater(i int) {
	if !w.up(i) {
		return
	}
	for _, q := range w.nodes[i].home.Questions() {
		j := w.find(q.Member.VM)
		if !w.reach(i, j) {
			continue
		}
		other := w.nodes[j].home
		a := other.Acknowledge(w.nodes[i].member.Upstream, q.Revision, w.clock(j))
		if a.Revision >= q.Revision && a.Running == 0 {
			for _, o := range other.PendingHandOvers(w.nodes[i].member.Upstream, never) {
				w.nodes[i].home.Accept(o, w.clock(i))
			}
		}
		w.answers = append(w.answers, answer{to: i, home: w.nodes[i].home, question: q, content: a})
	}
}

func never(string, int64) bool { return false }

func (w *world) receive(n int) {
	a := w.answers[n]
	w.answers = append(w.answers[:n], w.answers[n+1:]...)
	if w.up(a.to) && w.nodes[a.to].home == a.home {
		a.home.RecordAcknowledgement(a.question, a.content, w.clock(a.to))
	}
}

func (w *world) find(name string) int {
	for i, n := range w.nodes {
		if n.member.VM == name {
			return i
		}
	}
	panic("no such VM")
}

// send lets an entry that knows some revision send a key to its home.
func (w *world) send(key, revision int, tombstone bool) {
	c := w.keys[key]
	c.Revision = int64(revision + 1)
	m, found := booking.Layouts(w.revisions[revision])[desk].Home(c.Key)
	if found {
		w.requests = append(w.requests, message{to: w.find(m.VM), call: c, tombstone: tombstone})
	}
}

// deliver hands a request over, and checks what the sidecar claims.
func (w *world) deliver(n int) {
	if n < 0 || n >= len(w.requests) {
		return
	}
	m := w.requests[n]
	if !w.nodes[m.to].frozen.IsZero() {
		return
	}
	w.requests = append(w.requests[:n], w.requests[n+1:]...)
	if !w.up(m.to) {
		return
	}
	home := w.nodes[m.to].home
	var o booking.Outcome
	if m.tombstone {
		o = home.Tombstone(m.call, w.clock(m.to))
	} else {
		o = home.Begin(m.call, w.clock(m.to))
	}
	switch o := o.(type) {
	case booking.Granted:
		w.nodes[m.to].pending = append(w.nodes[m.to].pending, pending{call: m.call, grant: o})
	case booking.Refused:
		if o.Refusal.Ran == refusal.RanNo && w.runs[m.call.Key] > 0 {
			w.violations = append(w.violations, "said that a key did not run which ran: "+o.Refusal.String())
		}
		if o.Refusal.Reason == refusal.Tombstoned {
			w.gaveUp[m.call.Key] = true
		}
	case booking.Joined, booking.Completed:
	}
}

// work takes a granted run one step on: to the service, or back from it.
func (w *world) work(i, n int, lost bool) {
	node := w.nodes[i]
	if !w.up(i) || len(node.pending) == 0 {
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
		w.run(p.call.Key)
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

func (w *world) run(key string) {
	w.runs[key]++
	if w.runs[key] > 1 {
		w.violations = append(w.violations, "ran twice: "+key)
	}
	if w.gaveUp[key] {
		w.violations = append(w.violations, "ran after it was given up: "+key)
	}
}

func (w *world) advance(d time.Duration) {
	for d > 0 {
		w.now = w.now.Add(min(d, step))
		d -= step
		for i, n := range w.nodes {
			if w.up(i) {
				n.home.Tick(w.clock(i))
				n.home.Expire(w.clock(i))
			}
		}
	}
}

// leave stops a sidecar as planned, when nothing runs there.
func (w *world) leave(i int) {
	if !w.up(i) || len(w.nodes[i].pending) > 0 {
		return
	}
	w.nodes[i].home.StartDraining()
	for to, list := range w.nodes[i].home.FinalHandOvers() {
		j := w.find(to.VM)
		for _, o := range list {
			if w.reach(i, j) {
				w.nodes[j].home.Accept(o, w.clock(j))
			}
		}
	}
	w.crash(i)
}

// drop lists a VM as gone that died, or that was paused for longer than a pause goes unseen.
func (w *world) drop(i int) {
	n := w.nodes[i]
	dead := n.home == nil || !n.frozen.IsZero() && w.now.Sub(n.frozen) > pauseSeen
	if !dead || n.gone {
		return
	}
	n.gone = true
	last := w.lists[len(w.lists)-1]
	next := &vm.List{Version: last.Version + 1}
	for _, v := range last.VMs {
		if v.Name != n.member.VM {
			next.VMs = append(next.VMs, v)
		}
	}
	w.lists = append(w.lists, next)
}
