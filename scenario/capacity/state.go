package capacity

import (
	"fmt"
	"runtime"
	"time"

	"github.com/rotisserie/eris"

	"gooseberrypin.example/router/access"
	"gooseberrypin.example/router/claim"
	"gooseberrypin.example/router/configuration"
	"gooseberrypin.example/router/decode"
	"gooseberrypin.example/router/label"
	"gooseberrypin.example/router/lease"
	"gooseberrypin.example/router/request"
)

const (
	// Upstreams is the number of upstreams at the target size.
	Upstreams = 2100
	// Partners is the number of partners at the target size.
	Partners = 3300
	// Models is the number of models at the target size.
	Models = 13

	// pieceTokens is the capacity of one piece of decode memory.
	pieceTokens  = 4000
	promptTokens = 3000
	outputTokens = 400
)

// ConfigurationIndex measures one more upstream and one more partner in the index of a configuration. The
// processor time is that of building the configuration and its index.
func ConfigurationIndex() ([]ItemCost, error) {
	upstreams, err := indexItemCost("upstream in the index", Upstreams, func(n int) *configuration.Configuration {
		return newConfiguration(n, 1)
	})
	if err != nil {
		return nil, err
	}
	partners, err := indexItemCost("partner in the index", Partners, func(n int) *configuration.Configuration {
		return newConfiguration(1, n)
	})
	if err != nil {
		return nil, err
	}
	return []ItemCost{upstreams, partners}, nil
}

// Reservation measures one reservation of decode memory.
func (b *Bench) Reservation() ([]ItemCost, error) {
	now := time.Now()
	memory := decode.NewMemory(4*b.Items, pieceTokens)
	m := newMeter()
	for i := range b.Items {
		if r := memory.Reserve(itemKey(i), promptTokens, outputTokens, time.Second, now); r != nil {
			return nil, eris.New(r.String())
		}
	}
	cost := m.perItem("reservation at a decode sidecar", b.Items)
	runtime.KeepAlive(memory)
	return []ItemCost{cost}, nil
}

// ClaimRecord measures the idempotency record of one generation at its home.
func (b *Bench) ClaimRecord() ([]ItemCost, error) {
	now := time.Now()
	table := claim.NewTable(claim.WithCapacity(2 * b.Items))
	m := newMeter()
	for i := range b.Items {
		table.Claim(claim.Request{
			KeyDigest:     request.KeyDigest("partner", itemKey(i)),
			ContentDigest: request.KeyDigest("content", itemKey(i)),
			Keeper:        "entry-1",
			KeeperAddress: "10.0.0.1:7001",
		}, now)
	}
	cost := m.perItem("idempotency record of a generation", b.Items)
	runtime.KeepAlive(table)
	return []ItemCost{cost}, nil
}

// InFlightRequest measures the record of one in-flight request at its keeper, without its answer and its
// connections.
func (b *Bench) InFlightRequest() ([]ItemCost, error) {
	table := request.NewTable(request.WithMaxRecords(2 * b.Items))
	m := newMeter()
	for i := range b.Items {
		g := request.Generation{
			Partner:         fmt.Sprintf("partner-%d", i%Partners),
			Key:             itemKey(i),
			Model:           "model",
			Prompt:          "a prompt",
			MaxOutputTokens: outputTokens,
		}
		if _, _, refused := table.Open(g); refused != nil {
			return nil, eris.New(refused.String())
		}
	}
	cost := m.perItem("in-flight request at its keeper", b.Items)
	runtime.KeepAlive(table)
	return []ItemCost{cost}, nil
}

// Lease measures one leased attempt at a sidecar, and the renewal of its lease by a heartbeat.
func (b *Bench) Lease() ([]ItemCost, error) {
	now := time.Now()
	table := lease.NewTable(time.Minute)
	items := make([]string, b.Items)
	for i := range items {
		items[i] = itemKey(i)
	}
	m := newMeter()
	for _, item := range items {
		table.Add("entry-1", item, now)
	}
	held := m.perItem("leased attempt at a sidecar", b.Items)
	m = newMeter()
	table.Renew("entry-1", items, time.Second, now)
	renewed := m.perItem("renewal of a leased attempt", b.Items)
	renewed.MemoryBytes = 0
	runtime.KeepAlive(items)
	return []ItemCost{held, renewed}, nil
}

// indexItemCost returns the cost of one item in an index. It is the difference between an index of n items and
// one of n/2 items, divided by the number of added items, so that fixed costs cancel out.
func indexItemCost(name string, n int, build func(int) *configuration.Configuration) (ItemCost, error) {
	half, err := indexBuildCost(build, n/2)
	if err != nil {
		return ItemCost{}, err
	}
	full, err := indexBuildCost(build, n)
	if err != nil {
		return ItemCost{}, err
	}
	added := float64(n - n/2)
	return ItemCost{
		Name:           name,
		Items:          n,
		MemoryBytes:    (full.MemoryBytes - half.MemoryBytes) / added,
		CPUNanoseconds: (full.CPUNanoseconds - half.CPUNanoseconds) / added,
	}, nil
}

// indexBuildCost returns the cost of one configuration of n items with its index.
func indexBuildCost(build func(int) *configuration.Configuration, n int) (ItemCost, error) {
	const rounds = 20
	m := newMeter()
	indexes := make([]*configuration.Index, rounds)
	for i := range indexes {
		index, err := configuration.NewIndex(build(n))
		if err != nil {
			return ItemCost{}, err
		}
		indexes[i] = index
	}
	cost := m.perItem("", rounds)
	runtime.KeepAlive(indexes)
	return cost, nil
}

// newConfiguration returns a configuration with Models models and the given numbers of upstreams and partners.
func newConfiguration(upstreams, partners int) *configuration.Configuration {
	c := &configuration.Configuration{Revision: 1}
	for i := range Models {
		model := fmt.Sprintf("model-%d", i)
		for _, role := range []configuration.Role{configuration.RolePrefill, configuration.RoleDecode} {
			c.Pools = append(c.Pools, configuration.Pool{
				Name:     model + "-" + string(role),
				Role:     role,
				Selector: fmt.Sprintf("model=%s,role=%s,tier!=spare", model, role),
			})
		}
		c.Rules = append(c.Rules, configuration.Rule{
			Name: model, Model: model, PrefillPool: model + "-prefill", DecodePool: model + "-decode",
		})
	}
	for i := range upstreams {
		c.Upstreams = append(c.Upstreams, newUpstream(i))
	}
	for i := range partners {
		name := fmt.Sprintf("partner-%d", i)
		c.Partners = append(c.Partners, configuration.Partner{
			Name:             name,
			CredentialSHA256: []string{access.NewDigest(name).String()},
			Weight:           1,
		})
	}
	return c
}

func newUpstream(i int) configuration.Upstream {
	role := []string{"prefill", "decode"}[i/Models%2]
	return configuration.Upstream{
		Name:           fmt.Sprintf("upstream-%d", i),
		Kind:           configuration.KindEngine,
		VM:             fmt.Sprintf("vm-%d", i),
		Region:         fmt.Sprintf("region-%d", i%8),
		DataCentre:     fmt.Sprintf("data-centre-%d", i%19),
		Address:        fmt.Sprintf("10.%d.%d.%d:8000", i%8, i/250, i%250),
		SidecarAddress: fmt.Sprintf("10.%d.%d.%d:7001", i%8, i/250, i%250),
		Labels:         label.Labels{"model": fmt.Sprintf("model-%d", i%Models), "role": role, "tier": "steady"},
	}
}

// itemKey returns the idempotency key or attempt ID of item i, in the form of a UUIDv7.
func itemKey(i int) string {
	return fmt.Sprintf("0197a1b2-0000-7000-8000-%012d", i)
}
