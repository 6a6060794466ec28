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
	// BookingService names calls that may run at most once.
	BookingService = "booking"
	// CatalogueService names calls that may be repeated.
	CatalogueService = "catalogue"
	// Region is the region of all VMs.
	Region = "sul"

	// clockSkewMS is the allowed error of a partner's clock. A restarted home answers
	// "unknown" for keys younger than this, so a small one keeps scenarios short.
	clockSkewMS = 200

	labelRole = "role"
	labelTier = "tier"
)

type (
	// Layout tells how many of each a fleet has.
	Layout struct {
		Entries  int
		Prefill  int
		Decode   int
		Services int
	}

	// node is one VM: an entry, or an upstream with its sidecar.
	node struct {
		name       string
		role       configuration.Role
		dataCentre string
		address    string
		fleet      string
		operator   string
		caller     string
	}
)

// Credential returns the credential of a partner of the fleet.
func Credential(partner string) string {
	return partner + "-credential-for-tests"
}

// Prompt returns a prompt whose answer has the given number of tokens at the stand-in engine.
func Prompt(text string, tokens int32) string {
	return fmt.Sprintf("%s [[out=%d]]", text, tokens)
}

// SidecarName returns the name of the process beside an upstream.
func SidecarName(upstream string) string {
	return upstream + "_sidecar"
}

// nodes lists the VMs of a layout, without addresses.
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

// process returns the name of the system's own process on a VM.
func (n *node) process() string {
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
		Address:        n.address,
		SidecarAddress: n.fleet,
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
		FleetAddress: n.fleet,
	}
}

// baseConfiguration returns the first revision for the nodes.
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
			CredentialSHA256: []string{access.Digest(Credential(partner))},
		})
	}
	for _, n := range nodes {
		if !n.isEntry() {
			c.Upstreams = append(c.Upstreams, n.upstream())
		}
	}
	return c
}

// baseVMs returns the first VM list for the nodes.
func baseVMs(nodes []*node) *vm.List {
	l := &vm.List{Version: 1}
	for _, n := range nodes {
		l.VMs = append(l.VMs, n.vm())
	}
	return l
}
