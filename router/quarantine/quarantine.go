// Package quarantine detects content that crashes upstreams and keeps it from running on further ones.
package quarantine

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	defaultTerm     = 10 * time.Minute
	defaultCapacity = 1024
	// evictionFactor is how many times its capacity a table may hold while it records a crash.
	evictionFactor = 2
)

type (
	// Verdict is Free, Suspected or Quarantined.
	//
	//sumtype:decl
	Verdict interface{ verdict() }

	// Free content may run without restriction.
	Free struct{}

	// Suspected content may run, but not beside other suspected content on the same upstream.
	Suspected struct{}

	// Quarantined content must not run for the remaining time.
	Quarantined struct{ Remaining time.Duration }

	// Crash is a crash of an upstream that ran a content.
	Crash struct {
		// Upstream is the name of the incarnation that crashed.
		Upstream string
		// SentAt is when the content was sent to the upstream. If the upstream's crash was recorded before,
		// the attempt shows another crash.
		SentAt time.Time
		// Proven is whether the upstream's termination was confirmed; otherwise only its connection closed.
		Proven bool
		// Begun is whether the answer had been under way for some time. Content that crashes upstreams mostly does so as
		// the answer begins, so a crash is attributed to requests whose answers began then, if there were any.
		Begun bool
	}

	// Suspect is an entry of a table, as processes exchange it. Crashes have names, so that a crash that both
	// of two tables hold counts once.
	Suspect struct {
		Fingerprint string `json:"fingerprint"`
		// Part is whether the content is a part that requests with different contents share.
		Part bool `json:"part,omitempty"`
		// Answered is whether an upstream has given a complete answer to a request with the part.
		Answered bool     `json:"answered,omitempty"`
		Crashes  []string `json:"crashes"`
		// Unproven are the upstreams whose connections closed and which may still run.
		Unproven []string `json:"unproven,omitempty"`
		// Cleared are the crashes that were cleared by a complete answer.
		Cleared []string `json:"cleared,omitempty"`
		// Begun are the crashes before which the answer to each request with the content had been under way.
		Begun []string `json:"begun,omitempty"`
		// Remaining is the time until the entry expires.
		Remaining time.Duration `json:"remaining_ns"`
	}

	// Table holds the suspects of a process, up to a capacity. It is safe for concurrent use.
	Table struct {
		mu                sync.Mutex
		term              time.Duration
		capacity          int
		clearsQuarantined bool
		entries           map[string]*entry
		// answeredParts are the parts of requests with complete answers, and common those of them that other processes are
		// told.
		answeredParts recentSet
		common        commonSet
		// attributed is whether the entries have not changed since the last call of attribute.
		attributed bool
		// newlyQuarantined are the labels of the contents that became quarantined since the last call of
		// TakeNewlyQuarantined.
		newlyQuarantined []string
	}

	// Option configures a table.
	Option func(*Table)
)

// NewTable returns an empty table.
func NewTable(options ...Option) *Table {
	t := &Table{term: defaultTerm, capacity: defaultCapacity, entries: make(map[string]*entry)}
	for _, o := range options {
		o(t)
	}
	return t
}

// WithCapacity sets the maximum number of suspects.
func WithCapacity(entries int) Option {
	return func(t *Table) { t.capacity = entries }
}

// WithTerm sets the base term: how long content stays suspected or quarantined after its last crash.
func WithTerm(term time.Duration) Option {
	return func(t *Table) { t.term = term }
}

// WithClearQuarantined lets a complete answer clear quarantined content as well. Content that several callers
// share may have run on two upstreams that terminated for another reason.
func WithClearQuarantined() Option {
	return func(t *Table) { t.clearsQuarantined = true }
}

func (Free) verdict()        {}
func (Suspected) verdict()   {}
func (Quarantined) verdict() {}

// SetTerm changes the base term of crashes recorded from now on. Zero sets the default.
func (t *Table) SetTerm(term time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.term = term
	if term <= 0 {
		t.term = defaultTerm
	}
}

// Report records a proven crash of an upstream that ran contents with these fingerprints. If some of them are
// suspects already, the crash is attributed to those alone.
func (t *Table) Report(running []string, crash string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeExpired(now)
	attributed := slices.DeleteFunc(slices.Clone(running), func(f string) bool { return t.entries[f] == nil || t.entries[f].weight == 0 })
	if len(attributed) == 0 {
		attributed = running
	}
	for _, fingerprint := range attributed {
		if fingerprint == "" {
			continue
		}
		t.recordCrash(t.entry(fingerprint, now), Crash{Upstream: crash, Proven: true}, now)
	}
	t.evict()
}

// RecordCrash records a crash of an upstream that ran a request with these contents, and reports whether it changed the
// table.
//
// For content that several requests may carry at once, it ignores a crash if the content was sent before its last crash
// at another upstream was recorded: upstreams that terminate together show no fault of the content. For a part, this applies
// only if the answer was under way or an upstream has answered the part before, as few other parts are at several upstreams
// that crash together for another reason. A part is not suspected by a crash that is unproven, as a lost link breaks off
// many answers.
func (t *Table) RecordCrash(contents []Content, c Crash, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.evict()
	return len(t.recordRun(contents, c, now)) > 0
}

// recordAttempts records a crash of an upstream that ran the attempts, and returns the names of the contents to which this
// adds a crash. No decision is taken between two of the attempts: the evidence against one part of a prompt alone would
// block another one that both have.
func (t *Table) recordAttempts(attempts []Attempt, proven bool, now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.evict()
	var changed []string
	for _, a := range attempts {
		changed = append(changed, t.recordRun(a.Contents, Crash{Upstream: a.Upstream, SentAt: a.SentAt, Proven: proven, Begun: a.Begun}, now)...)
		if len(t.entries) > evictionFactor*t.capacity {
			t.evict()
		}
	}
	return changed
}

// recordRun records a crash of an upstream that ran the contents, and returns the names of those to which this adds a
// crash. The caller holds the lock and calls evict.
func (t *Table) recordRun(contents []Content, c Crash, now time.Time) []string {
	var changed []string
	for _, content := range contents {
		if content.Part && !c.Proven {
			continue
		}
		e := t.entry(content.Name, now)
		if content.Part {
			t.markPart(e, false, now)
		}
		if !e.crashedTogether(content, c) && t.recordCrash(e, c, now) {
			changed = append(changed, content.Name)
		}
	}
	return changed
}

func (t *Table) recordCrash(e *entry, c Crash, now time.Time) bool {
	if !e.addCrash(c, now) {
		return false
	}
	e.expires, e.changed = now.Add(e.term(t.term)), now
	t.attributed = false
	return true
}

// TakeNewlyQuarantined returns the contents that became quarantined since the last call. Parts that can't be told apart are
// one content, with their names joined.
func (t *Table) TakeNewlyQuarantined() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.attribute()
	fingerprints := t.newlyQuarantined
	t.newlyQuarantined = nil
	return fingerprints
}

// Check returns whether content is free, suspected or quarantined.
func (t *Table) Check(fingerprint string, now time.Time) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.check(fingerprint, now)
}

// CheckRequest returns whether a request with these contents is free, suspected or quarantined, and the content that
// decides it.
func (t *Table) CheckRequest(contents []Content, now time.Time) (Verdict, Content) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var suspect Content
	var quarantined []Content
	for _, c := range contents {
		switch v := t.check(c.Name, now).(type) {
		case Quarantined:
			if t.entries[c.Name].group == nil {
				return v, c
			}
			suspect, quarantined = c, append(quarantined, c)
		case Suspected:
			suspect = c
		case Free:
		}
	}
	if c, found := t.findCarriedGroup(contents, quarantined); found {
		return t.check(c.Name, now), c
	}
	if suspect.Name != "" {
		return Suspected{}, suspect
	}
	return Free{}, Content{}
}

// findCarriedGroup returns the first of the quarantined parts of a request that carries all names of its group.
func (t *Table) findCarriedGroup(contents, quarantined []Content) (Content, bool) {
	if len(quarantined) == 0 {
		return Content{}, false
	}
	carried := make(map[string]struct{}, len(contents))
	for _, c := range contents {
		carried[c.Name] = struct{}{}
	}
	isMissing := func(name string) bool { _, found := carried[name]; return !found }
	seen := make(map[*group]struct{})
	for _, c := range quarantined {
		g := t.entries[c.Name].group
		if _, found := seen[g]; found {
			continue
		}
		seen[g] = struct{}{}
		if !slices.ContainsFunc(g.names, isMissing) {
			return c, true
		}
	}
	return Content{}, false
}

func (t *Table) check(fingerprint string, now time.Time) Verdict {
	t.attribute()
	e := t.entries[fingerprint]
	switch {
	case e == nil || e.weight == 0 || now.After(e.expires):
		return Free{}
	case !e.quarantined:
		return Suspected{}
	}
	return Quarantined{Remaining: e.expires.Sub(now)}
}

// Clear frees suspected contents after a complete answer to a request with them. Quarantined content stays quarantined
// unless WithClearQuarantined is set.
func (t *Table) Clear(contents []Content, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.attribute()
	if len(contents) > 0 {
		if drawn := contents[rand.IntN(len(contents))]; drawn.Part {
			t.common.add(drawn.Name)
		}
	}
	for _, content := range contents {
		if content.Part {
			t.answeredParts.add(content.Name)
		}
		e := t.entries[content.Name]
		if e == nil || e.quarantined && !t.clearsQuarantined {
			continue
		}
		if e.part {
			e.markAnswered()
		}
		if e.weight > 0 {
			e.clearCrashes()
			e.changed, t.attributed = now, false
		}
	}
}

// removeExpired removes the expired entries.
func (t *Table) removeExpired(now time.Time) {
	for fingerprint, e := range t.entries {
		if e.expired(t.term, now) {
			delete(t.entries, fingerprint)
			t.attributed = false
		}
	}
}

// entry returns the entry of a fingerprint, which it adds if there is none.
func (t *Table) entry(fingerprint string, now time.Time) *entry {
	if e, found := t.entries[fingerprint]; found && !e.expired(t.term, now) {
		return e
	}
	// The name may be a piece of a longer text, which the entry would keep in memory.
	e := &entry{fingerprint: strings.Clone(fingerprint)}
	delete(t.entries, fingerprint)
	t.entries[e.fingerprint] = e
	t.attributed = false
	return e
}

// evict removes the lowest entries by compare if the table holds more than its capacity.
func (t *Table) evict() {
	surplus := len(t.entries) - t.capacity
	if surplus <= 0 {
		return
	}
	t.attributed = false
	if surplus == 1 {
		var lowest *entry
		for _, e := range t.entries {
			if lowest == nil || e.compare(lowest) < 0 {
				lowest = e
			}
		}
		delete(t.entries, lowest.fingerprint)
		return
	}
	for _, e := range slices.SortedFunc(maps.Values(t.entries), (*entry).compare)[:surplus] {
		delete(t.entries, e.fingerprint)
	}
}
