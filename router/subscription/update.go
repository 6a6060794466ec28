package subscription

import (
	"context"
	"encoding/json"

	"gooseberrypin.example/router/event"
	"gooseberrypin.example/router/port"
	"gooseberrypin.example/router/vm"
)

// apply installs the VM list and evaluates the manifest of a peer's update. It returns false if the manifest has to be
// tried again.
func (r *Reader) apply(ctx context.Context, u port.Update, from string) bool {
	if len(u.VMs) > 0 {
		r.installVMs(u.VMs)
	}
	if len(u.Manifest) == 0 {
		return true
	}
	return r.evaluate(ctx, newCandidate(u.Manifest, from))
}

// installVMs installs a VM list if its version is higher than the current one. It returns false if the list is invalid.
func (r *Reader) installVMs(content []byte) bool {
	list := &vm.List{}
	if err := json.Unmarshal(content, list); err != nil {
		r.log.Error(err, event.VMListInvalid, "bytes", len(content))
		return false
	}
	if !r.table.Put(list) {
		return true
	}
	r.mu.Lock()
	if r.vmsVersion < list.Version {
		r.vms, r.vmsVersion = content, list.Version
	}
	r.mu.Unlock()
	r.resize()
	r.notify()
	r.log.Info(event.VMListUpdated, "version", list.Version, "vms", len(list.VMs))
	return true
}

// resize adjusts the read budget to the VM list and the limits in force.
func (r *Reader) resize() {
	t := r.topology()
	limit := int64(0)
	if s := r.store.Current(); s != nil {
		limit = s.Index.Configuration().Limits.PlatformReadsPerS
	}
	processes := len(t.list.VMs)
	if processes == 0 {
		processes = assumedProcesses
	}
	r.budget.resize(limit, processes, t.countHolders(), t.isHolder)
}

// awaitReadBudget blocks until the budget allows a read of the platform. It returns an error if the context ends first.
func (r *Reader) awaitReadBudget(ctx context.Context) error {
	return r.budget.wait(ctx, r.randomDuration)
}

// observePlatform records the result of a read of the platform. It logs when reads start to fail and when they succeed
// again.
func (r *Reader) observePlatform(err error) {
	r.mu.Lock()
	wasDown := r.platformDown
	r.platformDown = err != nil
	r.mu.Unlock()
	switch {
	case err != nil && !wasDown:
		r.log.Error(err, event.PlatformUnreachable)
	case err == nil && wasDown:
		r.log.Info(event.PlatformReachable)
	}
}

// notify wakes the watches of peers after a newer configuration or VM list was installed.
func (r *Reader) notify() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.changed)
	r.changed = make(chan struct{})
}
