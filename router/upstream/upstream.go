// Package upstream knows the upstreams of each pool, which of them may get work, and how each one
// has answered this process.
package upstream

import (
	"sync"
	"time"
)

const (
	// ejectBase is how long an upstream gets no work after its first failures in a row; it
	// doubles with each further ejection. About the time in which a crashed process restarts.
	ejectBase = 500 * time.Millisecond
	ejectMax  = 4 * time.Second
	// fullPause is how long an upstream that turned a request away gets no other: about the
	// time in which one of its requests ends. It doubles while the upstream turns all away.
	fullPause    = 60 * time.Millisecond
	fullPauseMax = time.Second
	// failuresToEject in a row eject an upstream: two exclude one lost connection.
	failuresToEject = 2

	// PhaseNone is the phase of plain services.
	PhaseNone Phase = 0
	// PhasePrefill engines compute the KV cache of prompts.
	PhasePrefill Phase = 1
	// PhaseDecode engines generate tokens.
	PhaseDecode Phase = 2
)

type (
	// Phase is the part of a generation that an engine serves.
	Phase int

	// Upstream is one incarnation of a server, as it published itself.
	Upstream struct {
		// ID names the incarnation; a restart mostly has a new one.
		ID         string
		Pool       string
		Address    string
		DataCentre string
		Phase      Phase
		// Draining upstreams finish what they have and get no new work.
		Draining bool
		// Slots is the number of requests that run at once.
		Slots int
		// Started is when the incarnation began, by its own clock; zero when unknown.
		Started time.Time
	}

	// Member is an upstream and what this process has seen of it. A member's facts do not
	// change: when the upstream publishes others, another member takes over its history.
	Member struct {
		Upstream
		*History
	}

	// History is what this process has seen of one incarnation. It is safe for concurrent use.
	History struct {
		mu       sync.Mutex
		inFlight int
		tokens   int
		failures int
		// turnedAway counts the requests in a row that found no room.
		turnedAway int
		ejected    int
		until      time.Time
		latency    time.Duration
		gone       bool
	}

	// Load is what this process has in flight at an upstream.
	Load struct {
		Requests int
		// Tokens is the KV cache memory that this process has reserved or in use.
		Tokens int
	}
)

// String returns the phase as logs show it.
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

// Begin counts a request with its KV cache memory.
func (h *History) Begin(tokens int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.inFlight++
	h.tokens += tokens
}

// End takes back what Begin counted.
func (h *History) End(tokens int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.inFlight--
	h.tokens -= tokens
}

// Load returns what this process has in flight.
func (h *History) Load() Load {
	h.mu.Lock()
	defer h.mu.Unlock()
	return Load{Requests: h.inFlight, Tokens: h.tokens}
}

// Succeeded records an answer and its latency.
func (h *History) Succeeded(latency time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failures, h.ejected, h.turnedAway = 0, 0, 0
	if h.latency == 0 {
		h.latency = latency
		return
	}
	// An eighth of each new value follows changes within some ten requests.
	h.latency += (latency - h.latency) / 8
}

// Latency is the smoothed latency of answers; zero before the first.
func (h *History) Latency() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.latency
}

// Failed records a failure and reports whether it ejected the upstream, and for how long.
func (h *History) Failed(now time.Time) (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failures++
	if h.failures < failuresToEject {
		return 0, false
	}
	return h.eject(now), true
}

// Unreachable records that the upstream refuses connections or died while it ran something. It is
// ejected at once.
func (h *History) Unreachable(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failures = failuresToEject
	return h.eject(now)
}

// Rejected records that the upstream had no room for a request.
func (h *History) Rejected(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	pause := min(fullPause<<min(h.turnedAway, 8), fullPauseMax)
	h.turnedAway++
	if until := now.Add(pause); until.After(h.until) {
		h.until = until
	}
}

// MarkSuspect records that another process found the upstream failing: one failure here ejects it.
func (h *History) MarkSuspect() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failures = max(h.failures, failuresToEject-1)
}

// Replaced records that another incarnation answers at the address. The member gets no more work.
func (h *History) Replaced() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.gone = true
}

func (h *History) eject(now time.Time) time.Duration {
	if now.Before(h.until) {
		return h.until.Sub(now)
	}
	wait := min(ejectBase<<min(h.ejected, 8), ejectMax)
	h.ejected++
	h.until = now.Add(wait)
	return wait
}

// failing reports whether this process has ejected the upstream for its failures.
func (h *History) failing(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ejected > 0 && now.Before(h.until)
}

// isGone reports whether another incarnation was met at the address.
func (h *History) isGone() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.gone
}

// usable reports whether the member may get work.
func (h *History) usable(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.gone && !now.Before(h.until)
}
