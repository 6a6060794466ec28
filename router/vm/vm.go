// Package vm holds the platform's list of live and leaving VMs.
package vm

import (
	"sync"
)

const (
	// Live VMs may get work.
	Live State = "live"
	// Leaving VMs finish their work and get no more.
	Leaving State = "leaving"

	// RoleEntry VMs run an entry.
	RoleEntry Role = "entry"
	// RoleUpstream VMs run an upstream and its sidecar.
	RoleUpstream Role = "upstream"
)

type (
	// State tells whether a VM stays.
	State string

	// Role tells what runs on a VM.
	Role string

	// VM is one machine of the list.
	VM struct {
		Name       string `json:"name"`
		Role       Role   `json:"role"`
		State      State  `json:"state"`
		Region     string `json:"region"`
		DataCentre string `json:"data_centre"`
		// FleetAddress is the IP:port of the process that runs on it.
		FleetAddress string `json:"fleet_address"`
	}

	// List is the platform's list. A higher version is newer.
	List struct {
		Version int64 `json:"version"`
		VMs     []VM  `json:"vms"`
	}

	// Table holds the newest list.
	Table struct {
		mu      sync.Mutex
		list    *List
		byName  map[string]VM
		changed chan struct{}
	}
)

// NewTable returns a table with an empty list of version 0.
func NewTable() *Table {
	return &Table{list: &List{}, changed: make(chan struct{})}
}

// Current returns the newest list. It must not be changed.
func (t *Table) Current() *List {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.list
}

// Find returns a VM by name.
func (t *Table) Find(name string) (VM, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	v, found := t.byName[name]
	return v, found
}

// Changed returns a channel that is closed when a newer list is known.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// Put takes a list if its version is higher, and tells whether it did.
func (t *Table) Put(next *List) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if next.Version <= t.list.Version {
		return false
	}
	t.list = next
	t.byName = make(map[string]VM, len(next.VMs))
	for _, v := range next.VMs {
		t.byName[v.Name] = v
	}
	close(t.changed)
	t.changed = make(chan struct{})
	return true
}
