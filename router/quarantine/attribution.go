package quarantine

import (
	"slices"
	"strings"
)

const (
	// maxLabelNames bounds the names in the label of a group.
	maxLabelNames = 16
	// maxComparedGroups bounds the groups that are compared with each other.
	maxComparedGroups = 64
)

type (
	// crashEvidence is what is known of one crash from all contents that ran at the upstream.
	crashEvidence struct {
		// beginning is whether a request ran there whose answer had not begun or had just begun.
		beginning bool
		// explained is whether a content ran there that is quarantined and was never answered.
		explained bool
		// weight is the largest weight among the contents that are compared. totalWeight is the largest weight of all
		// crashes of a content that is no answered part.
		weight, totalWeight int
	}

	// evidence holds the crashes that are not cleared, by name.
	evidence map[string]*crashEvidence

	// attributed are the crashes that are attributed to a content, and their weight.
	attributed struct {
		entry   *entry
		crashes []string
		weight  int
	}

	// group are the parts of prompts to which the same crashes are attributed, so that the evidence can't tell them apart.
	group struct {
		attributed

		members []*entry
		// names are the members and the parts that may explain their crashes in their place. Only a request with all of
		// them is quarantined.
		names []string
	}

	// suspicion selects the crashes that a content may have caused.
	suspicion func(crash crashRecord, c *crashEvidence) bool
)

// attribute decides which contents are quarantined. A crash counts only against the contents that explain it best, which
// are those with the most crashes, so that a content that ran beside the crashing one at several upstreams is not
// quarantined with it. It looks for them in three steps, and leaves out the crashes at which an earlier one ran:
//
//   - requests whose answers began when the upstreams crashed;
//   - all requests, also those whose answers were under way, with one crash more;
//   - parts of prompts that were answered before, where nothing else has two crashes.
//
// The caller holds the lock.
func (t *Table) attribute() {
	if t.attributed {
		return
	}
	t.attributed = true
	var candidates, answeredParts []*entry
	suffices := false
	for _, e := range t.entries {
		e.quarantined, e.group = false, nil
		suffices = suffices || e.reachesWeight()
		switch {
		case e.weight < quarantineWeight:
			// A content with less evidence explains nothing better than one that may be quarantined.
		case e.answered:
			answeredParts = append(answeredParts, e)
		default:
			candidates = append(candidates, e)
		}
	}
	if !suffices {
		t.clearLabels()
		return
	}
	crashes := t.collectEvidence()
	for _, e := range candidates {
		for _, crash := range e.crashes {
			if c := crashes[crash.name]; crash.state != cleared {
				c.totalWeight = max(c.totalWeight, e.weight)
			}
		}
	}
	decided := crashes.decide(candidates, 0, isBeginning)
	decided = append(decided, crashes.decide(candidates, underWayWeight, isUnexplained)...)
	decided = append(decided, crashes.decide(answeredParts, 0, func(crash crashRecord, c *crashEvidence) bool {
		return isBeginning(crash, c) && !c.explained && c.totalWeight < quarantineWeight
	})...)
	t.reportNew(decided)
	t.clearLabels()
}

// isBeginning selects the crashes of requests whose answers began then, and all crashes without such a request.
func isBeginning(crash crashRecord, c *crashEvidence) bool {
	return !crash.begun || !c.beginning
}

// isUnexplained selects the crashes at which no content ran that is quarantined already.
func isUnexplained(_ crashRecord, c *crashEvidence) bool {
	return !c.explained
}

// collectEvidence returns the crashes that are not cleared.
func (t *Table) collectEvidence() evidence {
	crashes := make(evidence)
	for _, e := range t.entries {
		for _, crash := range e.crashes {
			if crash.state == cleared {
				continue
			}
			c, found := crashes[crash.name]
			if !found {
				c = &crashEvidence{}
				crashes[crash.name] = c
			}
			c.beginning = c.beginning || !crash.begun
		}
	}
	return crashes
}

// decide quarantines those of the entries to which enough of the selected crashes are attributed, and returns them. They
// need the given weight beyond the required one.
func (ev evidence) decide(entries []*entry, beyond int, suspects suspicion) []attributed {
	for _, c := range ev {
		c.weight = 0
	}
	weights := make([]int, len(entries))
	for i, e := range entries {
		if e.quarantined {
			continue
		}
		ev.each(e, suspects, func(crash crashRecord, _ *crashEvidence) { weights[i] += crash.state.weight() })
		ev.each(e, suspects, func(_ crashRecord, c *crashEvidence) { c.weight = max(c.weight, weights[i]) })
	}
	var decided []attributed
	for i, e := range entries {
		required := e.requiredWeight() + beyond
		if weights[i] < required {
			continue
		}
		a := attributed{entry: e}
		ev.each(e, suspects, func(crash crashRecord, c *crashEvidence) {
			if c.weight <= weights[i] {
				a.crashes, a.weight = append(a.crashes, crash.name), a.weight+crash.state.weight()
			}
		})
		slices.Sort(a.crashes)
		if a.weight >= required {
			decided = append(decided, a)
		}
	}
	for _, a := range decided {
		a.entry.quarantined = true
	}
	ev.formGroups(decided, entries, suspects)
	for _, a := range decided {
		for _, crash := range a.entry.crashes {
			if c := ev[crash.name]; c != nil && !a.entry.answered {
				c.explained = true
			}
		}
	}
	return decided
}

// each calls do with each selected crash of an entry that is not cleared.
func (ev evidence) each(e *entry, suspects suspicion, do func(crash crashRecord, c *crashEvidence)) {
	for _, crash := range e.crashes {
		if crash.state == cleared {
			continue
		}
		if c := ev[crash.name]; suspects(crash, c) {
			do(crash, c)
		}
	}
}

// formGroups sets the groups of the parts that were decided to be quarantined by the selected crashes. entries are all
// contents that were compared.
func (ev evidence) formGroups(decided []attributed, entries []*entry, suspects suspicion) {
	groups := make(map[string]*group)
	var list []*group
	for _, a := range decided {
		if !a.entry.part {
			continue
		}
		key := strings.Join(a.crashes, " ")
		g, found := groups[key]
		if !found {
			g = &group{attributed: a}
			groups[key], list = g, append(list, g)
		}
		g.members, a.entry.group = append(g.members, a.entry), g
	}
	compared := list[:min(len(list), maxComparedGroups)]
	for _, g := range list {
		g.names = namesOf(g.members)
		for _, other := range compared {
			if other != g && g.weight-g.sharedWeight(other.crashes) < g.entry.requiredWeight() {
				g.names = append(g.names, namesOf(other.members)...)
			}
		}
		for _, e := range entries {
			if e.part && !e.quarantined && ev.dependsOn(g, e, suspects) {
				g.names = append(g.names, e.fingerprint)
			}
		}
		slices.Sort(g.names)
	}
}

// dependsOn reports whether a part that is not quarantined ran at all crashes of the group but one, and the group has no
// crash more than it needs. Another process may not have reported yet that the part ran there as well.
func (ev evidence) dependsOn(g *group, e *entry, suspects suspicion) bool {
	if g.weight-provenWeight >= g.entry.requiredWeight() {
		return false
	}
	var crashes []string
	ev.each(e, suspects, func(crash crashRecord, _ *crashEvidence) { crashes = append(crashes, crash.name) })
	return g.sharedWeight(crashes) >= g.weight-provenWeight
}

// sharedWeight returns the weight of those of the group's crashes that are among the given ones.
func (g *group) sharedWeight(crashes []string) int {
	weight := 0
	for _, crash := range g.entry.crashes {
		if slices.Contains(g.crashes, crash.name) && slices.Contains(crashes, crash.name) {
			weight += crash.state.weight()
		}
	}
	return weight
}

// namesOf returns the names of parts.
func namesOf(parts []*entry) []string {
	var names []string
	for _, e := range parts {
		names = append(names, e.fingerprint)
	}
	return names
}

// reportNew adds the contents that are quarantined anew to newlyQuarantined, each group under one label.
func (t *Table) reportNew(decided []attributed) {
	for _, a := range decided {
		label := a.entry.fingerprint
		if a.entry.group != nil {
			label = a.entry.group.label()
		}
		isNew := a.entry.label != label
		a.entry.label = label
		if isNew && len(t.newlyQuarantined) < t.capacity && !slices.Contains(t.newlyQuarantined, label) {
			t.newlyQuarantined = append(t.newlyQuarantined, label)
		}
	}
}

// clearLabels clears the labels of the contents that are not quarantined.
func (t *Table) clearLabels() {
	for _, e := range t.entries {
		if !e.quarantined {
			e.label = ""
		}
	}
}

// label returns the names of the group, joined by plus signs, up to maxLabelNames of them.
func (g *group) label() string {
	return strings.Join(g.names[:min(len(g.names), maxLabelNames)], "+")
}
