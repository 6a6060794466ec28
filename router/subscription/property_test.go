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
	opPublishConflicting
	opPublishLower
	opToggleDown
	opToggleLag
	opToggleFrozen
	opRestart
	opKinds
)

type (
	opKind int

	// operation is one step of a history. target is the index of the VM whose process it affects.
	operation struct {
		kind   opKind
		target int
		pause  time.Duration
	}

	// history applies operations to a fleet and two replicas of the platform. The second replica may lag: it does not
	// receive what is published. Each process is compared with a naive reader, which adopts what its replica serves.
	history struct {
		f        *fleet
		replicas [2]*replica
		lagging  bool
		down     bool
		// next is the lowest revision that has not been published.
		next int64
		// valid contains the digests of the valid manifests, the only ones that may come into force.
		valid map[string]bool
		// highest maps VM names to the highest revision that their process had in force since its start.
		highest map[string]int64
		// minimumStart maps VM names to the highest revision of the responsive processes when their process started.
		// The first revision of that process must not be lower.
		minimumStart map[string]int64
		// naive maps VM names to the revision of their naive reader.
		naive map[string]int64
		// naiveReverts is the number of times that a naive reader changed to a lower revision.
		naiveReverts int
		violation    string
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

// TestNeverReverts checks that the revision in force never decreases while the replicas lag, fail and serve lower,
// invalid or conflicting revisions, and while processes freeze and restart. A naive reader, which adopts what its
// replica serves, must revert in the same histories: otherwise they would not exercise the fault.
func TestNeverReverts(t *testing.T) {
	naiveReverts := 0
	rapid.Check(t, func(r *rapid.T) {
		operations := rapid.SliceOfN(operations(), 5, 30).Draw(r, "operations")
		h := &history{}
		synctest.Test(t, func(t *testing.T) { h.run(t, operations) })
		naiveReverts += h.naiveReverts
		if h.violation != "" {
			r.Fatal(h.violation)
		}
	})
	if naiveReverts == 0 {
		t.Error("the naive reader never reverted: the histories do not exercise the fault")
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
	h.highest, h.naive, h.minimumStart = make(map[string]int64), make(map[string]int64), make(map[string]int64)
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
		h.checkInvariants(n)
		if h.violation != "" {
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
	case opPublishConflicting:
		h.publish(h.next-1, fmt.Sprint("other", o.target), true)
	case opPublishLower:
		h.publish(max(1, h.next-3), "lower", true)
	case opToggleDown:
		h.down = !h.down
		h.replicas[0].setDown(h.down)
	case opToggleLag:
		h.lagging = !h.lagging
	case opToggleFrozen:
		h.f.toggleFrozen(v.FleetAddress)
	case opRestart:
		h.f.stop(h.f.nodes[v.FleetAddress])
		h.minimumStart[v.Name], h.highest[v.Name] = h.highestAnswering(), 0
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

// checkInvariants records a violation if the revision of a process decreased, if a process started at a lower revision
// than its peers had, or if an invalid configuration is in force.
func (h *history) checkInvariants(step int) {
	for n, v := range h.f.list.VMs {
		h.stepNaive(v.Name, h.replicas[n%2])
		node := h.f.nodes[v.FleetAddress]
		view := node.reader.View()
		if view.Revision == 0 {
			continue
		}
		if view.Revision < h.highest[v.Name] {
			h.violation = fmt.Sprintf("step %d: %s reverted from revision %d to %d", step, v.Name, h.highest[v.Name], view.Revision)
		}
		if chosen := node.log.firstRevision(); chosen != 0 && chosen < h.minimumStart[v.Name] {
			h.violation = fmt.Sprintf("step %d: %s started at revision %d although peers had %d", step, v.Name, chosen, h.minimumStart[v.Name])
		}
		if !h.valid[view.Digest] {
			h.violation = fmt.Sprintf("step %d: %s has an invalid configuration in force", step, v.Name)
		}
		h.highest[v.Name] = max(h.highest[v.Name], view.Revision)
	}
}

// highestAnswering returns the highest revision in force among the processes that are not frozen.
func (h *history) highestAnswering() int64 {
	highest := int64(0)
	for _, n := range h.f.all() {
		if !h.f.frozen(n.vm.FleetAddress) {
			highest = max(highest, n.reader.View().Revision)
		}
	}
	return highest
}

// stepNaive makes a naive reader adopt the revision of its replica and counts a decrease.
func (h *history) stepNaive(name string, p *replica) {
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

// heal ends all faults and publishes another revision, which must be in force on all processes within inForceBound.
func (h *history) heal() {
	h.lagging = false
	h.replicas[0].setDown(false)
	for _, v := range h.f.list.VMs {
		if h.f.frozen(v.FleetAddress) {
			h.f.toggleFrozen(v.FleetAddress)
		}
	}
	h.publish(h.next, "last", true)
	advance(inForceBound)
	if behind := h.f.processesWithout(h.next - 1); behind != nil {
		h.violation = fmt.Sprintf("revision %d is not in force on %v after the end of all faults", h.next-1, behind)
	}
}
