package quarantine

import (
	"maps"
	"slices"
	"strconv"
	"time"
)

const (
	// provenWeight and unprovenWeight are what one crash adds to an entry's weight: the upstream's
	// termination was confirmed, or only its connection closed while the content ran.
	provenWeight   = 3
	unprovenWeight = 2
	// quarantineWeight is reached by two proven crashes or three unproven ones.
	quarantineWeight = 2 * provenWeight
	// termGrowthFactor is the factor by which the quarantine term grows with each crash beyond
	// quarantineWeight. Content that is sent continuously for a day then runs three more times.
	termGrowthFactor = 6
	maxTerm          = 24 * time.Hour
	// maxCrashesPerEntry bounds the crashes that one entry records.
	maxCrashesPerEntry = 8

	unproven crashState = 1
	proven   crashState = 2
	cleared  crashState = 3
)

type (
	// entry records the crashes of upstreams that ran one content.
	entry struct {
		fingerprint string
		crashes     map[string]crashRecord
		// weight is the sum of the weights of the crashes that are not cleared.
		weight  int
		expires time.Time
		changed time.Time
	}

	// crashRecord is the state of one crash, and when it was recorded first.
	crashRecord struct {
		state      crashState
		recordedAt time.Time
	}

	crashState int
)

// compare orders entries by priority, lowest first: suspected content before quarantined content, then by
// expiry. The lowest entry is evicted first, and Urgent returns it last.
func (e *entry) compare(other *entry) int {
	if quarantined, otherQuarantined := e.quarantined(), other.quarantined(); quarantined != otherQuarantined {
		if otherQuarantined {
			return -1
		}
		return 1
	}
	return e.expires.Compare(other.expires)
}

// expired reports whether the entry is to be removed. An entry of quarantined content is kept for another
// term after the quarantine, in which a further crash quarantines the content at once.
func (e *entry) expired(term time.Duration, now time.Time) bool {
	retainedUntil := e.expires
	if e.quarantined() {
		retainedUntil = retainedUntil.Add(term)
	}
	return now.After(retainedUntil)
}

// addCrash records a crash of an upstream, and reports whether it changed the entry.
func (e *entry) addCrash(c Crash, now time.Time) bool {
	reported := unproven
	if c.Proven {
		reported = proven
	}
	name := c.Upstream
	for repeat := 1; ; repeat++ {
		previous, found := e.crashes[name]
		// If the recorded crash is proven or cleared and the attempt was sent after it, the upstream has
		// crashed again. Unproven crashes count once for each incarnation.
		crashedAgain := previous.recordedAt.Before(c.SentAt) && previous.state != unproven
		if !found || !crashedAgain {
			return e.setCrash(name, reported, now)
		}
		name = c.Upstream + "+" + strconv.Itoa(repeat)
	}
}

// setCrash records a crash under its name, and reports whether it changed the entry. The state of a known
// crash only advances from unproven to proven to cleared, so a cleared crash stays cleared. A full entry
// evicts its oldest cleared crash and drops the new one if it has none.
func (e *entry) setCrash(name string, reported crashState, now time.Time) bool {
	crash, found := e.crashes[name]
	if crash.state >= reported || !found && len(e.crashes) >= maxCrashesPerEntry && !e.evictCleared() {
		return false
	}
	if !found {
		crash.recordedAt = now
	}
	e.weight += reported.weight() - crash.state.weight()
	crash.state = reported
	e.crashes[name] = crash
	return true
}

// evictCleared removes the oldest cleared crash, and reports whether there was one.
func (e *entry) evictCleared() bool {
	oldest := ""
	for name, crash := range e.crashes {
		if crash.state == cleared && (oldest == "" || crash.recordedAt.Before(e.crashes[oldest].recordedAt)) {
			oldest = name
		}
	}
	delete(e.crashes, oldest)
	return oldest != ""
}

// weight returns what a crash in this state adds to its entry's weight.
func (s crashState) weight() int {
	switch s {
	case proven:
		return provenWeight
	case unproven:
		return unprovenWeight
	}
	return 0
}

// clearCrashes marks all crashes as cleared.
func (e *entry) clearCrashes() {
	for name, crash := range e.crashes {
		crash.state = cleared
		e.crashes[name] = crash
	}
	e.weight = 0
}

// quarantined reports whether the crashes suffice to quarantine the content.
func (e *entry) quarantined() bool {
	return e.weight >= quarantineWeight
}

// term returns how long the content stays suspected or quarantined after its last crash.
func (e *entry) term(base time.Duration) time.Duration {
	term := base
	for range (e.weight - quarantineWeight) / provenWeight {
		term = min(term*termGrowthFactor, max(base, maxTerm))
	}
	return term
}

// toSuspect returns the entry as processes exchange it.
func (e *entry) toSuspect(now time.Time) Suspect {
	s := Suspect{Fingerprint: e.fingerprint, Crashes: []string{}, Remaining: e.expires.Sub(now)}
	for _, crash := range slices.Sorted(maps.Keys(e.crashes)) {
		switch e.crashes[crash].state {
		case proven:
			s.Crashes = append(s.Crashes, crash)
		case unproven:
			s.Unproven = append(s.Unproven, crash)
		case cleared:
			s.Cleared = append(s.Cleared, crash)
		}
	}
	return s
}
