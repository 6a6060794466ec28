// Package quarantine keeps content that crashes upstreams away from them.
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
	// mergeTolerance keeps two tables from prolonging each other's entries.
	mergeTolerance = time.Second
	// freshFor is how long a suspect is told beside the urgent ones after a change: other processes
	// meet some times meanwhile.
	freshFor = 3 * time.Second
	// maxFresh bounds those: the contents of two busy upstreams that end together.
	maxFresh = 512
)

type (
	// Verdict is Free, Suspected or Quarantined.
	//
	//sumtype:decl
	Verdict interface{ verdict() }

	// Free content may run anywhere.
	Free struct{}

	// Suspected content may run once more, beside no other suspect.
	Suspected struct{}

	// Quarantined content is refused for the remaining time.
	Quarantined struct{ Remaining time.Duration }

	// Crash is the end of an upstream under a content.
	Crash struct {
		// Upstream names the incarnation that ended.
		Upstream string
		// SentAt is when the content was sent there. A try that began after the upstream's end was
		// known speaks of another end.
		SentAt time.Time
		// Proven tells that the upstream ended; otherwise only its answer broke off.
		Proven bool
	}

	// Suspect is an entry of a table, as processes tell it to each other. Crashes are
	// named, so that two tables which know the same crash count it once.
	Suspect struct {
		Fingerprint string   `json:"fingerprint"`
		Crashes     []string `json:"crashes"`
		// Unproven are upstreams whose answers broke off, and that may live on.
		Unproven []string `json:"unproven,omitempty"`
		// Cleared are crashes that a whole answer has excused.
		Cleared []string `json:"cleared,omitempty"`
		// Remaining is the time until the entry is forgotten.
		Remaining time.Duration `json:"remaining_ns"`
	}

	// Table holds the suspects that a process knows, in bounded number.
	Table struct {
		mu       sync.Mutex
		term     time.Duration
		capacity int
		pardon   bool
		entries  map[string]*entry
		// crossed are the contents that became quarantined since they were asked for.
		crossed []string
	}

	// Option changes a table's bounds.
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

// WithCapacity bounds the number of suspects.
func WithCapacity(entries int) Option {
	return func(t *Table) { t.capacity = entries }
}

// WithTerm sets how long an entry lasts.
func WithTerm(term time.Duration) Option {
	return func(t *Table) { t.term = term }
}

// WithClearQuarantined lets a whole answer free quarantined content too: content that callers share may run
// elsewhere while two of its upstreams end for another reason.
func WithClearQuarantined() Option {
	return func(t *Table) { t.pardon = true }
}

func (Free) verdict()        {}
func (Suspected) verdict()   {}
func (Quarantined) verdict() {}

// SetTerm changes how long later entries last. Zero takes the default.
func (t *Table) SetTerm(term time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.term = term
	if term <= 0 {
		t.term = defaultTerm
	}
}

// Report takes the fingerprints that ran when an upstream crashed. When suspects ran
// among them, they explain the crash and the others stay free.
func (t *Table) Report(running []string, crash string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forget(now)
	blamed := slices.DeleteFunc(slices.Clone(running), func(f string) bool { return t.entries[f] == nil || t.entries[f].weight == 0 })
	if len(blamed) == 0 {
		blamed = running
	}
	for _, fingerprint := range blamed {
		if fingerprint == "" {
			continue
		}
		t.blame(fingerprint, Crash{Upstream: crash, Proven: true}, now)
	}
}

// Blame adds the end of an upstream to the case against content, and reports whether it was new.
func (t *Table) Blame(fingerprint string, c Crash, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.blame(fingerprint, c, now)
}

// BlameInTurn is Blame for content that many callers may send: it counts only what was sent after the
// last crash of the content was known, as upstreams that end together say nothing of it.
func (t *Table) BlameInTurn(fingerprint string, c Crash, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, known := range t.entry(fingerprint, now).crashes {
		if known.state != cleared && name != c.Upstream && !known.learned.Before(c.SentAt) {
			return false
		}
	}
	return t.blame(fingerprint, c, now)
}

func (t *Table) blame(fingerprint string, c Crash, now time.Time) bool {
	e := t.entry(fingerprint, now)
	before := e.weight
	if !e.add(c, now) {
		return false
	}
	e.expires, e.changed = now.Add(e.term(t.term)), now
	t.cross(fingerprint, before)
	return true
}

// cross notes content that has become quarantined.
func (t *Table) cross(fingerprint string, before int) {
	if before < quarantineWeight && t.entries[fingerprint].quarantined() && len(t.crossed) < t.capacity {
		t.crossed = append(t.crossed, fingerprint)
	}
}

// TakeNewlyQuarantined returns the contents that became quarantined since the last call.
func (t *Table) TakeNewlyQuarantined() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	crossed := t.crossed
	t.crossed = nil
	return crossed
}

// Check tells whether content may run.
func (t *Table) Check(fingerprint string, now time.Time) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[fingerprint]
	switch {
	case e == nil || e.weight == 0 || now.After(e.expires):
		return Free{}
	case !e.quarantined():
		return Suspected{}
	}
	return Quarantined{Remaining: e.expires.Sub(now)}
}

// Clear frees suspected content after a whole answer. Quarantined content stays so, but with
// WithPardon.
func (t *Table) Clear(fingerprint string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[fingerprint]
	if e == nil || e.quarantined() && !t.pardon {
		return
	}
	e.clear()
}

// Suspects returns the entries in the order of their fingerprints.
func (t *Table) Suspects(now time.Time) []Suspect {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forget(now)
	list := make([]Suspect, 0, len(t.entries))
	for _, e := range t.entries {
		list = append(list, e.suspect(now))
	}
	slices.SortFunc(list, func(a, b Suspect) int { return strings.Compare(a.Fingerprint, b.Fingerprint) })
	return list
}

// Urgent returns the suspects that others must know first: a number of those that are quarantined, then
// of those that were reported last; and in bounded number all that have just changed.
func (t *Table) Urgent(now time.Time, most int) []Suspect {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forget(now)
	urgent := slices.SortedFunc(maps.Values(t.entries), func(a, b *entry) int { return b.compare(a) })
	var list []Suspect
	for n, e := range urgent {
		if n < most || now.Sub(e.changed) < freshFor && len(list) < maxFresh {
			list = append(list, e.suspect(now))
		}
	}
	return list
}

// Merge adds what another table knows: all crashes of both count, unless one has cleared them. It
// reports whether anything new speaks against a content.
func (t *Table) Merge(suspects []Suspect, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forget(now)
	anything := false
	for _, s := range suspects {
		if s.Remaining <= 0 {
			continue
		}
		e := t.entry(s.Fingerprint, now)
		before, news := e.weight, false
		for told, names := range map[state][]string{open: s.Unproven, proven: s.Crashes, cleared: s.Cleared} {
			for _, crash := range names {
				news = e.set(crash, told, now) || news
			}
		}
		t.cross(s.Fingerprint, before)
		if news {
			e.changed = now
			anything = anything || e.weight > before
		}
		if expires := now.Add(s.Remaining); expires.Sub(e.expires) > mergeTolerance {
			e.expires = expires
		}
	}
	return anything
}

// forget drops what is over.
func (t *Table) forget(now time.Time) {
	for fingerprint, e := range t.entries {
		if e.over(t.term, now) {
			delete(t.entries, fingerprint)
		}
	}
}

// entry returns the entry of a fingerprint. A new one replaces that which ends first when
// the table is full.
func (t *Table) entry(fingerprint string, now time.Time) *entry {
	if e, found := t.entries[fingerprint]; found && !e.over(t.term, now) {
		return e
	}
	delete(t.entries, fingerprint)
	if len(t.entries) >= t.capacity {
		first := ""
		for f, other := range t.entries {
			if first == "" || other.compare(t.entries[first]) < 0 {
				first = f
			}
		}
		delete(t.entries, first)
	}
	e := &entry{fingerprint: fingerprint, crashes: make(map[string]evidence)}
	t.entries[fingerprint] = e
	return e
}
