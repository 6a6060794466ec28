package quarantine

import (
	"slices"
	"sync"
	"time"
)

const (
	// tryMemory is how long a try without a whole answer waits for the proof that its upstream ended.
	// The platform drops a silent upstream after three heartbeats of some 1.2 s, which lag by up to
	// a second.
	tryMemory = 6 * time.Second
	// maxTries bounds the tries without a whole answer that are remembered for one upstream.
	maxTries = 128
	// maxTryTime is how long an upstream's end is remembered for tries that are still open. Callers
	// wait for less.
	maxTryTime = time.Minute
)

type (
	// Content names what a request carries.
	Content struct {
		Name string
		// Shared content may come from many callers at once.
		Shared bool
	}

	// Tracker follows the tries of contents at upstreams, and blames those under which an upstream
	// ended. It is safe for concurrent use.
	Tracker struct {
		table *Table

		mu        sync.Mutex
		upstreams map[string]*watched
		swept     time.Time
	}

	// watched is what is known of one incarnation of an upstream.
	watched struct {
		// unanswered are the tries that ended without a whole answer.
		unanswered []Attempt
		// ended is when the upstream's end was seen; zero: it was not.
		ended time.Time
		last  time.Time
	}

	// Attempt is one send of a content to an incarnation of an upstream.
	Attempt struct {
		Upstream string
		Contents []Content
		SentAt   time.Time

		over time.Time
	}
)

// NewTracker returns a watch that reports to a table.
func NewTracker(table *Table) *Tracker {
	return &Tracker{table: table, upstreams: make(map[string]*watched)}
}

// Answered clears the contents of a try that got a whole answer.
func (w *Tracker) Answered(t Attempt, now time.Time) {
	for _, c := range t.Contents {
		w.table.Clear(c.Name, now)
	}
}

// Disconnected records that the upstream's answer broke off, and reports whether it had ended and that speaks anew
// against the contents.
func (w *Tracker) Disconnected(t Attempt, now time.Time) bool {
	ended := w.unanswered(t, now)
	return w.blame(t, ended, now) && ended
}

// Abandoned records that nobody waits for the answer any more. That says nothing of the contents,
// unless the upstream turns out to have ended.
func (w *Tracker) Abandoned(t Attempt, now time.Time) bool {
	return w.unanswered(t, now) && w.blame(t, true, now)
}

// Terminated records that an incarnation of an upstream has ended. It returns the contents that this newly
// speaks against.
func (w *Tracker) Terminated(upstream string, now time.Time) []string {
	w.mu.Lock()
	w.sweep(now)
	u := w.upstream(upstream, now)
	u.ended = now
	tries := u.unanswered
	u.unanswered = nil
	w.mu.Unlock()
	var blamed []string
	for _, t := range tries {
		if !w.blame(t, true, now) {
			continue
		}
		for _, c := range t.Contents {
			blamed = append(blamed, c.Name)
		}
	}
	return blamed
}

// Unreachable records that an upstream took no connection in time: it went dark, or a link did. What was
// not answered there counts as broken off, until there is proof. It reports whether anything new
// speaks against a content.
func (w *Tracker) Unreachable(upstream string, now time.Time) bool {
	w.mu.Lock()
	w.sweep(now)
	var tries []Attempt
	if u, found := w.upstreams[upstream]; found {
		tries = slices.Clone(u.unanswered)
	}
	w.mu.Unlock()
	news := false
	for _, t := range tries {
		news = w.blame(t, false, now) || news
	}
	return news
}

// unanswered remembers a try without a whole answer, and reports whether its upstream is known to have
// ended since the try began.
func (w *Tracker) unanswered(t Attempt, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sweep(now)
	u := w.upstream(t.Upstream, now)
	if u.ended.After(t.SentAt) {
		return true
	}
	t.over = now
	if len(u.unanswered) >= maxTries {
		u.unanswered = u.unanswered[1:]
	}
	u.unanswered = append(u.unanswered, t)
	return false
}

// upstream returns what is known of an upstream. The caller holds the lock.
func (w *Tracker) upstream(name string, now time.Time) *watched {
	u, found := w.upstreams[name]
	if !found {
		u = &watched{}
		w.upstreams[name] = u
	}
	u.last = now
	return u
}

// sweep forgets what is too long ago. The caller holds the lock.
func (w *Tracker) sweep(now time.Time) {
	if now.Sub(w.swept) < tryMemory/4 {
		return
	}
	w.swept = now
	for name, u := range w.upstreams {
		for len(u.unanswered) > 0 && now.Sub(u.unanswered[0].over) > tryMemory {
			u.unanswered = u.unanswered[1:]
		}
		if len(u.unanswered) == 0 && now.Sub(u.last) > maxTryTime {
			delete(w.upstreams, name)
		}
	}
}

func (w *Tracker) blame(t Attempt, proven bool, now time.Time) bool {
	news := false
	for _, c := range t.Contents {
		crash := Crash{Upstream: t.Upstream, SentAt: t.SentAt, Proven: proven}
		if c.Shared {
			news = w.table.BlameInTurn(c.Name, crash, now) || news
		} else {
			news = w.table.Blame(c.Name, crash, now) || news
		}
	}
	return news
}
