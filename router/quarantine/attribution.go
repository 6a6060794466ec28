package quarantine

import (
	"slices"
	"strings"
)

type (
	// crashEvidence is what is known of one crash from all contents that ran at the upstream.
	crashEvidence struct {
		// silent is whether a request that ran there had no answer yet.
		silent bool
		// weight is the largest weight among the contents without a complete answer, and answeredWeight that among
		// the answered parts.
		weight, answeredWeight int
	}
)

// attribute decides which contents are quarantined. A crash counts only against the contents that explain it best: those
// of requests without an answer before those whose answers had begun, and among them those with the most crashes. So a
// content that ran beside the crashing one at several upstreams is not quarantined with it.
//
// The caller holds the lock.
func (t *Table) attribute() {
	if t.attributed {
		return
	}
	t.attributed = true
	var crashes map[string]crashEvidence
	for _, e := range t.entries {
		if e.reachesWeight() {
			crashes = t.collectEvidence()
			break
		}
	}
	evidence := make(map[string][]string)
	for _, e := range t.entries {
		was := e.quarantined
		e.quarantined, e.companions = false, nil
		if !e.reachesWeight() {
			continue
		}
		attributed, weight := e.attributedCrashes(crashes)
		e.quarantined = weight >= e.requiredWeight()
		if e.quarantined && e.part {
			key := strings.Join(attributed, " ")
			evidence[key] = append(evidence[key], e.fingerprint)
		}
		if e.quarantined && !was && len(t.newlyQuarantined) < t.capacity {
			t.newlyQuarantined = append(t.newlyQuarantined, e.fingerprint)
		}
	}
	for _, parts := range evidence {
		for _, part := range parts {
			t.entries[part].companions = slices.DeleteFunc(slices.Clone(parts), func(other string) bool { return other == part })
		}
	}
}

// collectEvidence returns what is known of each crash that is not cleared.
func (t *Table) collectEvidence() map[string]crashEvidence {
	crashes := make(map[string]crashEvidence)
	for _, e := range t.entries {
		for name, crash := range e.crashes {
			if crash.state != cleared && !crash.begun {
				crashes[name] = crashEvidence{silent: true}
			}
		}
	}
	for _, e := range t.entries {
		weight := e.suspectedWeight(crashes)
		for name := range e.crashes {
			if !e.suspectedOf(name, crashes) {
				continue
			}
			c := crashes[name]
			if e.answered {
				c.answeredWeight = max(c.answeredWeight, weight)
			} else {
				c.weight = max(c.weight, weight)
			}
			crashes[name] = c
		}
	}
	return crashes
}

// suspectedOf reports whether the content may have caused a crash. A content whose answers had begun is not suspected if
// a request at the upstream had no answer yet.
func (e *entry) suspectedOf(name string, crashes map[string]crashEvidence) bool {
	crash := e.crashes[name]
	return crash.state != cleared && (!crash.begun || !crashes[name].silent)
}

// suspectedWeight returns the sum of the weights of the crashes that the content may have caused.
func (e *entry) suspectedWeight(crashes map[string]crashEvidence) int {
	weight := 0
	for name, crash := range e.crashes {
		if e.suspectedOf(name, crashes) {
			weight += crash.state.weight()
		}
	}
	return weight
}

// attributedCrashes returns the names of the crashes that the content may have caused and that no other content explains
// better, in order, and the sum of their weights.
func (e *entry) attributedCrashes(crashes map[string]crashEvidence) ([]string, int) {
	suspectedWeight, attributedWeight := e.suspectedWeight(crashes), 0
	var names []string
	for name, crash := range e.crashes {
		if e.suspectedOf(name, crashes) && !e.isExplained(crashes[name], suspectedWeight) {
			names = append(names, name)
			attributedWeight += crash.state.weight()
		}
	}
	slices.Sort(names)
	return names, attributedWeight
}

// isExplained reports whether another content explains a crash better than this one, which has the given weight. Answered
// parts explain no crash better than contents without a complete answer.
func (e *entry) isExplained(c crashEvidence, weight int) bool {
	if e.answered {
		return c.weight >= quarantineWeight || c.answeredWeight > weight
	}
	return c.weight > weight
}
