package subscription_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gooseberrypin.example/router/event"
	"gooseberrypin.example/router/port"
	"gooseberrypin.example/router/vm"
)

const (
	inForceBound = 9 * time.Second
	// platformReadsPerS is the platform's rate in the published configurations.
	platformReadsPerS = 200
)

func TestChangeReachesAllThroughHolders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newReplica()
		f := newFleet(t, 3, 8)
		p.publish(1, "a", true)
		p.publishVMs(f.list)
		f.startAll(p)
		defer f.stopAll()
		is.Equal(f.behind(1), nil)
		before := p.readCount()
		p.publish(2, "b", true)
		advance(time.Second)
		is.Equal(f.behind(2), nil) // in force everywhere within a second
		is.True(p.readCount()-before <= 3*2*3)

		before = p.readCount()
		advance(time.Minute)
		perSecond := float64(p.readCount()-before) / 60
		is.True(perSecond <= 3*2*0.35) // two watches and one comparison in 10 s for each holder
	})
}

// TestRestartAtStalePlatform compares with a naive reader, which takes what the platform serves.
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
		is.Equal(f.behind(2), nil)

		manifest, err := stale.Manifest(context.Background(), 0, 0)
		is.NoErr(err)
		is.Equal(manifest, stale.manifest) // a naive reader goes back to revision 1

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
		is.Equal(f.behind(1), nil)
		restarted := f.list.VMs[0]
		f.stop(f.nodes[restarted.FleetAddress])
		n := f.start(restarted, p)
		n.reader.ObserveView(f.list.VMs[1].FleetAddress, f.nodes[f.list.VMs[1].FleetAddress].reader.View())
		advance(2 * time.Second)
		is.Equal(f.behind(1), nil) // a heartbeat's view was enough to start again
		p.setDown(false)
		p.publish(2, "b", true)
		advance(inForceBound)
		is.Equal(f.behind(2), nil)
	})
}

func TestSilentHolders(t *testing.T) {
	cases := map[string]struct {
		frozen []int // which of the two holders
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
				is.Equal(f.behind(2), nil)
			})
		})
	}
}

// TestHolderCutFromPlatform lets one data centre reach only a stale replica.
func TestHolderCutFromPlatform(t *testing.T) {
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
		is.Equal(f.behind(2), nil)
	})
}

func TestRefusedAlike(t *testing.T) {
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
					is.Equal(n.log.count(c.event, digest), 1) // each process logs it, once
				}
				p.publish(3, "c", true)
				advance(inForceBound)
				is.Equal(f.behind(3), nil)
			})
		})
	}
}

// TestTwoOperators publishes two contents under one revision at two replicas.
func TestTwoOperators(t *testing.T) {
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
		is.Equal(f.behind(2), nil)
		inForce := make(map[string]string)
		for _, n := range f.all() {
			inForce[n.name] = n.reader.View().Digest
		}
		advance(time.Minute)
		for _, n := range f.all() {
			digest := n.reader.View().Digest
			is.Equal(digest, inForce[n.name]) // neither content replaces the other
			is.Equal(n.log.count(event.ConfigurationConflict, other[digest]), 1)
		}
		left.publish(3, "c", true)
		advance(inForceBound)
		is.Equal(f.behind(3), nil) // the next revision ends it
	})
}

// TestReadBudget lets no peer answer, so that each process reads the platform itself.
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
		most := 0
		for range 60 {
			before := p.readCount()
			advance(time.Second)
			most = max(most, p.readCount()-before)
		}
		is.Equal(f.behind(2), nil)
		is.True(most <= platformReadsPerS/2)
		t.Logf("most reads in a second: %d", most)
	})
}

// TestPeerWithARefusedRevision has a peer that put in force what this process refuses, as
// another version of the program might.
func TestPeerWithARefusedRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, other := newReplica(), newReplica()
		f := newFleet(t, 1, 3)
		kept := p.publish(1, "a", true)
		p.publishVMs(f.list)
		f.startAll(p)
		defer f.stopAll()
		other.publish(2, "b", false)
		f.lax = &port.Update{View: port.View{Revision: 2, Digest: "other", VMsVersion: 1}, Manifest: other.manifest}
		f.laxParts = other.parts
		before := f.calls()
		advance(10 * time.Second)
		is.True(f.calls()-before <= 3*(10*2+10)) // a pause of half a second on average after each answer
		for _, n := range f.all() {
			is.Equal(n.reader.View().Digest, kept)
		}
	})
}

func TestVMListFollowsItsVersion(t *testing.T) {
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
		is.Equal(f.behind(2), nil)
	})
}

func TestRefreshAfterAPause(t *testing.T) {
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
