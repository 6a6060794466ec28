package subscription_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

const (
	opPublish opKind = iota
	opPublishInvalid
	opPublishOther
	opPublishLower
	opToggleDown
	opToggleLag
	opToggleFrozen
	opRestart
	opKinds
)

type (
	opKind int

	// operation is one step of a history; target picks a process.
	operation struct {
		kind   opKind
		target int
		pause  time.Duration
	}

	// history runs operations on a fleet with two replicas of the platform, one of which
	// may lag, and on a naive reader for each process.
	history struct {
		f        *fleet
		replicas [2]*replica
		lagging  bool
		down     bool
		// next is the lowest revision that was never published.
		next int64
		// valid has the digests that may come in force.
		valid map[string]bool
		// highest is each process's highest revision since its start.
		highest map[string]int64
		// floor is the highest revision that answered when a process started.
		floor map[string]int64
		naive map[string]int64
		// naiveReverts counts how often a naive reader went to a lower revision.
		naiveReverts int
		fault        string
	}
)

func TestMain(m *testing.M) {
	flag.Parse()
	given := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "60"} {
		if !given[name] {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// TestNeverReverts compares with a naive reader, which takes what its replica serves.
func TestNeverReverts(t *testing.T) {
	naiveReverts := 0
	rapid.Check(t, func(r *rapid.T) {
		operations := rapid.SliceOfN(operations(), 5, 30).Draw(r, "operations")
		h := &history{}
		synctest.Test(t, func(t *testing.T) { h.run(t, operations) })
		naiveReverts += h.naiveReverts
		if h.fault != "" {
			r.Fatal(h.fault)
		}
	})
	if naiveReverts == 0 {
		t.Error("the naive reader never reverted, so the histories prove nothing")
	}
	t.Logf("the naive reader reverted %d times", naiveReverts)
}

func operations() *rapid.Generator[operation] {
	return rapid.Custom(func(r *rapid.T) operation {
		return operation{
			kind:   opKind(rapid.IntRange(0, int(opKinds)-1).Draw(r, "kind")),
			target: rapid.IntRange(0, 5).Draw(r, "target"),
			pause:  time.Duration(rapid.IntRange(0, 5000).Draw(r, "pause_ms")) * time.Millisecond,
		}
	})
}

func (h *history) run(t *testing.T, operations []operation) {
	h.f = newFleet(t, 2, 3)
	h.next, h.valid = 1, make(map[string]bool)
	h.highest, h.naive, h.floor = make(map[string]int64), make(map[string]int64), make(map[string]int64)
	for n := range h.replicas {
		h.replicas[n] = newReplica()
		h.replicas[n].publishVMs(h.f.list)
	}
	h.publish(h.next, "first", true)
	for n, v := range h.f.list.VMs {
		h.f.start(v, h.replicas[n%2])
	}
	defer h.f.stopAll()
	advance(2 * time.Second)
	for n, o := range operations {
		h.apply(o)
		advance(o.pause)
		h.observe(n)
		if h.fault != "" {
			return
		}
	}
	h.heal()
}

func (h *history) apply(o operation) {
	v := h.f.list.VMs[o.target]
	switch o.kind {
	case opPublish:
		h.publish(h.next, fmt.Sprint("n", h.next), true)
	case opPublishInvalid:
		h.publish(h.next, "bad", false)
	case opPublishOther:
		h.publish(h.next-1, fmt.Sprint("other", o.target), true)
	case opPublishLower:
		h.publish(max(1, h.next-3), "lower", true)
	case opToggleDown:
		h.down = !h.down
		h.replicas[0].setDown(h.down)
	case opToggleLag:
		h.lagging = !h.lagging
	case opToggleFrozen:
		h.f.toggle(v.FleetAddress)
	case opRestart:
		h.f.stop(h.f.nodes[v.FleetAddress])
		h.floor[v.Name], h.highest[v.Name] = h.answering(), 0
		h.f.start(v, h.replicas[o.target%2])
	}
}

func (h *history) publish(revision int64, note string, valid bool) {
	digest := h.replicas[0].publish(revision, note, valid)
	if !h.lagging {
		h.replicas[1].publish(revision, note, valid)
	}
	if valid {
		h.valid[digest] = true
	}
	h.next = max(h.next, revision+1)
}

// observe looks for a process that went back, or that has something in force which is not valid.
func (h *history) observe(step int) {
	for n, v := range h.f.list.VMs {
		h.observeNaive(v.Name, h.replicas[n%2])
		node := h.f.nodes[v.FleetAddress]
		view := node.reader.View()
		if view.Revision == 0 {
			continue
		}
		if view.Revision < h.highest[v.Name] {
			h.fault = fmt.Sprintf("step %d: %s went from revision %d to %d", step, v.Name, h.highest[v.Name], view.Revision)
		}
		if chosen := node.log.chosen(); chosen != 0 && chosen < h.floor[v.Name] {
			h.fault = fmt.Sprintf("step %d: %s started at revision %d, peers had %d", step, v.Name, chosen, h.floor[v.Name])
		}
		if !h.valid[view.Digest] {
			h.fault = fmt.Sprintf("step %d: %s has an invalid configuration in force", step, v.Name)
		}
		h.highest[v.Name] = max(h.highest[v.Name], view.Revision)
	}
}

// answering returns the highest revision of the processes that answer.
func (h *history) answering() int64 {
	highest := int64(0)
	for _, n := range h.f.all() {
		if !h.f.frozen(n.vm.FleetAddress) {
			highest = max(highest, n.reader.View().Revision)
		}
	}
	return highest
}

func (h *history) observeNaive(name string, p *replica) {
	p.mu.Lock()
	revision, down := p.revision, p.down
	p.mu.Unlock()
	if down {
		return
	}
	if revision < h.naive[name] {
		h.naiveReverts++
	}
	h.naive[name] = revision
}

// heal ends all faults and publishes once more, which must be in force within the bound.
func (h *history) heal() {
	h.lagging = false
	h.replicas[0].setDown(false)
	for _, v := range h.f.list.VMs {
		if h.f.frozen(v.FleetAddress) {
			h.f.toggle(v.FleetAddress)
		}
	}
	h.publish(h.next, "last", true)
	advance(inForceBound)
	if behind := h.f.behind(h.next - 1); behind != nil {
		h.fault = fmt.Sprintf("revision %d is not in force on %v after all faults ended", h.next-1, behind)
	}
}
