package subscription

import (
	"slices"

	"gooseberrypin.example/router/rendezvous"
	"gooseberrypin.example/router/vm"
)

const (
	// holdersPerDataCentre is the number of processes of each data centre that watch the platform.
	holdersPerDataCentre = 2
	// holderKeyPrefix precedes the data centre in the rendezvous hashing key that selects its holders.
	holderKeyPrefix = "configuration/"
)

type (
	// topology contains the holders under one VM list, as seen from one process.
	topology struct {
		list *vm.List
		// isHolder reports whether this process is a holder.
		isHolder bool
		// localHolders contains the fleet addresses of the other holders of the own data centre.
		localHolders []string
		// remoteHolders contains the fleet addresses of the holders of other data centres.
		remoteHolders []string
	}
)

// Holders returns the VMs of a data centre whose processes watch the platform. They are selected by rendezvous hashing
// among the live VMs with a fleet address.
func Holders(list *vm.List, dataCentre string) []vm.VM {
	byName := make(map[string]vm.VM)
	names := make([]string, 0)
	for _, v := range list.VMs {
		if v.DataCentre == dataCentre && v.State == vm.Live && v.FleetAddress != "" {
			byName[v.Name] = v
			names = append(names, v.Name)
		}
	}
	holders := make([]vm.VM, 0, holdersPerDataCentre)
	for _, name := range rendezvous.Rank(holderKeyPrefix+dataCentre, names, holdersPerDataCentre) {
		holders = append(holders, byName[name])
	}
	return holders
}

func newTopology(list *vm.List, vmName, dataCentre string) *topology {
	t := &topology{list: list}
	var dataCentres []string
	for _, v := range list.VMs {
		if !slices.Contains(dataCentres, v.DataCentre) {
			dataCentres = append(dataCentres, v.DataCentre)
		}
	}
	for _, d := range dataCentres {
		for _, v := range Holders(list, d) {
			t.add(v, vmName, dataCentre)
		}
	}
	return t
}

func (t *topology) add(v vm.VM, vmName, dataCentre string) {
	switch {
	case v.Name == vmName:
		t.isHolder = true
	case v.DataCentre == dataCentre:
		t.localHolders = append(t.localHolders, v.FleetAddress)
	default:
		t.remoteHolders = append(t.remoteHolders, v.FleetAddress)
	}
}

// countHolders returns the number of holders in all data centres.
func (t *topology) countHolders() int {
	n := len(t.localHolders) + len(t.remoteHolders)
	if t.isHolder {
		n++
	}
	return n
}

// topology returns the topology under the newest VM list.
func (r *Reader) topology() *topology {
	list := r.table.Current()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cachedTopology == nil || r.cachedTopology.list != list {
		r.cachedTopology = newTopology(list, r.vmName, r.dataCentre)
	}
	return r.cachedTopology
}

// nextPeer returns the fleet address of the peer to watch next, or "" if there is none. A follower alternates between
// the holders of its data centre. A holder alternates between the other holder of its data centre and a random holder
// of another one, so that an update spreads from any replica of the platform that is reachable.
func (r *Reader) nextPeer() string {
	t := r.topology()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peerWatches++
	candidates := t.localHolders
	if t.isHolder && len(t.remoteHolders) > 0 && (r.peerWatches%holdersPerDataCentre == 0 || len(t.localHolders) == 0) {
		return t.remoteHolders[r.random.IntN(len(t.remoteHolders))]
	}
	if len(candidates) == 0 {
		return ""
	}
	return candidates[r.peerWatches%len(candidates)]
}
