package election_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gooseberrypin.example/router/election"
	"gooseberrypin.example/router/event"
	"gooseberrypin.example/router/membership"
)

const (
	// pollInterval and window are how often and how long the entries of a fleet ask whether they are elected.
	pollInterval = 250 * time.Millisecond
	window       = 8 * time.Second
)

type (
	// fleet connects the entries of a test by their addresses.
	fleet struct {
		entries map[string]*entry
		// cut reports whether two entries don't reach each other.
		cut func(a, b string) bool
	}

	entry struct {
		*membership.Group
		*election.Voter
	}

	// link connects one entry to the fleet. It implements membership.Peers and election.Peers.
	link struct {
		*fleet
		from string
	}

	// list is a fixed list of members.
	list []membership.Member
)

func (l list) Members() []membership.Member { return l }

func address(i int) string { return fmt.Sprintf("10.1.0.%03d:8144", i) }

// peer returns the entry at an address, or waits for the timeout if it is not reached.
func (l link) peer(ctx context.Context, to string) (*entry, error) {
	if e, found := l.entries[to]; found && !l.cut(l.from, to) {
		return e, nil
	}
	<-ctx.Done()
	return nil, errors.New("no answer")
}

func (l link) Exchange(ctx context.Context, to string, update membership.Update) (membership.Update, error) {
	e, err := l.peer(ctx, to)
	if err != nil {
		return membership.Update{}, err
	}
	return e.Exchange(update), nil
}

func (l link) Vote(ctx context.Context, to string, r election.Request) (bool, error) {
	e, err := l.peer(ctx, to)
	if err != nil {
		return false, err
	}
	return e.Vote(r), nil
}

// Guards against orders of two entries to the same engines: the entries of a fleet do not all have the same seeds, and some of
// the seeds may be down.
func TestElection(t *testing.T) {
	none := func(string, string) bool { return false }
	same := func(int, int) []string { return []string{address(2), address(0), address(1)} }
	rotated := func(i, entries int) []string {
		return []string{address(i), address((i + 1) % entries), address((i + 2) % entries)}
	}
	// Entry 0 is in no list, and the halves of the fleet have no seed in common.
	disjoint := func(i, entries int) []string {
		if i < entries/2 {
			return []string{address(1), address(entries / 2)}
		}
		return []string{address(entries - 1), address(entries / 2)}
	}
	random := func(_, entries int) []string {
		var seeds []string
		for _, n := range rand.Perm(entries)[:3] {
			seeds = append(seeds, address(n))
		}
		return seeds
	}
	tests := map[string]struct {
		entries   int
		seeds     func(i, entries int) []string
		cut       func(a, b string) bool
		restarted map[int]bool
		late      map[int]time.Duration
		elected   string
	}{
		"same seeds":                  {4, same, none, nil, nil, address(0)},
		"each list begins elsewhere":  {4, rotated, none, nil, nil, address(0)},
		"neighbours of 25 entries":    {25, rotated, none, nil, nil, address(0)},
		"lists without a common seed": {24, disjoint, none, nil, nil, address(0)},
		"random seeds of 100 entries": {100, random, none, nil, nil, address(0)},
		"no seeds":                    {4, func(int, int) []string { return nil }, none, nil, nil, ""},
		"stale seed":                  {4, func(int, int) []string { return []string{address(1), "10.9.9.9:1"} }, none, nil, nil, ""},
		"lowest entry has restarted":  {4, rotated, none, map[int]bool{0: true}, nil, ""},
		"another entry has restarted": {4, rotated, none, map[int]bool{3: true}, nil, ""},
		"lowest entry starts later":   {4, rotated, none, nil, map[int]time.Duration{0: 300 * time.Millisecond}, address(0)},
		"fleet in two halves":         {4, rotated, func(a, b string) bool { return (a < address(2)) != (b < address(2)) }, nil, nil, ""},
		"one entry separated":         {4, rotated, func(a, b string) bool { return (a == address(0)) != (b == address(0)) }, nil, nil, address(1)},
		"link cut in one direction":   {4, same, func(a, b string) bool { return a == address(0) && b == address(3) }, nil, nil, ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				f := &fleet{entries: make(map[string]*entry), cut: tt.cut}
				began := time.Now()
				var elected []string
				for i := range tt.entries {
					at, l := address(i), link{fleet: f, from: address(i)}
					seeds := tt.seeds(i, tt.entries)
					g := membership.NewGroup(at, seeds, l, event.Discard())
					f.entries[at] = &entry{Group: g, Voter: election.NewVoter(at, !tt.restarted[i], seeds, g, l, event.Discard())}
				}
				results := make(chan string, tt.entries)
				for i := range tt.entries {
					e := f.entries[address(i)]
					go func() {
						time.Sleep(tt.late[i])
						go e.Run(ctx)
						results <- poll(ctx, e, address(i), began.Add(window))
					}()
				}
				for range tt.entries {
					if winner := <-results; winner != "" {
						elected = append(elected, winner)
					}
				}
				cancel()
				synctest.Wait()
				is.True(len(elected) <= 1) // two entries are elected
				if tt.elected == "" {
					is.Equal(len(elected), 0)
				} else {
					is.Equal(elected, []string{tt.elected})
				}
			})
		})
	}
}

// poll asks again and again whether an entry is elected, as the rebalancer does, and returns its address if it is.
func poll(ctx context.Context, e *entry, at string, end time.Time) string {
	elected := ""
	// Engines are discovered 1.7 s after the start at the earliest.
	for time.Sleep(1700 * time.Millisecond); time.Now().Before(end); time.Sleep(pollInterval) {
		if e.IsElected(ctx) {
			elected = at
		}
	}
	return elected
}

// Guards against a second vote of an entry that has given its vote before it learned of a better candidate.
func TestVoteIsFinal(t *testing.T) {
	is := is.New(t)
	known := &list{}
	v := election.NewVoter(address(5), true, []string{address(3)}, known, nil, event.Discard())
	vote := func(i int) bool { return v.Vote(election.Request{Candidate: address(i), Binding: true}) }
	is.True(v.Vote(election.Request{Candidate: address(4)})) // binds nothing
	is.True(!vote(9))                                        // the voter has the lower address itself
	is.True(vote(3))
	*known = list{{Address: address(1)}}
	is.True(vote(3))
	is.True(!vote(1))
	is.True(!v.IsElected(t.Context()))
}

// Guards against an entry that waits for a member that has stopped as planned.
func TestMemberThatHasLeftIsNoCandidate(t *testing.T) {
	is := is.New(t)
	v := election.NewVoter(address(5), true, nil, list{{Address: address(1), Left: true}}, nil, event.Discard())
	is.True(v.Vote(election.Request{Candidate: address(3), Binding: true}))
}

// willingPeers vote for every candidate.
type willingPeers struct{}

func (willingPeers) Vote(context.Context, string, election.Request) (bool, error) { return true, nil }

// An entry is elected once all entries that it knows have voted for it.
func ExampleVoter() {
	members := list{{Address: "10.1.0.2:8144"}, {Address: "10.1.0.3:8144"}}
	seeds := []string{"10.1.0.2:8144"}
	v := election.NewVoter("10.1.0.1:8144", true, seeds, members, willingPeers{}, event.Discard())
	fmt.Println(v.IsElected(context.Background()))
	fmt.Println(v.Vote(election.Request{Candidate: "10.1.0.2:8144", Binding: true}))
	// Output:
	// true
	// false
}
