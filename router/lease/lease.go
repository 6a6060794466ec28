// Package lease keeps work only while the process that wants it renews it.
package lease

import (
	"sync"
	"time"
)

type (
	// Table holds leased items by holder. One heartbeat renews all items of a holder.
	Table struct {
		mu      sync.Mutex
		length  time.Duration
		holders map[string]*holder
	}

	holder struct {
		expires time.Time
		items   map[string]time.Time
	}
)

// NewTable returns a table whose leases last for length after each heartbeat.
func NewTable(length time.Duration) *Table {
	return &Table{length: length, holders: make(map[string]*holder)}
}

// Add leases an item to a holder. The item itself is as good as a heartbeat.
func (t *Table) Add(name, item string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h, found := t.holders[name]
	if !found {
		h = &holder{items: make(map[string]time.Time)}
		t.holders[name] = h
	}
	h.items[item] = now
	h.expires = now.Add(t.length)
}

// Remove ends the lease of an item.
func (t *Table) Remove(name, item string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h, found := t.holders[name]
	if !found {
		return
	}
	delete(h.items, item)
	if len(h.items) == 0 {
		delete(t.holders, name)
	}
}

// Renew takes a heartbeat of a holder that still wants the given items. It returns
// the items that the holder no longer wants, and those that it wants but that are not
// leased here. An item younger than grace is kept, as the heartbeat may have crossed it.
func (t *Table) Renew(name string, wanted []string, grace time.Duration, now time.Time) (dropped, unknown []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h, found := t.holders[name]
	if !found {
		return nil, wanted
	}
	if now.After(h.expires) {
		delete(t.holders, name)
		return keys(h.items), wanted
	}
	h.expires = now.Add(t.length)
	set := make(map[string]bool, len(wanted))
	for _, item := range wanted {
		set[item] = true
		if _, held := h.items[item]; !held {
			unknown = append(unknown, item)
		}
	}
	for item, added := range h.items {
		if !set[item] && now.Sub(added) > grace {
			delete(h.items, item)
			dropped = append(dropped, item)
		}
	}
	return dropped, unknown
}

// Expire returns and forgets the items of all holders that are overdue.
func (t *Table) Expire(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var expired []string
	for name, h := range t.holders {
		if now.After(h.expires) {
			expired = append(expired, keys(h.items)...)
			delete(t.holders, name)
		}
	}
	return expired
}

// ItemCounts returns the number of items by holder, for the state dump.
func (t *Table) ItemCounts() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := make(map[string]int, len(t.holders))
	for name, h := range t.holders {
		counts[name] = len(h.items)
	}
	return counts
}

func keys(items map[string]time.Time) []string {
	list := make([]string, 0, len(items))
	for item := range items {
		list = append(list, item)
	}
	return list
}
