package route

import (
	"gooseberrypin.example/router/claim"
	"gooseberrypin.example/router/configuration"
	"gooseberrypin.example/router/rendezvous"
	"gooseberrypin.example/router/vm"
)

const (
	keeperChoices = 3
)

type (
	// Keeper is an entry that may keep a request.
	Keeper struct {
		VM      string
		Address string
	}
)

// Keepers ranks the live entries of the region for a key. This entry is always known.
func (r *Router) Keepers(keyDigest string) []Keeper {
	addresses := map[string]string{r.self.VM: r.self.Address}
	names := []string{r.self.VM}
	for _, v := range r.others() {
		if v.State == vm.Live {
			addresses[v.Name] = v.FleetAddress
			names = append(names, v.Name)
		}
	}
	var keepers []Keeper
	for _, name := range rendezvous.Rank(keyDigest, names, keeperChoices) {
		keepers = append(keepers, Keeper{VM: name, Address: addresses[name]})
	}
	return keepers
}

// OtherEntryAddresses returns the fleet addresses of the region's other entries.
func (r *Router) OtherEntryAddresses() []string {
	var addresses []string
	for _, v := range r.others() {
		addresses = append(addresses, v.FleetAddress)
	}
	return addresses
}

// others returns the region's other entries.
func (r *Router) others() []vm.VM {
	revision := int64(0)
	if s := r.store.Current(); s != nil {
		revision = s.Revision
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refresh(revision)
	return r.entries
}

// ClaimHomes returns the sidecars that may hold a key's claim, the home first. Homes
// follow from the configuration alone, so that all entries agree.
func (r *Router) ClaimHomes(model, keyDigest string) []*configuration.Upstream {
	index, rule, why := r.rule(model)
	if why != nil {
		return nil
	}
	var homes []*configuration.Upstream
	for _, name := range rendezvous.Rank(keyDigest, staying(index, rule.DecodePool), claim.HomeCount) {
		homes = append(homes, index.Upstream(name))
	}
	return homes
}

// BookingHome returns the one upstream of a pool that may run a key, or nil.
func (r *Router) BookingHome(pool, keyDigest string) *configuration.Upstream {
	s := r.store.Current()
	if s == nil {
		return nil
	}
	return s.Index.Upstream(rendezvous.Winner(keyDigest, staying(s.Index, pool)))
}

// staying returns the members of a pool that the configuration does not send away.
func staying(index *configuration.Index, pool string) []string {
	var names []string
	for _, u := range index.Members(pool) {
		if !u.Leaving {
			names = append(names, u.Name)
		}
	}
	return names
}
