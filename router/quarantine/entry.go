package quarantine

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
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
	// underWayWeight is added where crashes count although an answer with the content was under way and others began at
	// the upstream.
	underWayWeight = provenWeight
	// answeredTermDivisor shortens the quarantine of parts that upstreams have answered before: many requests share such
	// a part, and after upstreams that terminated together for another reason only a complete answer clears it.
	answeredTermDivisor = 10
	// termGrowthFactor is the factor by which the quarantine term grows with each crash beyond
	// quarantineWeight. Content that is sent continuously for a day then runs three more times.
	termGrowthFactor = 6
	maxTerm          = 24 * time.Hour
	// episodeSeparator separates the name of a crash from its episode.
	episodeSeparator = "~"
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
		crashes        []crashRecord
		// weight is the sum of the weights of the crashes that are not cleared.
		weight  int
		expires time.Time
		changed time.Time
		// quarantined and group are set by Table.attribute. group are the parts with the same evidence, for quarantined
		// parts.
		quarantined bool
		group       *group
		// label is the name under which the content was last reported as newly quarantined.
		label string
	}

	// crashRecord is the state of one crash, and when it was recorded first.
	crashRecord struct {
		name string
		// episode numbers the crashes of a part that was answered: each process gives to a crash the number after the
		// highest one that it knows. Upstreams that crash together, each in the view of another process, have the same
		// number and count once. It is 0 for all other crashes.
		episode    int
		state      crashState
		recordedAt time.Time
		// begun is whether the answers to all requests with the content were under way when the upstream crashed.
		begun bool
	}

	crashState int
)

// compare orders entries by priority, lowest first: by the share of the weight that quarantines the content, then by
// expiry. The lowest entry is evicted first, and Urgent returns it last.
func (e *entry) compare(other *entry) int {
	required, otherRequired := e.requiredWeight(), other.requiredWeight()
	if c := cmp.Compare(min(e.weight, required)*otherRequired, min(other.weight, otherRequired)*required); c != 0 {
		return c
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

// crashedTogether reports whether a crash is to be ignored for the content, as the content was sent before another of its
// crashes was recorded.
func (e *entry) crashedTogether(content Content, c Crash) bool {
	countsOnce := content.Shared || content.Part && (c.Begun || e.answered)
	if !countsOnce {
		return false
	}
	return slices.ContainsFunc(e.crashes, func(previous crashRecord) bool {
		isCounted := previous.state != cleared || e.answered
		return isCounted && previous.name != c.Upstream && !previous.recordedAt.Before(c.SentAt)
	})
}

// addCrash records a crash of an upstream, and reports whether it changed the entry.
func (e *entry) addCrash(c Crash, now time.Time) bool {
	reported := unproven
	if c.Proven {
		reported = proven
	}
	name, lastEpisode := c.Upstream, 0
	for repeat := 1; ; repeat++ {
		// If the recorded crash is proven or cleared and the attempt was sent after it, the upstream has
		// crashed again. Unproven crashes count once for each incarnation.
		crashedAgain := false
		for _, previous := range e.crashes {
			lastEpisode = max(lastEpisode, previous.episode)
			crashedAgain = crashedAgain || previous.name == name && previous.recordedAt.Before(c.SentAt) && previous.state != unproven
		}
		if !crashedAgain {
			break
		}
		name = c.Upstream + "+" + strconv.Itoa(repeat)
	}
	record := crashRecord{name: name, state: reported, recordedAt: now, begun: c.Begun}
	if e.answered {
		record.episode = lastEpisode + 1
		if i := slices.IndexFunc(e.crashes, func(previous crashRecord) bool { return previous.name == name }); i >= 0 {
			record.episode = e.crashes[i].episode
		}
	}
	return e.setCrash(record)
}

// isSame reports whether two records are of one crash, or for an answered part of one episode.
func (e *entry) isSame(a, b crashRecord) bool {
	if e.answered {
		return a.episode == b.episode
	}
	return a.name == b.name
}

// setCrash adds a crash, and reports whether it changed the entry. The state of a known
// crash only advances from unproven to proven to cleared, so a cleared crash stays cleared, and begun only from true to
// false. A full entry evicts its oldest cleared crash. If it has none, it keeps the first ones by episode and name, so that
// all processes keep the same.
func (e *entry) setCrash(c crashRecord) bool {
	defer e.sumWeight()
	if i := slices.IndexFunc(e.crashes, func(known crashRecord) bool { return e.isSame(known, c) }); i >= 0 {
		before := e.crashes[i]
		e.crashes[i].name, e.crashes[i].state, e.crashes[i].begun = min(before.name, c.name), max(before.state, c.state), before.begun && c.begun
		return e.crashes[i] != before
	}
	if len(e.crashes) >= maxCrashesPerEntry && !e.evictCleared() {
		last := slices.MaxFunc(e.crashes, crashRecord.compare)
		if c.state == cleared || c.compare(last) > 0 {
			return false
		}
		e.crashes = slices.DeleteFunc(e.crashes, func(known crashRecord) bool { return known == last })
	}
	e.crashes = append(e.crashes, c)
	return true
}

// compare orders crashes by episode and name.
func (c crashRecord) compare(other crashRecord) int {
	return cmp.Or(cmp.Compare(c.episode, other.episode), strings.Compare(c.name, other.name))
}

// sharedName returns the name of the crash as processes exchange it.
func (c crashRecord) sharedName() string {
	if c.episode == 0 {
		return c.name
	}
	return c.name + episodeSeparator + strconv.Itoa(c.episode)
}

// parseCrash returns the record of a crash with a name as processes exchange it.
func parseCrash(sharedName string) crashRecord {
	if i := strings.LastIndex(sharedName, episodeSeparator); i >= 0 {
		if episode, err := strconv.Atoi(sharedName[i+len(episodeSeparator):]); err == nil && episode > 0 {
			return crashRecord{name: sharedName[:i], episode: episode}
		}
	}
	return crashRecord{name: sharedName}
}

// sumWeight sets the weight to that of the crashes.
func (e *entry) sumWeight() {
	e.weight = 0
	for _, c := range e.crashes {
		e.weight += c.state.weight()
	}
}

// markAnswered records that an upstream has answered the part. The crashes that were recorded before count as one episode.
func (e *entry) markAnswered() {
	if e.answered {
		return
	}
	e.answered = true
	crashes := e.crashes
	e.crashes = nil
	for _, c := range crashes {
		e.setCrash(c)
	}
}

// evictCleared removes the oldest cleared crash, and reports whether there was one.
func (e *entry) evictCleared() bool {
	oldest := -1
	for i, crash := range e.crashes {
		if crash.state == cleared && (oldest < 0 || crash.recordedAt.Before(e.crashes[oldest].recordedAt)) {
			oldest = i
		}
	}
	if oldest < 0 {
		return false
	}
	e.crashes = slices.Delete(e.crashes, oldest, oldest+1)
	return true
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
	for i := range e.crashes {
		e.crashes[i].state = cleared
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
	if e.answered {
		return base / answeredTermDivisor
	}
	term := base
	for range (e.weight - e.requiredWeight()) / provenWeight {
		term = min(term*termGrowthFactor, max(base, maxTerm))
	}
	return term
}

// toSuspect returns the entry as processes exchange it.
func (e *entry) toSuspect(now time.Time) Suspect {
	s := Suspect{Fingerprint: e.fingerprint, Part: e.part, Answered: e.answered, Crashes: []string{}, Remaining: e.expires.Sub(now)}
	for _, crash := range slices.SortedFunc(slices.Values(e.crashes), crashRecord.compare) {
		name := crash.sharedName()
		if crash.begun {
			s.Begun = append(s.Begun, name)
		}
		switch crash.state {
		case proven:
			s.Crashes = append(s.Crashes, name)
		case unproven:
			s.Unproven = append(s.Unproven, name)
		case cleared:
			s.Cleared = append(s.Cleared, name)
		}
	}
	return s
}

// exchangedBytes returns about how many bytes the suspect takes in an exchange.
func (e *entry) exchangedBytes() int {
	size := suspectOverheadBytes + len(e.fingerprint)
	for _, crash := range e.crashes {
		size += crashOverheadBytes + len(crash.name)
		if crash.begun {
			size += crashOverheadBytes + len(crash.name)
		}
	}
	return size
}
