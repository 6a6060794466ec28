package subscription

import (
	"slices"

	"gooseberrypin.example/router/rendezvous"
	"gooseberrypin.example/router/vm"
)

const (
	// holdersPerDataCentre is the number of processes of a data centre that watch the platform.
	holdersPerDataCentre = 2
	holderKeyPrefix      = "configuration/"
)

type (
	// topology tells who watches the platform under one VM list.
	topology struct {
		list *vm.List
		// holder tells whether this process watches the platform.
		holder bool
		// near are the addresses of the other holders of the own data centre.
		near []string
		// far are the addresses of the holders of other data centres.
		far []string
	}
)

// Holders returns the VMs of a data centre whose processes watch the platform.
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
		t.holder = true
	case v.DataCentre == dataCentre:
		t.near = append(t.near, v.FleetAddress)
	default:
		t.far = append(t.far, v.FleetAddress)
	}
}

// holders returns the number of holders in all data centres.
func (t *topology) holders() int {
	n := len(t.near) + len(t.far)
	if t.holder {
		n++
	}
	return n
}

// topology returns who watches the platform under the newest VM list.
func (r *Reader) topology() *topology {
	list := r.table.Current()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.current == nil || r.current.list != list {
		r.current = newTopology(list, r.vmName, r.dataCentre)
	}
	return r.current
}

// source returns the peer to watch next, or "". A follower takes the holders of its data
// centre in turn. A holder takes its counterpart and a random holder of another data
// centre in turn, so that news from any reachable replica of the platform spreads.
func (r *Reader) source() string {
	t := r.topology()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.polls++
	candidates := t.near
	if t.holder && len(t.far) > 0 && (r.polls%holdersPerDataCentre == 0 || len(t.near) == 0) {
		return t.far[r.random.IntN(len(t.far))]
	}
	if len(candidates) == 0 {
		return ""
	}
	return candidates[r.polls%len(candidates)]
}
