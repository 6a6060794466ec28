package quarantine

import (
	"slices"
	"sync"
	"time"
)

const (
	// attemptRetention is how long an attempt without a complete answer is kept for a confirmation that its
	// upstream terminated. The platform withdraws an unresponsive upstream after three heartbeats of about
	// 1.2 s, which are delayed by up to a second.
	attemptRetention = 6 * time.Second
	// maxAttemptsPerUpstream bounds the attempts without a complete answer that are kept for one upstream.
	maxAttemptsPerUpstream = 128
	// maxKeptContents bounds the contents of all attempts that are kept: the prompt of one request may have thousands of
	// parts. A content and its name take about 40 bytes.
	maxKeptContents = 1 << 16
	// upstreamRetention is how long the termination of an upstream is kept for attempts that are still
	// running. Deadlines of callers are shorter.
	upstreamRetention = time.Minute
)

type (
	// Content is what a request carries, by name: equal contents have the same name.
	Content struct {
		Name string
		// Shared content may be sent by several callers at once.
		Shared bool
		// Part content is a part that requests with different contents share, such as a part of a prompt.
		Part bool
	}

	// Tracker records the attempts to run contents at upstreams, and attributes the crash of an upstream to
	// the contents that ran on it. It is safe for concurrent use.
	Tracker struct {
		table *Table

		mu        sync.Mutex
		upstreams map[string]*upstreamRecord
		lastSweep time.Time
		// kept is the number of contents of the attempts without a complete answer.
		kept int
	}

	// upstreamRecord is the state of one incarnation of an upstream.
	upstreamRecord struct {
		// incomplete are the attempts that finished without a complete answer, oldest first.
		incomplete []Attempt
		// terminatedAt is when the upstream's termination was confirmed; zero if it was not.
		terminatedAt time.Time
		lastUsed     time.Time
	}

	// Attempt is one attempt to run contents at an incarnation of an upstream.
	Attempt struct {
		Upstream string
		Contents []Content
		SentAt   time.Time
		// Begun is whether the upstream's answer had been under way for some time.
		Begun bool

		finishedAt time.Time
	}
)

// NewTracker returns a tracker that records crashes in a table.
func NewTracker(table *Table) *Tracker {
	return &Tracker{table: table, upstreams: make(map[string]*upstreamRecord)}
}

// Answered clears the contents of an attempt that got a complete answer.
func (t *Tracker) Answered(a Attempt, now time.Time) {
	t.table.Clear(a.Contents, now)
}

// Disconnected records that the upstream's connection closed before the answer was complete. It returns true
// if the upstream's termination was already confirmed and the crash changed the table.
func (t *Tracker) Disconnected(a Attempt, now time.Time) bool {
	terminated := t.addIncomplete(a, now)
	return len(t.table.recordAttempts([]Attempt{a}, terminated, now)) > 0 && terminated
}

// Abandoned records that no request waits for the answer any more. This is recorded as a crash only if the
// upstream's termination is confirmed: already, or within attemptRetention. It reports whether it changed the
// table.
func (t *Tracker) Abandoned(a Attempt, now time.Time) bool {
	return t.addIncomplete(a, now) && len(t.table.recordAttempts([]Attempt{a}, true, now)) > 0
}

// Terminated records that an incarnation of an upstream has terminated. It returns the contents to which this
// adds a crash.
func (t *Tracker) Terminated(upstream string, now time.Time) []string {
	t.mu.Lock()
	t.sweep(now)
	u := t.upstream(upstream, now)
	u.terminatedAt = now
	attempts := u.incomplete
	t.drop(u, len(attempts))
	t.mu.Unlock()
	return t.table.recordAttempts(attempts, true, now)
}

// Unreachable records that a connection to an upstream timed out, because of the upstream or of the network.
// Attempts without a complete answer there count as unproven crashes until the termination is confirmed. It
// reports whether this changed the table.
func (t *Tracker) Unreachable(upstream string, now time.Time) bool {
	t.mu.Lock()
	t.sweep(now)
	var attempts []Attempt
	if u, found := t.upstreams[upstream]; found {
		attempts = slices.Clone(u.incomplete)
	}
	t.mu.Unlock()
	return len(t.table.recordAttempts(attempts, false, now)) > 0
}

// addIncomplete keeps an attempt without a complete answer. If its upstream was confirmed to have terminated
// since the attempt was sent, it keeps nothing and returns true.
func (t *Tracker) addIncomplete(a Attempt, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	u := t.upstream(a.Upstream, now)
	if u.terminatedAt.After(a.SentAt) {
		return true
	}
	a.finishedAt = now
	if len(u.incomplete) >= maxAttemptsPerUpstream {
		t.drop(u, 1)
	}
	u.incomplete = append(u.incomplete, a)
	for t.kept += len(a.Contents); t.kept > maxKeptContents && t.kept > len(a.Contents); {
		t.drop(t.oldest(), 1)
	}
	return false
}

// oldest returns the upstream with the oldest attempt without a complete answer. The caller holds the lock.
func (t *Tracker) oldest() *upstreamRecord {
	var oldest *upstreamRecord
	for _, u := range t.upstreams {
		if len(u.incomplete) > 0 && (oldest == nil || u.incomplete[0].finishedAt.Before(oldest.incomplete[0].finishedAt)) {
			oldest = u
		}
	}
	return oldest
}

// drop removes the oldest attempts at an upstream. The caller holds the lock.
func (t *Tracker) drop(u *upstreamRecord, attempts int) {
	for _, a := range u.incomplete[:attempts] {
		t.kept -= len(a.Contents)
	}
	u.incomplete = u.incomplete[attempts:]
}

// upstream returns the record of an upstream, which it adds if there is none. The caller holds the lock.
func (t *Tracker) upstream(name string, now time.Time) *upstreamRecord {
	u, found := t.upstreams[name]
	if !found {
		u = &upstreamRecord{}
		t.upstreams[name] = u
	}
	u.lastUsed = now
	return u
}

// sweep removes expired attempts and records. The caller holds the lock.
func (t *Tracker) sweep(now time.Time) {
	if now.Sub(t.lastSweep) < attemptRetention/4 {
		return
	}
	t.lastSweep = now
	for name, u := range t.upstreams {
		for len(u.incomplete) > 0 && now.Sub(u.incomplete[0].finishedAt) > attemptRetention {
			t.drop(u, 1)
		}
		if len(u.incomplete) == 0 && now.Sub(u.lastUsed) > upstreamRetention {
			delete(t.upstreams, name)
		}
	}
}
