package subscription

import (
	"context"
	"encoding/json"

	"gooseberrypin.example/router/event"
	"gooseberrypin.example/router/port"
	"gooseberrypin.example/router/vm"
)

// apply takes what a peer sent. It tells whether nothing of it has to be tried again.
func (r *Reader) apply(ctx context.Context, u port.Update, from string) bool {
	if len(u.VMs) > 0 {
		r.takeVMs(u.VMs)
	}
	if len(u.Manifest) == 0 {
		return true
	}
	return r.consider(ctx, newCandidate(u.Manifest, from))
}

// takeVMs uses a VM list if its version is higher, and tells whether it can be read.
func (r *Reader) takeVMs(content []byte) bool {
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

// resize fits the read budget to the VM list and the limits in force.
func (r *Reader) resize() {
	t := r.topology()
	limit := int64(0)
	if s := r.store.Current(); s != nil {
		limit = s.Index.Configuration().Limits.PlatformReadsPerS
	}
	processes := len(t.list.VMs)
	if processes == 0 {
		processes = minFleet
	}
	r.budget.resize(limit, processes, t.holders(), t.holder)
}

// spend waits until a read of the platform is within the budget.
func (r *Reader) spend(ctx context.Context) error {
	return r.budget.wait(ctx, r.randomDuration)
}

// observePlatform logs when reads at the platform begin to fail or to succeed.
func (r *Reader) observePlatform(err error) {
	r.mu.Lock()
	was := r.down
	r.down = err != nil
	r.mu.Unlock()
	switch {
	case err != nil && !was:
		r.log.Error(err, event.PlatformUnreachable)
	case err == nil && was:
		r.log.Info(event.PlatformReachable)
	}
}

// notify wakes the watches of peers.
func (r *Reader) notify() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.changed)
	r.changed = make(chan struct{})
}
