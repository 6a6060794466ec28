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

// TestAtMostOnce checks random histories of crashes, pauses, partitions and moved keys. No key
// may run twice or after its tombstone, and no key that ran may be refused as not run. The
// naive version, which grants every call, must fail in over a quarter of the histories.
func TestAtMostOnce(t *testing.T) {
	is := is.New(t)
	histories, runs, naiveBroken := 0, 0, 0
	rapid.Check(t, func(r *rapid.T) {
		operations := rapid.SliceOfN(operationGenerator(), 100, 300).Draw(r, "operations")
		naive := play(true, operations)
		if len(naive.violations) > 0 {
			naiveBroken++
		}
		s := play(false, operations)
		histories++
		runs += len(s.runs)
		if len(s.violations) > 0 {
			r.Fatalf("%v", s.violations)
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

// numbers returns the integers from 0 to n-1. Sampling from the list draws each with the same probability.
func numbers(n int) []int {
	list := make([]int, n)
	for i := range list {
		list[i] = i
	}
	return list
}

func play(naive bool, operations []operation) *simulation {
	s := newSimulation(naive)
	for _, o := range operations {
		s.apply(o)
	}
	return s
}

// apply performs one event. Most events send or deliver requests or advance runs.
func (s *simulation) apply(o operation) {
	i := o.A % sidecars
	switch k := o.Kind; {
	case k < 18:
		s.sendNewKey(o)
	case k < 28 && len(s.keys) > 0:
		s.sendRequest(max(0, len(s.keys)-1-o.A%3), s.pickRevision(o.B), o.B%6 == 0)
		s.deliverRequest(len(s.requests) - 1)
	case k < 34 && len(s.requests) > 0:
		s.deliverRequest(o.A % len(s.requests))
	case k < 48:
		s.advanceRun(i, o.B, o.B%5 == 0)
	case k < 58:
		s.advance(time.Duration(o.B) * 4 * time.Millisecond)
	case k < 61:
		s.publish(1 + o.B%15)
	case k < 67:
		s.adopt(i, s.pickRevision(o.B))
	case k < 77:
		s.exchangeQuestions(i)
	case k < 79:
		s.sendQuestions(i)
	case k < 81 && len(s.acknowledgements) > 0:
		s.deliverAcknowledgement(o.A % len(s.acknowledgements))
	case k < 83:
		s.crash(i)
	case k < 88:
		s.restart(i)
		s.adopt(i, s.pickRevision(o.B))
	case k < 90:
		s.freeze(i)
	case k < 94:
		s.nodes[i].frozenSince = time.Time{}
	case k < 95:
		s.partitioned[[2]int{min(i, o.B%sidecars), max(i, o.B%sidecars)}] = o.B%3 == 0
	case k < 96:
		s.stopPlanned(i)
	case k < 97 && o.B%3 == 0:
		s.delist(i)
	default:
		s.updateVMs(i)
	}
}

// sendNewKey creates a key by a partner's clock that differs by up to the allowed skew, and
// sends it through entries with the newest three revisions.
func (s *simulation) sendNewKey(o operation) {
	skew := time.Duration(o.B%5-2) * maxPartnerSkew / 2
	s.keys = append(s.keys, booking.Call{
		Key:           fmt.Sprintf("key%d", len(s.keys)),
		Created:       s.now.Add(skew),
		ContentDigest: "content",
		Pool:          desk,
	})
	for back := range 3 {
		s.sendRequest(len(s.keys)-1, max(0, len(s.revisions)-1-back), false)
		if (o.A>>back)%4 != 0 {
			s.deliverRequest(len(s.requests) - 1)
		}
	}
	for i := range s.nodes {
		if (o.A>>(3+i))%3 != 0 {
			s.advanceRun(i, o.B, false)
		}
	}
}

// pickRevision returns the index of a revision, mostly one of the newest two.
func (s *simulation) pickRevision(n int) int {
	last := len(s.revisions) - 1
	if n%4 == 0 {
		return n % (last + 1)
	}
	return max(0, last-n%2)
}

func (s *simulation) freeze(i int) {
	if s.running(i) {
		s.nodes[i].frozenSince = s.now
	}
}
