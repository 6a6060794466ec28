// Package membership finds the other entries of a fleet by gossip, from a few seed addresses, which may be
// stale, and counts them. Entries exchange the members that they hold. There is no coordinator.
package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// digestSize bounds the other members that one exchange carries. At about 40 bytes each, in both
	// directions once a second, this stays below 5 KB/s.
	digestSize = 24
	// maxMembers bounds the members that a table holds.
	maxMembers = 4096
	// memberRetention is how long after its last heartbeat a member is kept and counted. It covers network
	// partitions and frozen processes, which cannot be distinguished from crashes and last minutes at most.
	memberRetention = 10 * time.Minute
	// relayRetention is how long after its last heartbeat a member is passed on to other entries. It is half
	// of memberRetention, so that entries do not keep a removed member alive by sending it to each other.
	relayRetention = memberRetention / 2
)

type (
	// Member is the state of an entry, as another entry holds it.
	Member struct {
		// Address is where the entry serves exchanges, as IP:port.
		Address string `json:"address"`
		// Incarnation increases with each start of the process.
		Incarnation int64 `json:"incarnation"`
		// Heartbeat is the entry's heartbeat counter. It increases with each round of exchanges that the
		// entry begins.
		Heartbeat int64 `json:"beat"`
		// SinceHeartbeat is the time since the heartbeat counter was last seen to increase.
		SinceHeartbeat time.Duration `json:"silent_ns"`
		// Left is whether the process has terminated by a planned stop.
		Left bool `json:"left"`
	}

	// table holds the state of all members. Its owner holds a lock.
	table struct {
		self  Member
		known map[string]*record
	}

	record struct {
		Member
		lastHeartbeat time.Time
		// loggedAbsent is whether the log has the member as unresponsive or left.
		loggedAbsent bool
	}
)

func newTable(address string, incarnation int64) *table {
	return &table{self: Member{Address: address, Incarnation: incarnation}, known: make(map[string]*record)}
}

// merge adds the members that another entry holds, and returns those that are new in this table.
func (t *table) merge(members []Member, now time.Time) []Member {
	var added []Member
	for _, m := range members {
		if m.Address == t.self.Address {
			t.refute(m)
			continue
		}
		r, found := t.known[m.Address]
		if !found {
			if m.SinceHeartbeat > relayRetention || len(t.known) >= maxMembers {
				continue
			}
			t.known[m.Address] = &record{Member: m, lastHeartbeat: now.Add(-m.SinceHeartbeat)}
			added = append(added, m)
			continue
		}
		if lastHeartbeat := now.Add(-m.SinceHeartbeat); isNewer(m, r.Member) && lastHeartbeat.After(r.lastHeartbeat) {
			r.lastHeartbeat = lastHeartbeat
		}
		r.Member = join(r.Member, m)
	}
	return added
}

// join returns the state of a member after two states of it, in any order: the later incarnation, or of one incarnation
// the higher heartbeat. A stop of an incarnation is final.
func join(a, b Member) Member {
	if a.Incarnation < b.Incarnation {
		return b
	}
	if a.Incarnation == b.Incarnation {
		a.Heartbeat, a.Left = max(a.Heartbeat, b.Heartbeat), a.Left || b.Left
	}
	return a
}

// refute raises the incarnation above the one that other entries hold of an earlier process at this address,
// and above this one if they hold it as left. The clock may have been set back since the earlier process
// started.
func (t *table) refute(m Member) {
	if m.Incarnation > t.self.Incarnation || m.Incarnation == t.self.Incarnation && m.Left && !t.self.Left {
		t.self.Incarnation = m.Incarnation + 1
	}
}

// isNewer reports whether a has a later heartbeat than b.
func isNewer(a, b Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Heartbeat > b.Heartbeat
}

// removeExpired removes members without a heartbeat for memberRetention.
func (t *table) removeExpired(now time.Time) {
	for address, r := range t.known {
		if now.Sub(r.lastHeartbeat) > memberRetention {
			delete(t.known, address)
		}
	}
}

// digest returns this entry and up to digestSize other members, drawn at random.
func (t *table) digest(now time.Time, random *rand.Rand) []Member {
	others := make([]Member, 0, len(t.known))
	for _, m := range t.members(now) {
		if m.SinceHeartbeat <= relayRetention {
			others = append(others, m)
		}
	}
	random.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return append([]Member{t.self}, others[:min(len(others), digestSize)]...)
}

// members returns the other members, ordered by address.
func (t *table) members(now time.Time) []Member {
	list := make([]Member, 0, len(t.known))
	for _, r := range t.known {
		m := r.Member
		m.SinceHeartbeat = now.Sub(r.lastHeartbeat)
		list = append(list, m)
	}
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.Address, b.Address) })
	return list
}

// countNotLeft returns the number of entries that may be running, this one included.
func (t *table) countNotLeft() int {
	notLeft := 1
	for _, r := range t.known {
		if !r.Left {
			notLeft++
		}
	}
	return notLeft
}

// countLive returns the number of entries with a heartbeat within the timeout, this one included.
func (t *table) countLive(now time.Time, timeout time.Duration) int {
	live := 1
	for _, r := range t.known {
		if !r.Left && now.Sub(r.lastHeartbeat) < timeout {
			live++
		}
	}
	return live
}
