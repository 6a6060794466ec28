package quarantine

import (
	"maps"
	"slices"
	"strconv"
	"time"
)

const (
	// provenWeight and openWeight are what one upstream's end adds to the case against content: its
	// end was seen, or only a connection that broke while the content ran.
	provenWeight = 3
	openWeight   = 2
	// quarantineWeight is reached by two proven ends or three open ones.
	quarantineWeight = 2 * provenWeight
	// termGrowth times as long is content kept away for each end beyond those: content that keeps
	// coming for a day gets three trials.
	termGrowth = 6
	maxTerm    = 24 * time.Hour
	// maxCrashes bounds the crashes that one entry names.
	maxCrashes = 8

	open    state = 1
	proven  state = 2
	cleared state = 3
)

type (
	// entry is the case against one content.
	entry struct {
		fingerprint string
		crashes     map[string]evidence
		// weight is how much speaks against the content, by its crashes.
		weight  int
		expires time.Time
		changed time.Time
	}

	// evidence is one crash in the case against content.
	evidence struct {
		state   state
		learned time.Time
	}

	state int
)

// compare orders entries by how long they must be known: suspects before quarantined content, then what
// ends first.
func (e *entry) compare(other *entry) int {
	if kept, otherKept := e.quarantined(), other.quarantined(); kept != otherKept {
		if otherKept {
			return -1
		}
		return 1
	}
	return e.expires.Compare(other.expires)
}

// over reports whether the entry is to be forgotten. Content that was quarantined is remembered for
// another term, in which a further crash quarantines it at once.
func (e *entry) over(term time.Duration, now time.Time) bool {
	kept := e.expires
	if e.quarantined() {
		kept = kept.Add(term)
	}
	return now.After(kept)
}

// add notes the end of an upstream, and reports whether it was new.
func (e *entry) add(c Crash, now time.Time) bool {
	told := open
	if c.Proven {
		told = proven
	}
	name := c.Upstream
	for again := 1; ; again++ {
		known, found := e.crashes[name]
		// An upstream whose end was known when the try began has ended once more. A broken answer
		// counts once for each incarnation.
		another := known.learned.Before(c.SentAt) && known.state != open
		if !found || !another {
			return e.set(name, told, now)
		}
		name = c.Upstream + "+" + strconv.Itoa(again)
	}
}

// set notes a crash under its name, and reports whether it was new. A later state replaces an earlier
// one: what is cleared stays so.
func (e *entry) set(name string, told state, now time.Time) bool {
	known, found := e.crashes[name]
	if known.state >= told || !found && len(e.crashes) >= maxCrashes && !e.makeRoom() {
		return false
	}
	if !found {
		known.learned = now
	}
	e.weight += told.weight() - known.state.weight()
	known.state = told
	e.crashes[name] = known
	return true
}

// makeRoom drops the earliest cleared crash, and reports whether there was one.
func (e *entry) makeRoom() bool {
	first := ""
	for name, known := range e.crashes {
		if known.state == cleared && (first == "" || known.learned.Before(e.crashes[first].learned)) {
			first = name
		}
	}
	delete(e.crashes, first)
	return first != ""
}

// weight is what a crash adds to the case.
func (s state) weight() int {
	switch s {
	case proven:
		return provenWeight
	case open:
		return openWeight
	}
	return 0
}

// clear excuses all crashes.
func (e *entry) clear() {
	for name, known := range e.crashes {
		known.state = cleared
		e.crashes[name] = known
	}
	e.weight = 0
}

// quarantined reports whether the content is kept away while its term lasts.
func (e *entry) quarantined() bool {
	return e.weight >= quarantineWeight
}

// term is how long the content is kept away, or suspected.
func (e *entry) term(first time.Duration) time.Duration {
	term := first
	for range (e.weight - quarantineWeight) / provenWeight {
		term = min(term*termGrowth, max(first, maxTerm))
	}
	return term
}

// suspect is the entry as processes tell it to each other.
func (e *entry) suspect(now time.Time) Suspect {
	s := Suspect{Fingerprint: e.fingerprint, Crashes: []string{}, Remaining: e.expires.Sub(now)}
	for _, crash := range slices.Sorted(maps.Keys(e.crashes)) {
		switch e.crashes[crash].state {
		case proven:
			s.Crashes = append(s.Crashes, crash)
		case open:
			s.Unproven = append(s.Unproven, crash)
		case cleared:
			s.Cleared = append(s.Cleared, crash)
		}
	}
	return s
}
