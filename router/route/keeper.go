package route

import (
	"gooseberrypin.example/router/claim"
	"gooseberrypin.example/router/configuration"
	"gooseberrypin.example/router/rendezvous"
	"gooseberrypin.example/router/vm"
)

const (
	maxKeepers = 3
)

type (
	// Keeper is an entry that may keep a request: run it and hold its record.
	Keeper struct {
		VM string
		// Address is the entry's fleet address.
		Address string
	}
)

// Keepers returns the region's live entries that may keep a key's request, ranked by rendezvous hashing. This
// entry takes part whether or not the VM list has it.
func (r *Router) Keepers(keyDigest string) []Keeper {
	addresses := map[string]string{r.self.VM: r.self.Address}
	names := []string{r.self.VM}
	for _, v := range r.otherEntries() {
		if v.State == vm.Live {
			addresses[v.Name] = v.FleetAddress
			names = append(names, v.Name)
		}
	}
	var keepers []Keeper
	for _, name := range rendezvous.Rank(keyDigest, names, maxKeepers) {
		keepers = append(keepers, Keeper{VM: name, Address: addresses[name]})
	}
	return keepers
}

// OtherEntryAddresses returns the fleet addresses of the region's other entries.
func (r *Router) OtherEntryAddresses() []string {
	var addresses []string
	for _, v := range r.otherEntries() {
		addresses = append(addresses, v.FleetAddress)
	}
	return addresses
}

// otherEntries returns the region's other entries, whatever their state.
func (r *Router) otherEntries() []vm.VM {
	revision := int64(0)
	if s := r.store.Current(); s != nil {
		revision = s.Revision
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refresh(revision)
	return r.entries
}

// ClaimHomes returns the upstreams whose sidecars may hold a key's claim, the home first, or none
// without a rule for the model. They depend on the configuration alone, so that all entries agree.
func (r *Router) ClaimHomes(model, keyDigest string) []*configuration.Upstream {
	index, rule, refused := r.rule(model)
	if refused != nil {
		return nil
	}
	var homes []*configuration.Upstream
	for _, name := range rendezvous.Rank(keyDigest, notLeaving(index, rule.DecodePool), claim.HomeCount) {
		homes = append(homes, index.Upstream(name))
	}
	return homes
}

// BookingHome returns the only upstream of a pool that may run a key, or nil without a configuration
// or a usable member.
func (r *Router) BookingHome(pool, keyDigest string) *configuration.Upstream {
	s := r.store.Current()
	if s == nil {
		return nil
	}
	return s.Index.Upstream(rendezvous.Winner(keyDigest, notLeaving(s.Index, pool)))
}

// notLeaving returns the names of a pool's members that the configuration does not mark as leaving.
func notLeaving(index *configuration.Index, pool string) []string {
	var names []string
	for _, u := range index.Members(pool) {
		if !u.Leaving {
			names = append(names, u.Name)
		}
	}
	return names
}
