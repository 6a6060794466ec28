// Package lease tracks work that one process does for another. The work is kept only while
// the process that requested it, the holder, renews its leases by heartbeats.
package lease

import (
	"sync"
	"time"
)

type (
	// Table records leased items by holder. One heartbeat renews all items of a holder.
	Table struct {
		mu       sync.Mutex
		duration time.Duration
		holders  map[string]*holder
	}

	holder struct {
		expires time.Time
		// items maps each leased item to the time when it was added.
		items map[string]time.Time
	}
)

// NewTable returns a table whose leases expire when no heartbeat is received for duration.
func NewTable(duration time.Duration) *Table {
	return &Table{duration: duration, holders: make(map[string]*holder)}
}

// Add leases an item to a holder and renews the holder's other leases like a heartbeat.
func (t *Table) Add(name, item string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h, found := t.holders[name]
	if !found {
		h = &holder{items: make(map[string]time.Time)}
		t.holders[name] = h
	}
	h.items[item] = now
	h.expires = now.Add(t.duration)
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

// Renew renews the leases of a holder on the wanted items. It returns the items that were
// dropped because the holder no longer wants them, and the wanted items that have no lease.
// An unwanted item that was added within the grace period is kept, because the heartbeat may
// have been sent before the item was added. If the holder's leases have expired, Renew drops
// all of them.
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
	h.expires = now.Add(t.duration)
	isWanted := make(map[string]bool, len(wanted))
	for _, item := range wanted {
		isWanted[item] = true
		if _, held := h.items[item]; !held {
			unknown = append(unknown, item)
		}
	}
	for item, added := range h.items {
		if !isWanted[item] && now.Sub(added) > grace {
			delete(h.items, item)
			dropped = append(dropped, item)
		}
	}
	return dropped, unknown
}

// Expire removes the holders whose leases have expired and returns their items.
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

// ItemCounts returns the number of leased items by holder, for the state dump.
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
