package subscription_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gooseberrypin.example/router/event"
	"gooseberrypin.example/router/port"
	"gooseberrypin.example/router/vm"
)

const (
	// inForceBound is the longest time until a published revision is in force on all processes, even if no holder
	// answers.
	inForceBound = 9 * time.Second
	// platformReadsPerS is the platform's read rate in the published configurations.
	platformReadsPerS = 200
)

func TestChangeReachesAllProcessesThroughHolders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newReplica()
		f := newFleet(t, 3, 8)
		p.publish(1, "a", true)
		p.publishVMs(f.list)
		f.startAll(p)
		defer f.stopAll()
		is.Equal(f.processesWithout(1), nil)
		before := p.readCount()
		p.publish(2, "b", true)
		advance(time.Second)
		is.Equal(f.processesWithout(2), nil) // in force on all processes within a second
		is.True(p.readCount()-before <= 3*2*3)

		before = p.readCount()
		advance(time.Minute)
		perSecond := float64(p.readCount()-before) / 60
		is.True(perSecond <= 3*2*0.35) // for each holder: two watches in 10 s, and one read to detect conflicting content
	})
}

// TestConcurrentWatchesWithoutWait checks that watches that do not wait are answered at once, also many at the same
// time. It guards against a timer for each of them: under the race detector, the runtime crashes where goroutines of a
// bubble run expired timers at the same time (Go 1.26).
func TestConcurrentWatchesWithoutWait(t *testing.T) {
	const peers, watches = 8, 20000
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newReplica()
		f := newFleet(t, 1, 1)
		p.publish(1, "a", true)
		p.publishVMs(f.list)
		f.startAll(p)
		defer f.stopAll()
		reader := f.all()[0].reader
		view, start := reader.View(), time.Now()
		var wg sync.WaitGroup
		for range peers {
			wg.Go(func() {
				for range watches {
					if u := reader.Watch(context.Background(), view, 0); u.Manifest != nil || u.VMs != nil {
						t.Error("a watch with the current view is answered with an update")
						return
					}
				}
			})
		}
		wg.Wait()
		is.Equal(time.Since(start), time.Duration(0))
		is.True(len(reader.Watch(context.Background(), port.View{}, 0).Manifest) > 0) // an older view gets the update without a wait
	})
}

// TestRestartAtStalePlatform checks that a process that restarts with a stale replica of the platform does not revert
// to its revision. A naive reader, which adopts what the platform serves, would.
func TestRestartAtStalePlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, stale := newReplica(), newReplica()
		f := newFleet(t, 2, 4)
		for _, r := range []*replica{p, stale} {
			r.publish(1, "a", true)
			r.publishVMs(f.list)
		}
		f.startAll(p)
		defer f.stopAll()
		p.publish(2, "b", true)
		advance(time.Second)
		is.Equal(f.processesWithout(2), nil)

		manifest, err := stale.Manifest(context.Background(), 0, 0)
		is.NoErr(err)
		is.Equal(manifest, stale.manifest) // a naive reader would revert to revision 1

		for _, v := range f.list.VMs {
			f.stop(f.nodes[v.FleetAddress])
			n := f.start(v, stale)
			<-n.reader.Ready()
			is.Equal(n.reader.View().Revision, int64(2))
		}
	})
}

func TestPlatformDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newReplica()
		f := newFleet(t, 2, 5)
		p.publish(1, "a", true)
		p.publishVMs(f.list)
		f.startAll(p)
		defer f.stopAll()
		p.setDown(true)
		advance(10 * time.Minute)
		is.Equal(f.processesWithout(1), nil)
		restarted := f.list.VMs[0]
		f.stop(f.nodes[restarted.FleetAddress])
		n := f.start(restarted, p)
		n.reader.ObserveView(f.list.VMs[1].FleetAddress, f.nodes[f.list.VMs[1].FleetAddress].reader.View())
		advance(2 * time.Second)
		is.Equal(f.processesWithout(1), nil) // a view from a heartbeat suffices to start without the platform
		p.setDown(false)
		p.publish(2, "b", true)
		advance(inForceBound)
		is.Equal(f.processesWithout(2), nil)
	})
}

func TestUnresponsiveHolders(t *testing.T) {
	cases := map[string]struct {
		frozen []int // indexes into the two holders of a data centre
		bound  time.Duration
	}{
		"one holder":   {[]int{0}, 5 * time.Second},
		"both holders": {[]int{0, 1}, inForceBound},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p := newReplica()
				f := newFleet(t, 2, 6)
				p.publish(1, "a", true)
				p.publishVMs(f.list)
				f.startAll(p)
				defer f.stopAll()
				for _, n := range c.frozen {
					h := f.holders("sul-0")[n]
					f.freeze(h.vm.FleetAddress)
				}
				p.publish(2, "b", true)
				advance(c.bound)
				is.Equal(f.processesWithout(2), nil)
			})
		})
	}
}

// TestHoldersBehindStaleReplica checks that an update reaches a data centre whose processes can only reach a stale
// replica of the platform.
func TestHoldersBehindStaleReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, stale := newReplica(), newReplica()
		f := newFleet(t, 3, 4)
		for _, r := range []*replica{p, stale} {
			r.publish(1, "a", true)
			r.publishVMs(f.list)
		}
		for _, v := range f.list.VMs {
			var source port.Platform = p
			if v.DataCentre == "sul-0" {
				source = stale
			}
			f.start(v, source)
		}
		defer f.stopAll()
		advance(2 * time.Second)
		p.publish(2, "b", true)
		advance(inForceBound)
		is.Equal(f.processesWithout(2), nil)
	})
}

func TestEachProcessRejectsOnce(t *testing.T) {
	cases := map[string]struct {
		publish func(p *replica) (digest string)
		event   event.Event
	}{
		"invalid":       {func(p *replica) string { return p.publish(2, "b", false) }, event.ConfigurationInvalid},
		"other content": {func(p *replica) string { return p.publish(1, "b", true) }, event.ConfigurationConflict},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p := newReplica()
				f := newFleet(t, 2, 5)
				kept := p.publish(1, "a", true)
				p.publishVMs(f.list)
				f.startAll(p)
				defer f.stopAll()
				digest := c.publish(p)
				advance(time.Minute)
				for _, n := range f.all() {
					is.Equal(n.reader.View().Digest, kept)
					is.Equal(n.log.count(c.event, digest), 1) // each process logs the rejection once
				}
				p.publish(3, "c", true)
				advance(inForceBound)
				is.Equal(f.processesWithout(3), nil)
			})
		})
	}
}

// TestConflictingRevisionAtTwoReplicas publishes different contents under the same revision at two replicas, as two
// operators might at the same time. Each process must keep the content that it installed first until the next revision.
func TestConflictingRevisionAtTwoReplicas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		left, right := newReplica(), newReplica()
		f := newFleet(t, 2, 4)
		for _, r := range []*replica{left, right} {
			r.publish(1, "a", true)
			r.publishVMs(f.list)
		}
		for _, v := range f.list.VMs {
			if v.DataCentre == "sul-0" {
				f.start(v, left)
			} else {
				f.start(v, right)
			}
		}
		defer f.stopAll()
		advance(2 * time.Second)
		first, second := left.publish(2, "l", true), right.publish(2, "r", true)
		other := map[string]string{first: second, second: first}
		advance(inForceBound)
		is.Equal(f.processesWithout(2), nil)
		inForce := make(map[string]string)
		for _, n := range f.all() {
			inForce[n.name] = n.reader.View().Digest
		}
		advance(time.Minute)
		for _, n := range f.all() {
			digest := n.reader.View().Digest
			is.Equal(digest, inForce[n.name]) // neither content replaces the other one
			is.Equal(n.log.count(event.ConfigurationConflict, other[digest]), 1)
		}
		left.publish(3, "c", true)
		advance(inForceBound)
		is.Equal(f.processesWithout(3), nil) // the next revision resolves the conflict
	})
}

// TestReadBudget checks that all processes together stay within their share of the platform's read rate when no peer
// answers and each process reads the platform itself.
func TestReadBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newReplica()
		f := newFleet(t, 4, 10)
		p.publish(1, "a", true)
		p.publishVMs(f.list)
		f.startAll(p)
		defer f.stopAll()
		for _, v := range f.list.VMs {
			f.freeze(v.FleetAddress)
		}
		p.publish(2, "b", true)
		maxReads := 0
		for range 60 {
			before := p.readCount()
			advance(time.Second)
			maxReads = max(maxReads, p.readCount()-before)
		}
		is.Equal(f.processesWithout(2), nil)
		is.True(maxReads <= platformReadsPerS/2)
		t.Logf("maximum of reads in a second: %d", maxReads)
	})
}

// TestPeerServesRejectedRevision checks that a process pauses between watches at peers that have a revision in force
// which the process rejects. Peers of another version may accept other configurations, and they answer each watch at
// once.
func TestPeerServesRejectedRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, other := newReplica(), newReplica()
		f := newFleet(t, 1, 3)
		kept := p.publish(1, "a", true)
		p.publishVMs(f.list)
		f.startAll(p)
		defer f.stopAll()
		other.publish(2, "b", false)
		f.fixedAnswer = &port.Update{View: port.View{Revision: 2, Digest: "other", VMsVersion: 1}, Manifest: other.manifest}
		f.fixedParts = other.parts
		before := f.watchCount()
		advance(10 * time.Second)
		is.True(f.watchCount()-before <= 3*(10*2+10)) // pauses of half a second on average between watches
		for _, n := range f.all() {
			is.Equal(n.reader.View().Digest, kept)
		}
	})
}

func TestNewerVMListIsInstalled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newReplica()
		f := newFleet(t, 2, 4)
		p.publish(1, "a", true)
		p.publishVMs(f.list)
		f.startAll(p)
		defer f.stopAll()
		next := vm.List{Version: 2, VMs: append([]vm.VM{}, f.list.VMs...)}
		next.VMs[0].State = vm.Leaving
		p.publishVMs(next)
		advance(time.Second)
		for _, n := range f.all() {
			v, _ := n.table.Find(next.VMs[0].Name)
			is.Equal(v.State, vm.Leaving)
		}
		f.list = next
		p.publish(2, "b", true)
		advance(inForceBound)
		is.Equal(f.processesWithout(2), nil)
	})
}

func TestRefresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newReplica()
		f := newFleet(t, 1, 5)
		p.publish(1, "a", true)
		p.publishVMs(f.list)
		f.startAll(p)
		defer f.stopAll()
		for _, n := range f.all() {
			is.NoErr(n.reader.Refresh(context.Background()))
		}
		p.setDown(true)
		for _, v := range f.list.VMs {
			f.freeze(v.FleetAddress)
		}
		is.True(f.all()[0].reader.Refresh(context.Background()) != nil)
	})
}
