package booking_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrypin.example/router/booking"
)

// Bit sets of members for publish.
const (
	only0 = 1
	only1 = 2
	only2 = 4
)

// TestRules takes away, in each case, what all rules but one need to refuse a second run.
func TestRules(t *testing.T) {
	cases := map[string]func(w *world){
		"a restarted home does not know what ran": func(w *world) {
			w.move(only0)
			k := w.fresh(1500 * time.Millisecond)
			w.serve(k, only0)
			w.crash(0)
			w.restart(0)
			w.learnAll(0)
			w.ask(0)
			w.serve(k, only0)
		},
		"a home that was listed as gone wakes up": func(w *world) {
			w.takeOver()
			k := w.fresh(0)
			w.serve(k, only1)
			w.nodes[0].frozen = time.Time{}
			w.serve(k, only0)
		},
		"an answer from before a pause arrives after it": func(w *world) {
			w.move(only0)
			w.freeze(0)
			w.advance(2 * time.Second)
			w.nodes[0].frozen = time.Time{}
			w.advance(step)
			w.askLater(0)
			w.takeOverFrom0()
			k := w.fresh(0)
			w.serve(k, only1)
			w.nodes[0].frozen = time.Time{}
			for len(w.answers) > 0 {
				w.receive(0)
			}
			w.serve(k, only0)
		},
		"a home that was listed as gone hears of it from the list alone": func(w *world) {
			w.takeOver()
			k := w.fresh(0)
			w.serve(k, only1)
			for _, i := range []int{1, 2} {
				w.crash(i)
				w.drop(i)
			}
			w.nodes[0].frozen = time.Time{}
			w.learnList(0)
			w.ask(0)
			w.serve(k, only0)
		},
		"a home restarts with a stale configuration": func(w *world) {
			w.move(only0)
			w.move(only1)
			w.crash(0)
			w.restart(0)
			w.learn(0, len(w.revisions)-2)
			w.ask(0)
			w.advance(4 * time.Second)
			k := w.fresh(0)
			w.serve(k, only1)
			w.serve(k, only0)
		},
		"a home that missed a revision does not know all earlier homes": func(w *world) {
			w.move(only0)
			w.publish(only1)
			w.learnAll(0)
			w.learnAll(1)
			w.ask(1)
			w.advance(4 * time.Second)
			w.publish(only2)
			w.learnAll(0)
			w.learnAll(2)
			w.cut[[2]int{1, 2}] = true
			w.ask(2)
			w.advance(4 * time.Second)
			k := w.fresh(0)
			w.serve(k, only1)
			w.serve(k, only2)
		},
		"a home that missed a revision does not know what ran meanwhile": func(w *world) {
			w.takeOver()
			k := w.fresh(0)
			w.serve(k, only1)
			w.publish(only0)
			w.crash(1)
			w.restart(1)
			w.learnAll(1)
			w.learnAll(2)
			w.nodes[0].frozen = time.Time{}
			w.learnAll(0)
			w.ask(0)
			w.serve(k, only0)
		},
		"a restarted home hands over what it does not know": func(w *world) {
			w.move(only0)
			k := w.fresh(0)
			w.serve(k, only0)
			w.crash(0)
			w.restart(0)
			w.learnAll(0)
			w.move(only1)
			w.serve(k, only1)
		},
		"a home in between hands over what it does not know": func(w *world) {
			w.move(only1)
			k := w.fresh(0)
			w.serve(k, only1)
			w.crash(1)
			w.restart(1)
			w.learnAll(1)
			w.ask(1)
			w.move(only0)
			w.move(only2)
			w.serve(k, only2)
		},
		"a stopped home starts again": func(w *world) {
			w.move(only0)
			w.leave(0)
			w.move(only1)
			w.restart(0)
			w.learnAll(0)
			w.ask(0)
			w.move(only0)
			w.advance(4 * time.Second)
			w.publish(only1)
			w.learnAll(1)
			w.cut[[2]int{0, 1}] = true
			w.ask(1)
			w.advance(4 * time.Second)
			k := w.fresh(0)
			w.serve(k, only0)
			w.serve(k, only1)
		},
		"a shorter horizon forgets and a longer one asks again": func(w *world) {
			w.move(only1 | short)
			k := w.fresh(0)
			w.serve(k, only1)
			w.advance(8 * time.Second)
			w.publish(only1 + only0)
			w.learnAll(1)
			w.learnAll(0)
			w.ask(1)
			w.serve(k, only1+only0)
		},
	}
	for name, play := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(false)
			play(w)
			is.Equal(len(w.violations), 0)
			is.Equal(len(w.runs), 1) // the key runs once
			naive := newWorld(true)
			play(naive)
			is.True(len(naive.violations) > 0) // the naive version runs it twice
		})
	}
}

// move publishes a pool that all hear of, and waits until its keys are decided.
func (w *world) move(set int) {
	w.publish(set)
	for i := range w.nodes {
		w.learnAll(i)
	}
	for i := range w.nodes {
		w.ask(i)
	}
	w.advance(3 * time.Second)
}

// takeOver moves the keys of a paused home that is listed as gone to the next one.
func (w *world) takeOver() {
	w.move(only0)
	w.takeOverFrom0()
}

func (w *world) takeOverFrom0() {
	w.freeze(0)
	w.advance(2 * time.Second)
	w.publish(only1)
	w.drop(0)
	for _, i := range []int{1, 2} {
		w.learnList(i)
		w.learnAll(i)
	}
	w.ask(1)
	w.advance(4 * time.Second)
}

// learnAll lets a sidecar hear of the newest revision.
func (w *world) learnAll(i int) {
	w.learn(i, len(w.revisions)-1)
}

// fresh makes a key by a partner's clock that is ahead. Node 1 is its home wherever
// nodes 0 and 1 are members.
func (w *world) fresh(ahead time.Duration) int {
	for n := 0; ; n++ {
		name := fmt.Sprintf("key%d", n)
		m, _ := booking.NewLayout([]booking.Member{w.nodes[0].member, w.nodes[1].member}).Home(name)
		if m.Is(w.nodes[1].member) {
			w.keys = append(w.keys, booking.Call{Key: name, Created: w.now.Add(ahead), ContentDigest: "content", Pool: desk})
			return len(w.keys) - 1
		}
	}
}

// serve sends a key through an entry that knows the newest revision with the given
// members, and lets its home work to the end.
func (w *world) serve(key, set int) {
	revision := w.newest(set)
	w.send(key, revision, false)
	w.deliver(len(w.requests) - 1)
	for i := range w.nodes {
		w.work(i, 0, false)
		w.work(i, 0, false)
	}
}

// newest returns the newest revision whose pool has the members of a bit set.
func (w *world) newest(set int) int {
	for r := len(w.revisions) - 1; r >= 0; r-- {
		have := 0
		for _, u := range w.revisions[r].Members(desk) {
			have |= 1 << int(u.Name[len(u.Name)-1]-'0')
		}
		if have == set {
			return r
		}
	}
	panic("no such revision")
}
