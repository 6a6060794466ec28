package booking_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrypin.example/router/booking"
)

// Bit sets of pool members for publish.
const (
	only0 = 1
	only1 = 2
	only2 = 4
)

// TestEachRulePreventsSecondRun sets up, in each case, a second run of a key that only one
// rule refuses. The naive version, which grants every call, runs the key twice.
func TestEachRulePreventsSecondRun(t *testing.T) {
	cases := map[string]func(s *simulation){
		"a restarted home has no records of earlier runs": func(s *simulation) {
			s.publishAndSettle(only0)
			k := s.newKey(1500 * time.Millisecond)
			s.sendAndRun(k, only0)
			s.crash(0)
			s.restart(0)
			s.adoptNewest(0)
			s.exchangeQuestions(0)
			s.sendAndRun(k, only0)
		},
		"a frozen home resumes after its VM was delisted": func(s *simulation) {
			s.moveFromFrozenHome()
			k := s.newKey(0)
			s.sendAndRun(k, only1)
			s.nodes[0].frozenSince = time.Time{}
			s.sendAndRun(k, only0)
		},
		"an acknowledgement sent before a pause arrives after it": func(s *simulation) {
			s.publishAndSettle(only0)
			s.freeze(0)
			s.advance(2 * time.Second)
			s.nodes[0].frozenSince = time.Time{}
			s.advance(tickInterval)
			s.sendQuestions(0)
			s.freezeHomeAndMoveKeys()
			k := s.newKey(0)
			s.sendAndRun(k, only1)
			s.nodes[0].frozenSince = time.Time{}
			for len(s.acknowledgements) > 0 {
				s.deliverAcknowledgement(0)
			}
			s.sendAndRun(k, only0)
		},
		"a delisted home receives the list of VMs but no newer configuration": func(s *simulation) {
			s.moveFromFrozenHome()
			k := s.newKey(0)
			s.sendAndRun(k, only1)
			for _, i := range []int{1, 2} {
				s.crash(i)
				s.delist(i)
			}
			s.nodes[0].frozenSince = time.Time{}
			s.updateVMs(0)
			s.exchangeQuestions(0)
			s.sendAndRun(k, only0)
		},
		"a home restarts with a stale configuration": func(s *simulation) {
			s.publishAndSettle(only0)
			s.publishAndSettle(only1)
			s.crash(0)
			s.restart(0)
			s.adopt(0, len(s.revisions)-2)
			s.exchangeQuestions(0)
			s.advance(4 * time.Second)
			k := s.newKey(0)
			s.sendAndRun(k, only1)
			s.sendAndRun(k, only0)
		},
		"a home that missed a revision lacks an earlier home in its history": func(s *simulation) {
			s.publishAndSettle(only0)
			s.publish(only1)
			s.adoptNewest(0)
			s.adoptNewest(1)
			s.exchangeQuestions(1)
			s.advance(4 * time.Second)
			s.publish(only2)
			s.adoptNewest(0)
			s.adoptNewest(2)
			s.partitioned[[2]int{1, 2}] = true
			s.exchangeQuestions(2)
			s.advance(4 * time.Second)
			k := s.newKey(0)
			s.sendAndRun(k, only1)
			s.sendAndRun(k, only2)
		},
		"a home that missed a revision has no records of the runs in between": func(s *simulation) {
			s.moveFromFrozenHome()
			k := s.newKey(0)
			s.sendAndRun(k, only1)
			s.publish(only0)
			s.crash(1)
			s.restart(1)
			s.adoptNewest(1)
			s.adoptNewest(2)
			s.nodes[0].frozenSince = time.Time{}
			s.adoptNewest(0)
			s.exchangeQuestions(0)
			s.sendAndRun(k, only0)
		},
		"a restarted home hands over incomplete records": func(s *simulation) {
			s.publishAndSettle(only0)
			k := s.newKey(0)
			s.sendAndRun(k, only0)
			s.crash(0)
			s.restart(0)
			s.adoptNewest(0)
			s.publishAndSettle(only1)
			s.sendAndRun(k, only1)
		},
		"an intermediate home hands over incomplete records": func(s *simulation) {
			s.publishAndSettle(only1)
			k := s.newKey(0)
			s.sendAndRun(k, only1)
			s.crash(1)
			s.restart(1)
			s.adoptNewest(1)
			s.exchangeQuestions(1)
			s.publishAndSettle(only0)
			s.publishAndSettle(only2)
			s.sendAndRun(k, only2)
		},
		"a stopped home starts again": func(s *simulation) {
			s.publishAndSettle(only0)
			s.stopPlanned(0)
			s.publishAndSettle(only1)
			s.restart(0)
			s.adoptNewest(0)
			s.exchangeQuestions(0)
			s.publishAndSettle(only0)
			s.advance(4 * time.Second)
			s.publish(only1)
			s.adoptNewest(1)
			s.partitioned[[2]int{0, 1}] = true
			s.exchangeQuestions(1)
			s.advance(4 * time.Second)
			k := s.newKey(0)
			s.sendAndRun(k, only0)
			s.sendAndRun(k, only1)
		},
		"records expire under a short horizon before a longer one is adopted": func(s *simulation) {
			s.publishAndSettle(only1 | shortHorizon)
			k := s.newKey(0)
			s.sendAndRun(k, only1)
			s.advance(8 * time.Second)
			s.publish(only1 + only0)
			s.adoptNewest(1)
			s.adoptNewest(0)
			s.exchangeQuestions(1)
			s.sendAndRun(k, only1+only0)
		},
	}
	for name, play := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSimulation(false)
			play(s)
			is.Equal(len(s.violations), 0)
			is.Equal(len(s.runs), 1) // the key runs once
			naive := newSimulation(true)
			play(naive)
			is.True(len(naive.violations) > 0) // the naive version runs it twice
		})
	}
}

// publishAndSettle publishes a pool that all sidecars adopt and waits until its members decide on keys.
func (s *simulation) publishAndSettle(set int) {
	s.publish(set)
	for i := range s.nodes {
		s.adoptNewest(i)
	}
	for i := range s.nodes {
		s.exchangeQuestions(i)
	}
	s.advance(3 * time.Second)
}

// moveFromFrozenHome makes node 0 the home of all keys, freezes and delists it, and moves
// its keys to node 1.
func (s *simulation) moveFromFrozenHome() {
	s.publishAndSettle(only0)
	s.freezeHomeAndMoveKeys()
}

func (s *simulation) freezeHomeAndMoveKeys() {
	s.freeze(0)
	s.advance(2 * time.Second)
	s.publish(only1)
	s.delist(0)
	for _, i := range []int{1, 2} {
		s.updateVMs(i)
		s.adoptNewest(i)
	}
	s.exchangeQuestions(1)
	s.advance(4 * time.Second)
}

// adoptNewest makes a sidecar adopt the newest revision.
func (s *simulation) adoptNewest(i int) {
	s.adopt(i, len(s.revisions)-1)
}

// newKey creates a key by a partner's clock that is ahead by the given time, and returns its
// index. Node 1 is the home of the key in a pool of nodes 0 and 1.
func (s *simulation) newKey(ahead time.Duration) int {
	for n := 0; ; n++ {
		name := fmt.Sprintf("key%d", n)
		m, _ := booking.NewLayout([]booking.Member{s.nodes[0].member, s.nodes[1].member}).Home(name)
		if m.Is(s.nodes[1].member) {
			s.keys = append(s.keys, booking.Call{Key: name, Created: s.now.Add(ahead), ContentDigest: "content", Pool: desk})
			return len(s.keys) - 1
		}
	}
}

// sendAndRun sends a key through an entry with the newest revision whose pool has the given
// members, and completes the run if it is granted.
func (s *simulation) sendAndRun(key, set int) {
	revision := s.newestWithMembers(set)
	s.sendRequest(key, revision, false)
	s.deliverRequest(len(s.requests) - 1)
	for i := range s.nodes {
		s.advanceRun(i, 0, false)
		s.advanceRun(i, 0, false)
	}
}

// newestWithMembers returns the index of the newest revision whose pool has the members of a bit set.
func (s *simulation) newestWithMembers(set int) int {
	for r := len(s.revisions) - 1; r >= 0; r-- {
		have := 0
		for _, u := range s.revisions[r].Members(desk) {
			have |= 1 << int(u.Name[len(u.Name)-1]-'0')
		}
		if have == set {
			return r
		}
	}
	panic("no such revision")
}
