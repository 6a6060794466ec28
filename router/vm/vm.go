// Package vm holds the platform's list of live and leaving VMs.
package vm

import (
	"sync"
)

const (
	// Live is the state of a VM that may receive work.
	Live State = "live"
	// Leaving is the state of a VM that finishes its work and receives no more.
	Leaving State = "leaving"

	// RoleEntry is the role of a VM that runs an entry.
	RoleEntry Role = "entry"
	// RoleUpstream is the role of a VM that runs an upstream and its sidecar.
	RoleUpstream Role = "upstream"
)

type (
	// State is the state of a VM: live or leaving.
	State string

	// Role is the kind of process that a VM runs.
	Role string

	// VM is a machine in the list.
	VM struct {
		Name       string `json:"name"`
		Role       Role   `json:"role"`
		State      State  `json:"state"`
		Region     string `json:"region"`
		DataCentre string `json:"data_centre"`
		// FleetAddress is the IP address and port at which the process on the VM serves other processes.
		FleetAddress string `json:"fleet_address"`
	}

	// List is a version of the platform's VM list. A higher version is newer.
	List struct {
		Version int64 `json:"version"`
		VMs     []VM  `json:"vms"`
	}

	// Table holds the newest VM list. It is safe for concurrent use.
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

// Current returns the newest list. The caller must not modify it.
func (t *Table) Current() *List {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.list
}

// Find returns the VM with a name, and reports whether the newest list contains it.
func (t *Table) Find(name string) (VM, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	v, found := t.byName[name]
	return v, found
}

// Changed returns a channel that is closed when the next newer list is put.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// Put replaces the current list if the version of next is higher, and reports whether it did.
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
