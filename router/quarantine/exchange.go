package quarantine

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

const (
	// recentFor is how long after a change Urgent includes a suspect that is not among the most urgent.
	// Processes exchange updates several times meanwhile.
	recentFor = 3 * time.Second
	// maxRecent and maxRecentBytes bound the suspects that Urgent adds for this reason. They hold the contents of two
	// busy upstreams that crash together, and with the other state of a process an update stays under the 64 KB that
	// others accept.
	maxRecent      = 512
	maxRecentBytes = 24 << 10
	// minSharedCommon is the number of common parts that are sent also beside many suspects: they tell the harmless ones
	// among these.
	minSharedCommon = 4
	// mergeTolerance is the difference in expiry that Merge ignores, so that two tables do not extend each
	// other's entries with every exchange.
	mergeTolerance = time.Second
	// suspectOverheadBytes and crashOverheadBytes are what the encoding of a suspect, and of each of its crashes, takes
	// beside the names.
	suspectOverheadBytes = 16
	crashOverheadBytes   = 3
)

// Suspects returns all entries, ordered by fingerprint.
func (t *Table) Suspects(now time.Time) []Suspect {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeExpired(now)
	list := make([]Suspect, 0, len(t.entries))
	for _, e := range t.entries {
		list = append(list, e.toSuspect(now))
	}
	slices.SortFunc(list, func(a, b Suspect) int { return strings.Compare(a.Fingerprint, b.Fingerprint) })
	return list
}

// Urgent returns the suspects to send to other processes first: the given number of them, the highest by compare first, and
// then those that changed recently, up to maxRecent and maxRecentBytes. Among equal ones it draws anew in each call, so that
// several exchanges carry all of them.
func (t *Table) Urgent(now time.Time, most int) []Suspect {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeExpired(now)
	ordered := slices.Collect(maps.Values(t.entries))
	rand.Shuffle(len(ordered), func(i, j int) { ordered[i], ordered[j] = ordered[j], ordered[i] })
	slices.SortStableFunc(ordered, func(a, b *entry) int { return b.compare(a) })
	var list []Suspect
	recentBytes := 0
	for n, e := range ordered {
		if n < most {
			list = append(list, e.toSuspect(now))
			continue
		}
		if now.Sub(e.changed) >= recentFor {
			continue
		}
		recentBytes += e.exchangedBytes()
		if len(list) >= maxRecent || recentBytes > maxRecentBytes {
			break
		}
		list = append(list, e.toSuspect(now))
	}
	return list
}

// Shared returns the suspects to send to other processes: those of Urgent, and parts that upstreams have answered, which have
// no crashes, at least minSharedCommon and up to the given number with the suspects. A process that has served few requests, as
// after its start, learns from them which parts are common, and does not take those for the cause of crashes.
func (t *Table) Shared(now time.Time, most int) []Suspect {
	list := t.Urgent(now, max(0, most-minSharedCommon))
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, name := range t.common.first(max(minSharedCommon, most-len(list))) {
		list = append(list, Suspect{Fingerprint: name, Part: true, Answered: true, Remaining: t.term})
	}
	return list
}

// Merge adds the crashes that another table holds. A crash counts unless one of the tables has cleared it.
// Merge reports whether any content gained weight.
func (t *Table) Merge(suspects []Suspect, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeExpired(now)
	defer t.evict()
	anyNew := false
	for _, s := range suspects {
		if s.Remaining <= 0 {
			continue
		}
		if s.Part && s.Answered {
			t.answeredParts.add(s.Fingerprint)
			if t.common.addMissing(s.Fingerprint); len(s.Crashes)+len(s.Cleared) == 0 && t.entries[s.Fingerprint] == nil {
				continue
			}
		}
		if e := t.entry(s.Fingerprint, now); t.merge(e, s, now) {
			anyNew = true
		}
	}
	return anyNew
}

// merge adds the crashes of a suspect to its entry, and reports whether the entry gained weight.
func (t *Table) merge(e *entry, s Suspect, now time.Time) bool {
	weightBefore, changed := e.weight, false
	if s.Part {
		changed = t.markPart(e, s.Answered, now)
	}
	for reported, names := range map[crashState][]string{unproven: s.Unproven, proven: s.Crashes, cleared: s.Cleared} {
		for _, name := range names {
			crash := parseCrash(name)
			crash.state, crash.begun, crash.recordedAt = reported, slices.Contains(s.Begun, name), now
			changed = e.setCrash(crash) || changed
		}
	}
	if changed {
		e.changed, t.attributed = now, false
	}
	t.extend(e, s, now)
	return e.weight > weightBefore
}

// extend keeps an entry as long as another table does. A process that does not know that a part was answered keeps it for
// too long.
func (t *Table) extend(e *entry, s Suspect, now time.Time) {
	remaining := s.Remaining
	if e.answered && !s.Answered {
		if !e.expires.IsZero() {
			return
		}
		remaining = min(remaining, e.term(t.term))
	}
	if expires := now.Add(remaining); expires.Sub(e.expires) > mergeTolerance {
		e.expires = expires
	}
}

// markPart marks an entry as that of a part. answered is whether another table knows a complete answer to a request with it.
// markPart reports whether such an answer was not known here.
func (t *Table) markPart(e *entry, answered bool, now time.Time) bool {
	e.part = true
	if e.answered || !answered && !t.answeredParts.has(e.fingerprint) {
		return false
	}
	e.markAnswered()
	if expires := now.Add(e.term(t.term)); expires.Before(e.expires) {
		e.expires = expires
	}
	return true
}
