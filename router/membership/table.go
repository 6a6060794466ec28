// Package membership finds the other entries of a fleet through a few seeds, which may be stale, and
// counts them. Entries that meet exchange what they know; nobody decides for others.
package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// digestSize bounds the members that one exchange carries: some 40 bytes each, both ways once
	// a second, stay below 5 KB/s.
	digestSize = 24
	// maxMembers bounds the members that are remembered.
	maxMembers = 4096
	// rememberFor is how long a silent member counts: a cut or a freeze is not told from a death,
	// and lasts minutes at most.
	rememberFor = 10 * time.Minute
	// relayFor is how long others are told of a silent member. Half of the time in which it counts
	// keeps entries from reminding each other for ever.
	relayFor = rememberFor / 2
)

type (
	// Member is one entry as another one knows it.
	Member struct {
		// Address serves the exchanges, as IP:port.
		Address string `json:"address"`
		// Incarnation rises with each start of the process.
		Incarnation int64 `json:"incarnation"`
		// Heartbeat rises with each exchange that the entry begins.
		Heartbeat int64 `json:"beat"`
		// SinceHeartbeat is how long ago the beat was seen to rise.
		SinceHeartbeat time.Duration `json:"silent_ns"`
		// Left tells that the process ended by a planned stop.
		Left bool `json:"left"`
	}

	// table is what an entry knows of all. Its owner holds a lock.
	table struct {
		self  Member
		known map[string]*record
	}

	record struct {
		Member
		heard time.Time
		// told is that the log told of the member's silence, or that it left.
		told bool
	}
)

func newTable(address string, incarnation int64) *table {
	return &table{self: Member{Address: address, Incarnation: incarnation}, known: make(map[string]*record)}
}

// merge takes what another entry knows and returns the members that are new here.
func (t *table) merge(members []Member, now time.Time) []Member {
	var found []Member
	for _, m := range members {
		if m.Address == t.self.Address {
			t.refute(m)
			continue
		}
		r, known := t.known[m.Address]
		if !known {
			if m.SinceHeartbeat > relayFor || len(t.known) >= maxMembers {
				continue
			}
			t.known[m.Address] = &record{Member: m, heard: now.Add(-m.SinceHeartbeat)}
			found = append(found, m)
			continue
		}
		if !newer(m, r.Member) {
			continue
		}
		if heard := now.Add(-m.SinceHeartbeat); heard.After(r.heard) {
			r.heard = heard
		}
		r.Member = m
	}
	return found
}

// refute outdoes what others remember of an earlier process at this address. The clock may have been
// set back since it started.
func (t *table) refute(m Member) {
	if m.Incarnation > t.self.Incarnation || m.Incarnation == t.self.Incarnation && m.Left && !t.self.Left {
		t.self.Incarnation = m.Incarnation + 1
	}
}

func newer(a, b Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Heartbeat > b.Heartbeat || a.Left && !b.Left
}

// forget drops members that were silent for too long.
func (t *table) forget(now time.Time) {
	for address, r := range t.known {
		if now.Sub(r.heard) > rememberFor {
			delete(t.known, address)
		}
	}
}

// digest returns this entry and a part of the others, drawn at random.
func (t *table) digest(now time.Time, random *rand.Rand) []Member {
	others := make([]Member, 0, len(t.known))
	for _, m := range t.members(now) {
		if m.SinceHeartbeat <= relayFor {
			others = append(others, m)
		}
	}
	random.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return append([]Member{t.self}, others[:min(len(others), digestSize)]...)
}

// members returns the others in the order of their addresses.
func (t *table) members(now time.Time) []Member {
	list := make([]Member, 0, len(t.known))
	for _, r := range t.known {
		m := r.Member
		m.SinceHeartbeat = now.Sub(r.heard)
		list = append(list, m)
	}
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.Address, b.Address) })
	return list
}

// count returns the number of entries that may be alive, this one included.
func (t *table) count() int {
	alive := 1
	for _, r := range t.known {
		if !r.Left {
			alive++
		}
	}
	return alive
}

// heard returns the number of entries that were heard within the given silence, this one included.
func (t *table) heard(now time.Time, silence time.Duration) int {
	heard := 1
	for _, r := range t.known {
		if !r.Left && now.Sub(r.heard) < silence {
			heard++
		}
	}
	return heard
}
