// Package quarantine keeps content that crashes upstreams away from them.
package quarantine

import (
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	defaultTerm     = 10 * time.Minute
	defaultCapacity = 1024
	// crashesToQuarantine is the number of upstreams that one fingerprint may crash.
	crashesToQuarantine = 2
	// mergeTolerance keeps two tables from prolonging each other's entries.
	mergeTolerance = time.Second
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

	// Suspect is an entry of a table, as processes tell it to each other.
	Suspect struct {
		Fingerprint string
		Crashes     int
		// Remaining is the time until the entry is forgotten.
		Remaining time.Duration
	}

	// Table holds the suspects that a process knows, in bounded number.
	Table struct {
		mu       sync.Mutex
		term     time.Duration
		capacity int
		entries  map[string]entry
	}

	// Option changes a table's bounds.
	Option func(*Table)

	entry struct {
		// crashes is zero for content that was cleared.
		crashes int
		expires time.Time
	}
)

// NewTable returns an empty table.
func NewTable(options ...Option) *Table {
	t := &Table{term: defaultTerm, capacity: defaultCapacity, entries: make(map[string]entry)}
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
func (t *Table) Report(running []string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forget(now)
	blamed := slices.DeleteFunc(slices.Clone(running), func(f string) bool { return t.entries[f].crashes == 0 })
	if len(blamed) == 0 {
		blamed = running
	}
	for _, fingerprint := range blamed {
		if fingerprint == "" {
			continue
		}
		t.put(fingerprint, entry{crashes: t.entries[fingerprint].crashes + 1, expires: now.Add(t.term)})
	}
}

// Check tells whether content may run.
func (t *Table) Check(fingerprint string, now time.Time) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, found := t.entries[fingerprint]
	if !found || e.crashes == 0 || now.After(e.expires) {
		return Free{}
	}
	if e.crashes < crashesToQuarantine {
		return Suspected{}
	}
	return Quarantined{Remaining: e.expires.Sub(now)}
}

// Clear frees suspected content after a whole answer. Quarantined content stays so.
func (t *Table) Clear(fingerprint string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, found := t.entries[fingerprint]
	if found && e.crashes < crashesToQuarantine {
		t.put(fingerprint, entry{expires: now.Add(t.term)})
	}
}

// Suspects returns the entries in the order of their fingerprints.
func (t *Table) Suspects(now time.Time) []Suspect {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forget(now)
	list := make([]Suspect, 0, len(t.entries))
	for fingerprint, e := range t.entries {
		list = append(list, Suspect{Fingerprint: fingerprint, Crashes: e.crashes, Remaining: e.expires.Sub(now)})
	}
	slices.SortFunc(list, func(a, b Suspect) int { return strings.Compare(a.Fingerprint, b.Fingerprint) })
	return list
}

// Merge takes the entries of another table.
func (t *Table) Merge(suspects []Suspect, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forget(now)
	for _, s := range suspects {
		expires := now.Add(s.Remaining)
		if s.Remaining <= 0 || !t.supersedes(s, expires) {
			continue
		}
		t.put(s.Fingerprint, entry{crashes: s.Crashes, expires: expires})
	}
}

// supersedes tells whether what another table knows replaces the own entry. A cleared
// entry replaces a suspected one, and only quarantine replaces a cleared one.
func (t *Table) supersedes(s Suspect, expires time.Time) bool {
	known, found := t.entries[s.Fingerprint]
	if !found {
		return true
	}
	switch {
	case s.Crashes == known.crashes:
		return expires.Sub(known.expires) > mergeTolerance
	case s.Crashes == 0:
		return known.crashes < crashesToQuarantine
	case known.crashes == 0:
		return s.Crashes >= crashesToQuarantine
	}
	return s.Crashes > known.crashes
}

func (t *Table) forget(now time.Time) {
	for fingerprint, e := range t.entries {
		if now.After(e.expires) {
			delete(t.entries, fingerprint)
		}
	}
}

// put replaces the entry that ends first when the table is full.
func (t *Table) put(fingerprint string, e entry) {
	if _, found := t.entries[fingerprint]; !found && len(t.entries) >= t.capacity {
		first := ""
		for f, other := range t.entries {
			if first == "" || other.expires.Before(t.entries[first].expires) {
				first = f
			}
		}
		delete(t.entries, first)
	}
	t.entries[fingerprint] = e
}
