// Package election chooses the one entry of a starting fleet that gives orders to engines. Engines that receive orders of two
// entries may carry out both, and nothing of the fleet's lasts that could hold a lock. Entries know few others when they
// start, and not all know the same ones, so that none can conclude from its own list alone that it is the one to give orders.
//
// Each entry votes once in its life. The entry with the lowest address among those that it knows is a candidate, and it is
// elected once all its seeds and all members that it knows have voted for it. Two entries are not both elected as long as the
// entries that they know have one in common. If an entry does not answer, none may be elected, and engines keep their phases.
package election

import (
	"context"
	"slices"
	"sync"
	"time"

	"gooseberrypin.example/router/event"
	"gooseberrypin.example/router/membership"
)

const (
	// voteTimeout bounds the wait for the vote of an entry.
	voteTimeout = 500 * time.Millisecond
)

type (
	// Members are the other entries that this one knows.
	Members interface {
		Members() []membership.Member
	}

	// Peers asks other entries for their votes.
	Peers interface {
		// Vote sends a request to the entry at an address and reports whether it grants its vote.
		Vote(ctx context.Context, address string, r Request) (bool, error)
	}

	// Request asks an entry for its vote.
	Request struct {
		// Candidate is the address of the entry that wants to be elected.
		Candidate string
		// Binding is false in a request that only asks whether the entry would vote for the candidate.
		Binding bool
	}

	// Voter is the part of one entry in the election, as a voter and as a candidate.
	Voter struct {
		address string
		seeds   []string
		members Members
		peers   Peers
		log     event.Log

		mu sync.Mutex
		// vote is the candidate that has the vote of this entry, or empty.
		vote string
		// abstains is set in a restarted process. The process before it may have voted.
		abstains bool
		// votes are the addresses of the entries that have voted for this one.
		votes   map[string]bool
		elected bool
	}

	// outcome is the outcome of a request for a vote.
	outcome struct {
		granted bool
		err     error
	}
)

// NewVoter returns the voter of the entry at an address. firstStart is whether the whole fleet starts for the first time; the
// entry votes for none otherwise. The seeds may include the entry itself.
func NewVoter(address string, firstStart bool, seeds []string, members Members, peers Peers, log event.Log) *Voter {
	return &Voter{address: address, seeds: seeds, members: members, peers: peers, log: log, abstains: !firstStart, votes: make(map[string]bool)}
}

// Vote reports whether this entry votes for a candidate. It votes for the first candidate with a binding request, unless it knows
// an entry with a lower address.
func (v *Voter) Vote(r Request) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.vote != "" || v.abstains {
		return v.vote == r.Candidate
	}
	granted := v.isLowest(r.Candidate)
	if granted && r.Binding {
		v.vote = r.Candidate
		v.log.Info(event.VoteGiven, "candidate", r.Candidate)
	}
	return granted
}

// isLowest reports whether no entry that this one knows has a lower address than the candidate.
func (v *Voter) isLowest(candidate string) bool {
	return candidate <= v.address && !slices.ContainsFunc(v.members.Members(), func(m membership.Member) bool {
		return !m.Left && m.Address < candidate
	})
}

// IsElected reports whether this entry is the one that gives orders. Until it is elected, it asks the entries that have not
// voted for it. Votes are final, so it first asks whether all would vote for it: one that knows a lower address would not.
func (v *Voter) IsElected(ctx context.Context) bool {
	v.mu.Lock()
	elected := v.elected
	v.mu.Unlock()
	if elected {
		return true
	}
	for _, binding := range []bool{false, true} {
		r := Request{Candidate: v.address, Binding: binding}
		// The seeds know the most entries, so an entry that is not the lowest ends here.
		if len(v.seeds) == 0 || !v.Vote(r) || !v.collect(ctx, v.seeds, r) || !v.collect(ctx, v.others(), r) {
			return false
		}
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.elected = !slices.ContainsFunc(v.others(), func(address string) bool { return !v.votes[address] })
	if v.elected {
		v.log.Info(event.CoordinatorElected, "votes", len(v.votes)+1)
	}
	return v.elected
}

// others returns the addresses of the other entries that may be running.
func (v *Voter) others() []string {
	var addresses []string
	for _, m := range v.members.Members() {
		if !m.Left {
			addresses = append(addresses, m.Address)
		}
	}
	return addresses
}

// missing returns those of the addresses that have not voted for this entry.
func (v *Voter) missing(addresses []string) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(addresses), func(address string) bool { return address == v.address || v.votes[address] })
}

// collect asks entries for the votes that this one does not have, and reports whether all grant them.
func (v *Voter) collect(ctx context.Context, addresses []string, r Request) bool {
	ctx, cancel := context.WithTimeout(ctx, voteTimeout)
	defer cancel()
	missing := v.missing(addresses)
	outcomes := make([]outcome, len(missing))
	var calls sync.WaitGroup
	for i, address := range missing {
		calls.Go(func() {
			granted, err := v.peers.Vote(ctx, address, r)
			outcomes[i] = outcome{granted: granted, err: err}
		})
	}
	calls.Wait()
	v.mu.Lock()
	defer v.mu.Unlock()
	complete := true
	for i, address := range missing {
		switch o := outcomes[i]; {
		case o.err != nil:
			v.log.Error(o.err, event.VoteMissing, "voter", address)
		case !o.granted:
			v.log.Info(event.VoteRefused, "voter", address)
		}
		complete = complete && outcomes[i].granted
		if outcomes[i].granted && r.Binding {
			v.votes[address] = true
		}
	}
	return complete
}
