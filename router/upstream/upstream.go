// Package upstream holds the published upstreams of each pool and decides which of them may get requests. It
// tracks the load, latency and failures that this process observes at each one.
package upstream

import (
	"strconv"
	"sync"
	"time"
)

const (
	// ejectionBase is the first ejection time of an upstream, about the time in which a crashed process
	// restarts. It doubles with each further ejection, up to ejectionMax.
	ejectionBase = 500 * time.Millisecond
	ejectionMax  = 4 * time.Second
	// rejectionPause is how long an upstream gets no requests after it rejected one for lack of capacity:
	// about the time in which one of its running requests completes. It doubles with each further rejection
	// in a row, up to rejectionPauseMax.
	rejectionPause    = 60 * time.Millisecond
	rejectionPauseMax = time.Second
	// failuresToEject is the number of consecutive failures that ejects an upstream. With two, one lost
	// connection does not eject it.
	failuresToEject = 2

	// PhaseNone is the phase of plain services.
	PhaseNone Phase = 0
	// PhasePrefill is the phase of engines that compute the KV cache of prompts.
	PhasePrefill Phase = 1
	// PhaseDecode is the phase of engines that generate tokens.
	PhaseDecode Phase = 2
)

type (
	// Phase is the part of a generation that an engine serves.
	Phase int

	// Upstream describes one incarnation of a server, as the server published it.
	Upstream struct {
		// ID identifies the incarnation. A restarted server usually has a new ID; otherwise Started tells its
		// incarnations apart.
		ID         string
		Pool       string
		Address    string
		DataCentre string
		Phase      Phase
		// Draining upstreams finish their running requests and get no new ones.
		Draining bool
		// Slots is the number of requests that the upstream runs concurrently.
		Slots int
		// Started is the start time of the incarnation by its own clock; zero if unknown.
		Started time.Time
	}

	// Member is an upstream with the history that this process has of it. A member's Upstream never changes.
	// When the server publishes other values, a new member with the same history takes its place.
	Member struct {
		Upstream
		*History
	}

	// History records what this process has observed of one incarnation. It is safe for concurrent use.
	History struct {
		mu       sync.Mutex
		inFlight int
		tokens   int
		failures int
		// rejections counts the consecutive requests that were rejected for lack of capacity.
		rejections int
		ejections  int
		// pausedUntil is the end of the pause after a rejection, ejectedUntil that of the ejection after failures.
		pausedUntil  time.Time
		ejectedUntil time.Time
		latency      time.Duration
		// replaced is whether another incarnation answered at the address.
		replaced bool
		// claimedUntil is the end of claimTime after a later start was first published at the address; zero if none was.
		claimedUntil time.Time
		// backoffUntil is the end of the time for which the upstream has asked for no requests.
		backoffUntil time.Time
		// leavingAt is when the upstream announced last that it leaves; zero if it has not.
		leavingAt time.Time
		// successor is the history of a later incarnation with the same ID and address, which started at successorStarted; nil
		// if there is none. Answers to requests that were sent before it was published are recorded here.
		successor        *History
		successorStarted time.Time
		// occupant is the history of the latest incarnation at the address, if that is a later one than this; otherwise nil.
		occupant *History
	}

	// Load is the load that this process has in flight at an upstream.
	Load struct {
		Requests int
		// Tokens is the KV cache memory that this process has reserved or in use, in tokens.
		Tokens int
	}
)

// String returns the phase as it appears in logs.
func (p Phase) String() string {
	switch p {
	case PhaseNone:
		return "none"
	case PhasePrefill:
		return "prefill"
	case PhaseDecode:
		return "decode"
	}
	return "unknown"
}

// Incarnation returns a name for one run of the upstream's process.
func (u Upstream) Incarnation() string {
	if u.Started.IsZero() {
		return u.ID
	}
	return u.ID + "@" + strconv.FormatInt(u.Started.UnixMilli(), 10)
}

// Begin adds a request and its KV cache memory, in tokens, to the load in flight.
func (h *History) Begin(tokens int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.inFlight++
	h.tokens += tokens
}

// End subtracts what Begin added.
func (h *History) End(tokens int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.inFlight--
	h.tokens -= tokens
}

// Load returns the load that this process has in flight.
func (h *History) Load() Load {
	h.mu.Lock()
	defer h.mu.Unlock()
	return Load{Requests: h.inFlight, Tokens: h.tokens}
}

// Succeeded records an answer and its latency. It resets the counts of failures, ejections and rejections.
func (h *History) Succeeded(latency time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failures, h.ejections, h.rejections = 0, 0, 0
	if h.latency == 0 {
		h.latency = latency
		return
	}
	// A smoothing weight of 1/8 follows a change within about ten requests.
	h.latency += (latency - h.latency) / 8
}

// Latency returns the smoothed latency (EWMA) of answers; zero before the first one.
func (h *History) Latency() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.latency
}

// Failed records a failure. It reports whether the upstream is ejected now, and for how long it gets no
// requests.
func (h *History) Failed(now time.Time) (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failures++
	if h.failures < failuresToEject {
		return 0, false
	}
	return h.eject(now), true
}

// Unreachable records that connections to the upstream fail, or that it crashed while it ran a request. It
// ejects the upstream at once and returns for how long it gets no requests.
func (h *History) Unreachable(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failures = failuresToEject
	return h.eject(now)
}

// Rejected records that the upstream rejected a request for lack of capacity.
func (h *History) Rejected(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	pause := min(rejectionPause<<min(h.rejections, 8), rejectionPauseMax)
	h.rejections++
	if until := now.Add(pause); until.After(h.pausedUntil) {
		h.pausedUntil = until
	}
}

// MarkSuspect records that another process has ejected the upstream: one failure observed here then ejects
// it.
func (h *History) MarkSuspect() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failures = max(h.failures, failuresToEject-1)
}

// Replaced records that another incarnation answers at the address. The member gets no more requests.
func (h *History) Replaced() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.replaced = true
}

// BackOff records that the upstream has asked for no requests for a time.
func (h *History) BackOff(now time.Time, wait time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if until := now.Add(wait); until.After(h.backoffUntil) {
		h.backoffUntil = until
	}
	if h.successorRanAt(now) {
		h.successor.BackOff(now, wait)
	}
}

// Backoff returns for how long the upstream has asked for no requests.
func (h *History) Backoff(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return max(0, h.backoffUntil.Sub(now))
}

// Leaves records that the upstream has announced that it leaves. The member gets no more requests. It reports whether
// this is new.
func (h *History) Leaves(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	isNew := h.leavingAt.IsZero()
	h.leavingAt = now
	if h.successorRanAt(now) {
		isNew = h.successor.Leaves(now)
	}
	return isNew
}

// succeed records the history of a later incarnation with the same ID and address.
func (h *History) succeed(next *History, started time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if next != h {
		h.successor, h.successorStarted = next, started
	}
}

// successorRanAt reports whether a later incarnation was running at a time. An answer that arrives then at a request to this
// incarnation comes from the later one, as both have the same ID and address. The caller holds the lock.
func (h *History) successorRanAt(now time.Time) bool {
	return h.successor != nil && h.successorStarted.Before(now)
}

// lastLeavingAt returns when the upstream announced last that it leaves; zero if it has not.
func (h *History) lastLeavingAt() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.leavingAt
}

// isLeaving reports whether the upstream has announced that it leaves, or a later one at its address has, which would receive
// the requests to this one.
func (h *History) isLeaving() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.hasLeaver()
}

// hasLeaver implements isLeaving. The caller holds the lock. A later history is locked after an earlier one.
func (h *History) hasLeaver() bool {
	return !h.leavingAt.IsZero() || h.occupant != nil && h.occupant.isLeaving()
}

func (h *History) eject(now time.Time) time.Duration {
	if now.Before(h.ejectedUntil) {
		return h.ejectedUntil.Sub(now)
	}
	wait := min(ejectionBase<<min(h.ejections, 8), ejectionMax)
	h.ejections++
	h.ejectedUntil = now.Add(wait)
	return wait
}

// ejectedForFailures reports whether the upstream is ejected and has not succeeded since.
func (h *History) ejectedForFailures(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ejections > 0 && now.Before(h.ejectedUntil)
}

// isReplaced reports whether another incarnation answers at the address, or is taken to because it is published there.
func (h *History) isReplaced(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.replaced || now.Before(h.claimedUntil)
}
