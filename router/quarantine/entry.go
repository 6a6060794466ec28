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
	// partQuarantineWeight applies to parts, which requests without a fault share: one such request may run beside the
	// crashing one at two upstreams.
	partQuarantineWeight = 3 * provenWeight
	// answeredPartQuarantineWeight applies to parts that upstreams have answered before.
	answeredPartQuarantineWeight = 2 * partQuarantineWeight
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
		// part is whether the content is a part that requests with different contents share. answered is whether an
		// upstream has ever given a complete answer to a request with the part.
		part, answered bool
		crashes        map[string]crashRecord
		// weight is the sum of the weights of the crashes that are not cleared.
		weight  int
		expires time.Time
		changed time.Time
		// quarantined and companions are set by Table.attribute. companions are the other parts with the same evidence:
		// only a request with all of them is quarantined.
		quarantined bool
		companions  []string
	}

	// crashRecord is the state of one crash, and when it was recorded first.
	crashRecord struct {
		state      crashState
		recordedAt time.Time
		// begun is whether the answers to all requests with the content had begun when the upstream crashed.
		begun bool
	}

	crashState int
)

// compare orders entries by priority, lowest first: suspected content before quarantined content, then by
// expiry. The lowest entry is evicted first, and Urgent returns it last.
func (e *entry) compare(other *entry) int {
	if reached, otherReached := e.reachesWeight(), other.reachesWeight(); reached != otherReached {
		if otherReached {
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
	if e.reachesWeight() {
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
			return e.setCrash(name, reported, c.Begun, now)
		}
		name = c.Upstream + "+" + strconv.Itoa(repeat)
	}
}

// setCrash records a crash under its name, and reports whether it changed the entry. The state of a known
// crash only advances from unproven to proven to cleared, so a cleared crash stays cleared, and begun only from true to
// false. A full entry evicts its oldest cleared crash and drops the new one if it has none.
func (e *entry) setCrash(name string, reported crashState, begun bool, now time.Time) bool {
	crash, found := e.crashes[name]
	if !found && len(e.crashes) >= maxCrashesPerEntry && !e.evictCleared() {
		return false
	}
	updated := crashRecord{state: max(crash.state, reported), recordedAt: crash.recordedAt, begun: begun}
	if found {
		updated.begun = crash.begun && begun
	} else {
		updated.recordedAt = now
	}
	e.weight += updated.state.weight() - crash.state.weight()
	e.crashes[name] = updated
	return !found || updated != crash
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

// requiredWeight returns the weight of the crashes that quarantine the content.
func (e *entry) requiredWeight() int {
	switch {
	case e.part && e.answered:
		return answeredPartQuarantineWeight
	case e.part:
		return partQuarantineWeight
	}
	return quarantineWeight
}

// reachesWeight reports whether the crashes suffice to quarantine the content, if no other content explains them better.
func (e *entry) reachesWeight() bool {
	return e.weight >= e.requiredWeight()
}

// term returns how long the content stays suspected or quarantined after its last crash.
func (e *entry) term(base time.Duration) time.Duration {
	term := base
	for range (e.weight - e.requiredWeight()) / provenWeight {
		term = min(term*termGrowthFactor, max(base, maxTerm))
	}
	return term
}

// toSuspect returns the entry as processes exchange it.
func (e *entry) toSuspect(now time.Time) Suspect {
	s := Suspect{Fingerprint: e.fingerprint, Part: e.part, Answered: e.answered, Crashes: []string{}, Remaining: e.expires.Sub(now)}
	for _, crash := range slices.Sorted(maps.Keys(e.crashes)) {
		if e.crashes[crash].begun {
			s.Begun = append(s.Begun, crash)
		}
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
