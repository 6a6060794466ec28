package membership_test

import (
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gooseberrypin.example/router/membership"
	"gooseberrypin.example/router/quarantine"
)

const (
	// broadcastLimit is a third of the 3 s after which content that crashed servers must not be sent to
	// others.
	broadcastLimit = time.Second
)

type (
	// suspectSet holds the suspects of one entry. It implements membership.Delegate.
	suspectSet struct {
		mu           sync.Mutex
		fingerprints []string
	}
)

func (ss *suspectSet) AddLocalState(update *membership.Update) {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	for _, name := range ss.fingerprints {
		update.Suspects = append(update.Suspects, quarantine.Suspect{Fingerprint: name})
	}
}

func (ss *suspectSet) MergeRemoteState(update membership.Update) bool {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	before := len(ss.fingerprints)
	for _, s := range update.Suspects {
		if !slices.Contains(ss.fingerprints, s.Fingerprint) {
			ss.fingerprints = append(ss.fingerprints, s.Fingerprint)
		}
	}
	return len(ss.fingerprints) > before
}

func (ss *suspectSet) contains(name string) bool {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	return slices.Contains(ss.fingerprints, name)
}

// A broadcast reaches all running entries within broadcastLimit, also when some members have crashed.
func TestBroadcastReachesAllEntries(t *testing.T) {
	tests := map[string]struct{ entries, killed int }{
		"3 entries":               {3, 0},
		"4 entries, 1 crashed":    {4, 1},
		"25 entries":              {25, 0},
		"24 entries, 8 crashed":   {24, 8},
		"100 entries, 10 crashed": {100, 10},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				n := newNetwork(address(0), address(1), "10.9.9.8:1")
				states := make(map[string]*suspectSet)
				for i := range tt.entries {
					states[address(i)] = &suspectSet{}
					n.start(t.Context(), address(i), membership.WithDelegate(states[address(i)]))
				}
				time.Sleep(40 * time.Second)
				for i := range tt.killed {
					n.kill(address(2 + i))
					delete(states, address(2+i))
				}
				origin := address(tt.entries - 1)
				states[origin].MergeRemoteState(membership.Update{Suspects: []quarantine.Suspect{{Fingerprint: "x"}}})
				n.running[origin].TriggerBroadcast()
				time.Sleep(broadcastLimit)
				missing := 0
				for _, ss := range states {
					if !ss.contains("x") {
						missing++
					}
				}
				is.Equal(missing, 0)
			})
		})
	}
}

// A starting entry receives the state of the fleet within broadcastLimit, also when its first seeds are
// stale.
func TestStartingEntryReceivesState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for i := range 20 {
			is := is.New(t)
			n := newNetwork("10.9.9.9:1", "10.9.9.8:1", address(0))
			running, started := &suspectSet{fingerprints: []string{"x"}}, &suspectSet{}
			n.start(t.Context(), address(0), membership.WithDelegate(running))
			time.Sleep(time.Duration(i) * 100 * time.Millisecond)
			n.start(t.Context(), address(1), membership.WithDelegate(started))
			time.Sleep(broadcastLimit)
			is.True(started.contains("x"))
			n.kill(address(0))
			n.kill(address(1))
			synctest.Wait()
		}
	})
}
