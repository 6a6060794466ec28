package quota

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"gooseberrypin.example/router/event"
)

const (
	// retention is how long a limit is kept after its last statement. An upstream without requests makes no
	// statements.
	retention = 10 * time.Minute
	// endedSharing is how long the end of a limit is shared with other entries. Entries that send requests to the
	// upstream observe the end themselves.
	endedSharing = 10 * time.Second
	// maxLimits bounds the limits that are kept.
	maxLimits = 4096
	// maxShared bounds the limits in one gossip message.
	maxShared = 32
	// sweepInterval is how often expired limits are removed.
	sweepInterval = time.Second
)

type (
	// Table holds the latest limit of each upstream that stated one. It is safe for concurrent use.
	Table struct {
		log event.Log

		mu        sync.RWMutex
		limits    map[string]Limit
		lastSweep time.Time
	}
)

// NewTable returns an empty table. It logs when a limit begins, changes or ends.
func NewTable(log event.Log) *Table {
	return &Table{log: log, limits: make(map[string]Limit)}
}

// Observe records a statement of an upstream. It reports whether a limit began.
func (t *Table) Observe(upstream string, s Statement, now time.Time) bool {
	next := Limit{Upstream: upstream, Since: now, Observed: now}
	switch s := s.(type) {
	case Unstated:
		return false
	case Unlimited:
		if _, found := t.Limit(upstream); !found {
			return false
		}
	case Limited:
		next.Stated, next.PerSecond = true, s.PerSecond
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.put(next, "", now)
}

// Merge records the limits that another entry knows. It reports whether a limit began.
func (t *Table) Merge(limits []Limit, from string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	began := false
	for _, l := range limits {
		began = t.put(l, from, now) || began
	}
	return began
}

// put records a limit unless a later statement is known. from is the address of the entry that reported it; it is
// empty for this entry. It reports whether a limit began. The caller holds the lock.
func (t *Table) put(next Limit, from string, now time.Time) bool {
	t.sweep(now)
	old, found := t.limits[next.Upstream]
	if now.Sub(next.Observed) > retention || found && !next.Observed.After(old.Observed) || !found && len(t.limits) >= maxLimits {
		return false
	}
	if old.Stated && next.Stated && old.Since.Before(next.Since) {
		next.Since = old.Since
	}
	t.limits[next.Upstream] = next
	if next.Stated != old.Stated || next.PerSecond != old.PerSecond {
		t.log.Info(event.UpstreamLimitChanged, "upstream", next.Upstream, "stated", next.Stated, "per_second", next.PerSecond,
			"previous_per_second", old.PerSecond, "age_ms", now.Sub(next.Observed).Milliseconds(), "from", from)
	}
	return next.Stated && !old.Stated
}

// Limit returns the latest limit of an upstream, or false if none is known.
func (t *Table) Limit(upstream string) (Limit, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	l, found := t.limits[upstream]
	return l, found
}

// End ends the limit of an incarnation that has terminated.
func (t *Table) End(upstream string, now time.Time) {
	t.Observe(upstream, Unlimited{}, now)
}

// Limits returns all limits that are in force, the most recently observed first.
func (t *Table) Limits() []Limit {
	return t.list(func(l Limit) bool { return l.Stated })
}

// Shared returns the limits to send to other entries, the most recently observed first, and at most maxShared. It
// includes those that ended recently.
func (t *Table) Shared(now time.Time) []Limit {
	list := t.list(func(l Limit) bool { return l.Stated || now.Sub(l.Observed) < endedSharing })
	return list[:min(len(list), maxShared)]
}

func (t *Table) list(include func(Limit) bool) []Limit {
	t.mu.RLock()
	defer t.mu.RUnlock()
	list := make([]Limit, 0, len(t.limits))
	for _, l := range t.limits {
		if include(l) {
			list = append(list, l)
		}
	}
	slices.SortFunc(list, func(a, b Limit) int {
		return cmp.Or(b.Observed.Compare(a.Observed), cmp.Compare(a.Upstream, b.Upstream))
	})
	return list
}

// sweep removes the limits without a statement for retention. The caller holds the lock.
func (t *Table) sweep(now time.Time) {
	if now.Sub(t.lastSweep) < sweepInterval {
		return
	}
	t.lastSweep = now
	for name, l := range t.limits {
		if now.Sub(l.Observed) > retention {
			delete(t.limits, name)
		}
	}
}
