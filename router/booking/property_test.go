package booking_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"gooseberrypin.example/router/booking"
)

func TestMain(m *testing.M) {
	flag.Parse()
	setDefault("rapid.seed", "20261204")
	setDefault("rapid.checks", "500")
	os.Exit(m.Run())
}

func setDefault(name, value string) {
	if f := flag.Lookup(name); f.Value.String() == f.DefValue {
		_ = f.Value.Set(value)
	}
}

// TestAtMostOnce drives the real decisions and the naive ones through the same histories.
func TestAtMostOnce(t *testing.T) {
	is := is.New(t)
	histories, runs, naiveBroken := 0, 0, 0
	rapid.Check(t, func(r *rapid.T) {
		operations := rapid.SliceOfN(operationGenerator(), 100, 300).Draw(r, "operations")
		naive := play(true, operations)
		if len(naive.violations) > 0 {
			naiveBroken++
		}
		w := play(false, operations)
		histories++
		runs += len(w.runs)
		if len(w.violations) > 0 {
			r.Fatalf("%v", w.violations)
		}
	})
	t.Logf("%d histories, %d keys ran, the naive version broke %d histories", histories, runs, naiveBroken)
	is.True(runs > histories)          // the histories are not vacuous
	is.True(naiveBroken > histories/4) // the same histories break the naive version
}

func operationGenerator() *rapid.Generator[operation] {
	kind, number := rapid.SampledFrom(numbers(100)), rapid.SampledFrom(numbers(1000))
	return rapid.Custom(func(r *rapid.T) operation {
		return operation{Kind: kind.Draw(r, "kind"), A: number.Draw(r, "a"), B: number.Draw(r, "b")}
	})
}

// numbers lists 0 to n-1, from which each is drawn as often.
func numbers(n int) []int {
	list := make([]int, n)
	for i := range list {
		list[i] = i
	}
	return list
}

func play(naive bool, operations []operation) *world {
	w := newWorld(naive)
	for _, o := range operations {
		w.apply(o)
	}
	return w
}

// apply carries out one event. Most events are sends, deliveries and progress.
func (w *world) apply(o operation) {
	i := o.A % sidecars
	switch k := o.Kind; {
	case k < 18:
		w.burst(o)
	case k < 28 && len(w.keys) > 0:
		w.send(max(0, len(w.keys)-1-o.A%3), w.lagging(o.B), o.B%6 == 0)
		w.deliver(len(w.requests) - 1)
	case k < 34 && len(w.requests) > 0:
		w.deliver(o.A % len(w.requests))
	case k < 48:
		w.work(i, o.B, o.B%5 == 0)
	case k < 58:
		w.advance(time.Duration(o.B) * 4 * time.Millisecond)
	case k < 61:
		w.publish(1 + o.B%15)
	case k < 67:
		w.learn(i, w.lagging(o.B))
	case k < 77:
		w.ask(i)
	case k < 79:
		w.askLater(i)
	case k < 81 && len(w.answers) > 0:
		w.receive(o.A % len(w.answers))
	case k < 83:
		w.crash(i)
	case k < 88:
		w.restart(i)
		w.learn(i, w.lagging(o.B))
	case k < 90:
		w.freeze(i)
	case k < 94:
		w.nodes[i].frozen = time.Time{}
	case k < 95:
		w.cut[[2]int{min(i, o.B%sidecars), max(i, o.B%sidecars)}] = o.B%3 == 0
	case k < 96:
		w.leave(i)
	case k < 97 && o.B%3 == 0:
		w.drop(i)
	default:
		w.learnList(i)
	}
}

// burst makes a key by a partner's clock that is off by up to the allowed skew, and
// sends it through entries that know different revisions.
func (w *world) burst(o operation) {
	skew := time.Duration(o.B%5-2) * partners / 2
	w.keys = append(w.keys, booking.Call{
		Key:           fmt.Sprintf("key%d", len(w.keys)),
		Created:       w.now.Add(skew),
		ContentDigest: "content",
		Pool:          desk,
	})
	for back := range 3 {
		w.send(len(w.keys)-1, max(0, len(w.revisions)-1-back), false)
		if (o.A>>back)%4 != 0 {
			w.deliver(len(w.requests) - 1)
		}
	}
	for i := range w.nodes {
		if (o.A>>(3+i))%3 != 0 {
			w.work(i, o.B, false)
		}
	}
}

// lagging picks a revision, mostly one of the newest two.
func (w *world) lagging(n int) int {
	last := len(w.revisions) - 1
	if n%4 == 0 {
		return n % (last + 1)
	}
	return max(0, last-n%2)
}

func (w *world) freeze(i int) {
	if w.up(i) {
		w.nodes[i].frozen = w.now
	}
}
