// Package quarantine detects content that crashes upstreams and keeps it from running on further ones.
package quarantine

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	defaultTerm     = 10 * time.Minute
	defaultCapacity = 1024
	// mergeTolerance is the difference in expiry that Merge ignores, so that two tables do not extend each
	// other's entries with every exchange.
	mergeTolerance = time.Second
	// recentFor is how long after a change Urgent includes a suspect that is not among the most urgent.
	// Processes exchange updates several times meanwhile.
	recentFor = 3 * time.Second
	// maxRecent bounds the list to which Urgent adds such suspects. It holds the contents of two busy
	// upstreams that crash together.
	maxRecent = 512
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
		// Begun is whether the answer had begun. Content that crashes upstreams mostly does so before that, so a crash
		// is attributed to requests without an answer, if there were any.
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
		// Begun are the crashes before which the answer to each request with the content had begun.
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
		// answeredParts are the parts of requests with complete answers.
		answeredParts recentSet
		// attributed is whether the entries have not changed since the last call of attribute.
		attributed bool
		// newlyQuarantined are the contents that became quarantined since the last call of
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
		t.recordCrash(Content{Name: fingerprint}, Crash{Upstream: crash, Proven: true}, now)
	}
}

// RecordCrash records a crash of an upstream that ran the content, and reports whether it changed the table.
//
// For content that several requests may carry at once, it ignores a crash if the content was sent before its last crash
// at another upstream was recorded: upstreams that terminate together show no fault of the content. This does not apply
// to a part whose answer had not begun, as few requests are in that state when an upstream crashes for another reason.
// A part is not suspected by a crash that is unproven, as a lost link breaks off many answers.
func (t *Table) RecordCrash(content Content, c Crash, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if content.Part && !c.Proven {
		return false
	}
	if content.Shared || content.Part && c.Begun {
		for name, previous := range t.entry(content.Name, now).crashes {
			if previous.state != cleared && name != c.Upstream && !previous.recordedAt.Before(c.SentAt) {
				return false
			}
		}
	}
	return t.recordCrash(content, c, now)
}

func (t *Table) recordCrash(content Content, c Crash, now time.Time) bool {
	e := t.entry(content.Name, now)
	if content.Part {
		t.markPart(e, false)
	}
	if !e.addCrash(c, now) {
		return false
	}
	e.expires, e.changed = now.Add(e.term(t.term)), now
	t.attributed = false
	return true
}

// TakeNewlyQuarantined returns the contents that became quarantined since the last call.
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
	carries := func(fingerprint string) bool {
		return slices.ContainsFunc(contents, func(c Content) bool { return c.Name == fingerprint })
	}
	var suspect Content
	for _, c := range contents {
		switch v := t.check(c.Name, now).(type) {
		case Quarantined:
			if !slices.ContainsFunc(t.entries[c.Name].companions, func(f string) bool { return !carries(f) }) {
				return v, c
			}
			suspect = c
		case Suspected:
			suspect = c
		case Free:
		}
	}
	if suspect.Name != "" {
		return Suspected{}, suspect
	}
	return Free{}, Content{}
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

// Clear frees suspected content after a complete answer. Quarantined content stays quarantined unless
// WithClearQuarantined is set.
func (t *Table) Clear(content Content, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if content.Part {
		t.answeredParts.add(content.Name)
	}
	t.attribute()
	e := t.entries[content.Name]
	if e == nil || e.quarantined && !t.clearsQuarantined {
		return
	}
	e.answered = e.part
	if e.weight > 0 {
		e.clearCrashes()
		e.changed, t.attributed = now, false
	}
}

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

// Urgent returns the suspects to send to other processes first: the given number of them, quarantined content
// before suspected content and late expiry before early, and then those that changed recently, up to
// maxRecent.
func (t *Table) Urgent(now time.Time, most int) []Suspect {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeExpired(now)
	ordered := slices.SortedFunc(maps.Values(t.entries), func(a, b *entry) int { return b.compare(a) })
	var list []Suspect
	for n, e := range ordered {
		if n < most || now.Sub(e.changed) < recentFor && len(list) < maxRecent {
			list = append(list, e.toSuspect(now))
		}
	}
	return list
}

// Merge adds the crashes that another table holds. A crash counts unless one of the tables has cleared it.
// Merge reports whether any content gained weight.
func (t *Table) Merge(suspects []Suspect, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeExpired(now)
	anyNew := false
	for _, s := range suspects {
		if s.Remaining <= 0 {
			continue
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
		changed = t.markPart(e, s.Answered)
	}
	for reported, names := range map[crashState][]string{unproven: s.Unproven, proven: s.Crashes, cleared: s.Cleared} {
		for _, crash := range names {
			changed = e.setCrash(crash, reported, slices.Contains(s.Begun, crash), now) || changed
		}
	}
	if changed {
		e.changed, t.attributed = now, false
	}
	if expires := now.Add(s.Remaining); expires.Sub(e.expires) > mergeTolerance {
		e.expires = expires
	}
	return e.weight > weightBefore
}

// markPart marks an entry as that of a part. answered is whether another table knows a complete answer to a request with it.
// markPart reports whether such an answer was not known here.
func (t *Table) markPart(e *entry, answered bool) bool {
	answeredBefore := e.answered
	e.part, e.answered = true, answeredBefore || answered || t.answeredParts.has(e.fingerprint)
	return e.answered != answeredBefore
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

// entry returns the entry of a fingerprint. If there is none, it adds one, and evicts the lowest by compare
// when the table is full.
func (t *Table) entry(fingerprint string, now time.Time) *entry {
	if e, found := t.entries[fingerprint]; found && !e.expired(t.term, now) {
		return e
	}
	delete(t.entries, fingerprint)
	t.attributed = false
	if len(t.entries) >= t.capacity {
		evicted := ""
		for f, other := range t.entries {
			if evicted == "" || other.compare(t.entries[evicted]) < 0 {
				evicted = f
			}
		}
		delete(t.entries, evicted)
	}
	e := &entry{fingerprint: fingerprint, crashes: make(map[string]crashRecord)}
	t.entries[fingerprint] = e
	return e
}
