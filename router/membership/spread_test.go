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
	// newsWithin is a third of the 3 s after which content that crashed servers must not be sent on.
	newsWithin = time.Second
)

type (
	// gossip is the news that one entry knows.
	gossip struct {
		mu    sync.Mutex
		known []string
	}
)

func (g *gossip) AddLocalState(news *membership.Update) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, name := range g.known {
		news.Suspects = append(news.Suspects, quarantine.Suspect{Fingerprint: name})
	}
}

func (g *gossip) MergeRemoteState(news membership.Update) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	before := len(g.known)
	for _, s := range news.Suspects {
		if !slices.Contains(g.known, s.Fingerprint) {
			g.known = append(g.known, s.Fingerprint)
		}
	}
	return len(g.known) > before
}

func (g *gossip) knows(name string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Contains(g.known, name)
}

// What one entry finds, all others know soon, whatever became of some of them.
func TestNewsReachesAllEntriesInTime(t *testing.T) {
	tests := map[string]struct{ entries, killed int }{
		"three":                  {3, 0},
		"four, one of them dead": {4, 1},
		"twenty-five":            {25, 0},
		"a third is dead":        {24, 8},
		"a hundred":              {100, 10},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				n := newNetwork(address(0), address(1), "10.9.9.8:1")
				knowledge := make(map[string]*gossip)
				for i := range tt.entries {
					knowledge[address(i)] = &gossip{}
					n.start(t.Context(), address(i), membership.WithDelegate(knowledge[address(i)]))
				}
				time.Sleep(40 * time.Second)
				for i := range tt.killed {
					n.kill(address(2 + i))
					delete(knowledge, address(2+i))
				}
				last := address(tt.entries - 1)
				knowledge[last].MergeRemoteState(membership.Update{Suspects: []quarantine.Suspect{{Fingerprint: "x"}}})
				n.running[last].TriggerBroadcast()
				time.Sleep(newsWithin)
				unaware := 0
				for _, g := range knowledge {
					if !g.knows("x") {
						unaware++
					}
				}
				is.Equal(unaware, 0)
			})
		})
	}
}

// An entry that starts anew hears what others know, also when its first seeds are stale.
func TestNewcomerHearsNewsInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for i := range 20 {
			is := is.New(t)
			n := newNetwork("10.9.9.9:1", "10.9.9.8:1", address(0))
			old, fresh := &gossip{known: []string{"x"}}, &gossip{}
			n.start(t.Context(), address(0), membership.WithDelegate(old))
			time.Sleep(time.Duration(i) * 100 * time.Millisecond)
			n.start(t.Context(), address(1), membership.WithDelegate(fresh))
			time.Sleep(newsWithin)
			is.True(fresh.knows("x"))
			n.kill(address(0))
			n.kill(address(1))
			synctest.Wait()
		}
	})
}
