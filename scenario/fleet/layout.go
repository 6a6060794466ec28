package fleet

import (
	"fmt"

	"gooseberrypin.example/router/access"
	"gooseberrypin.example/router/configuration"
	"gooseberrypin.example/router/label"
	"gooseberrypin.example/router/vm"
)

const (
	// Model is the model that the fleet's rule serves.
	Model = "care-assistant"
	// BookingService is the service whose calls may run at most once.
	BookingService = "booking"
	// CatalogueService is the service whose calls may be repeated.
	CatalogueService = "catalogue"
	// Region is the region of all VMs.
	Region = "sul"

	// clockSkewMS is the allowed error of a partner's clock. A restarted home answers
	// "unknown" for keys younger than this, so a small value keeps scenarios short.
	clockSkewMS = 200

	labelRole = "role"
	labelTier = "tier"
)

type (
	// Layout is the number of entries, engines of each phase and services of a fleet.
	Layout struct {
		Entries  int
		Prefill  int
		Decode   int
		Services int
	}

	// node is one VM: an entry, or an upstream with its sidecar. An entry has no role. Its callerAddress is set, and
	// its upstreamAddress is not.
	node struct {
		name            string
		role            configuration.Role
		dataCentre      string
		upstreamAddress string
		fleetAddress    string
		operatorAddress string
		callerAddress   string
	}
)

// Credential returns the credential of a partner in the fleet's configuration.
func Credential(partner string) string {
	return partner + "-credential-for-tests"
}

// Prompt returns a prompt to which the stand-in engine generates the given number of tokens.
func Prompt(text string, tokens int32) string {
	return fmt.Sprintf("%s [[out=%d]]", text, tokens)
}

// SidecarName returns the name of the sidecar process of an upstream.
func SidecarName(upstream string) string {
	return upstream + "_sidecar"
}

// nodes returns the VMs of a layout, without addresses.
func (l Layout) nodes() []*node {
	var list []*node
	add := func(count int, role configuration.Role, prefix string) {
		for i := range count {
			list = append(list, &node{
				name:       fmt.Sprintf("%s%d", prefix, i+1),
				role:       role,
				dataCentre: fmt.Sprintf("%s-%c", Region, 'a'+i%3),
			})
		}
	}
	add(l.Entries, "", "entry")
	add(l.Prefill, configuration.RolePrefill, "prefill")
	add(l.Decode, configuration.RoleDecode, "decode")
	add(l.Services, configuration.RoleService, "service")
	return list
}

func (n *node) isEntry() bool {
	return n.role == ""
}

func (n *node) kind() configuration.Kind {
	if n.role == configuration.RoleService {
		return configuration.KindService
	}
	return configuration.KindEngine
}

// processName returns the name of the entry or the sidecar on the VM.
func (n *node) processName() string {
	if n.isEntry() {
		return n.name
	}
	return SidecarName(n.name)
}

func (n *node) upstream() configuration.Upstream {
	return configuration.Upstream{
		Name:           n.name,
		Kind:           n.kind(),
		VM:             n.name,
		Region:         Region,
		DataCentre:     n.dataCentre,
		Address:        n.upstreamAddress,
		SidecarAddress: n.fleetAddress,
		Labels:         label.Labels{labelRole: string(n.role), labelTier: "steady"},
		HeedsFencing:   n.kind() == configuration.KindEngine,
	}
}

func (n *node) vm() vm.VM {
	role := vm.RoleUpstream
	if n.isEntry() {
		role = vm.RoleEntry
	}
	return vm.VM{
		Name:         n.name,
		Role:         role,
		State:        vm.Live,
		Region:       Region,
		DataCentre:   n.dataCentre,
		FleetAddress: n.fleetAddress,
	}
}

// baseConfiguration returns revision 1 of the configuration, with all nodes.
func baseConfiguration(nodes []*node) *configuration.Configuration {
	c := &configuration.Configuration{
		Revision: 1,
		Pools: []configuration.Pool{
			{Name: "prefill", Role: configuration.RolePrefill, Selector: "role=prefill,tier!=spare"},
			{Name: "decode", Role: configuration.RoleDecode, Selector: "role=decode,tier!=spare"},
			{Name: "desk", Role: configuration.RoleService, Selector: "role=service,tier!=spare"},
		},
		Rules: []configuration.Rule{
			{Name: "assistant", Model: Model, PrefillPool: "prefill", DecodePool: "decode", MaxOutputTokens: 400},
			{Name: "booking", Service: BookingService, ServicePool: "desk"},
			{Name: "catalogue", Service: CatalogueService, ServicePool: "desk", Repeatable: true},
		},
		Limits: configuration.Limits{ClockSkewMS: clockSkewMS},
	}
	for _, partner := range []string{"varal", "kalamaki"} {
		c.Partners = append(c.Partners, configuration.Partner{
			Name:             partner,
			CredentialSHA256: []string{access.NewDigest(Credential(partner)).String()},
		})
	}
	for _, n := range nodes {
		if !n.isEntry() {
			c.Upstreams = append(c.Upstreams, n.upstream())
		}
	}
	return c
}

// baseVMs returns version 1 of the VM list, with all nodes.
func baseVMs(nodes []*node) *vm.List {
	l := &vm.List{Version: 1}
	for _, n := range nodes {
		l.VMs = append(l.VMs, n.vm())
	}
	return l
}
