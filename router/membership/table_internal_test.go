package membership

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// merged returns what a table holds of a member after it has merged states of it in order.
func merged(states []Member) Member {
	t := newTable("self", 1)
	for _, m := range states {
		t.merge([]Member{m}, time.Unix(1000, 0))
	}
	m := t.known["other"].Member
	m.SinceHeartbeat = 0
	return m
}

// Two tables that exchange a stop with a lower heartbeat and a higher heartbeat without the stop hold the same.
func TestStopAndLaterHeartbeatMergeInAnyOrder(t *testing.T) {
	is := is.New(t)
	running := Member{Address: "other", Incarnation: 1, Heartbeat: 5}
	left := Member{Address: "other", Incarnation: 1, Heartbeat: 4, Left: true}
	want := Member{Address: "other", Incarnation: 1, Heartbeat: 5, Left: true}
	is.Equal(merged([]Member{running, left}), want)
	is.Equal(merged([]Member{left, running}), want)
	is.Equal(merged([]Member{running, left, running}), want)
}

// Merging the states of a member gives the same result in any order and with repetitions, and a stop of an incarnation
// is final.
func TestMergeIsIndependentOfTheOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		states := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Member {
			return Member{
				Address: "other", Incarnation: rapid.Int64Range(1, 3).Draw(t, "incarnation"),
				Heartbeat: rapid.Int64Range(1, 5).Draw(t, "heartbeat"), Left: rapid.Bool().Draw(t, "left"),
			}
		}), 1, 6).Draw(t, "states")
		shuffled := rapid.Permutation(states).Draw(t, "shuffled")
		want := merged(states)
		if got := merged(append(shuffled, states...)); got != want {
			t.Fatalf("merging %v and %v gives %v and %v", states, shuffled, want, got)
		}
		for _, m := range states {
			if m.Incarnation == want.Incarnation && m.Left && !want.Left {
				t.Fatalf("%v counts as running after %v", want, m)
			}
		}
	})
}
