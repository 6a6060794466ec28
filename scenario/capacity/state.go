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
	// Upstreams is the number of servers at the target size.
	Upstreams = 2100
	// Partners is the number of customers at the target size.
	Partners = 3300
	// Models is the number of models at the target size.
	Models = 13

	pieceTokens  = 4000
	promptTokens = 3000
	outputTokens = 400
)

// Index measures one upstream and one partner in the index of a configuration.
func Index() ([]Slope, error) {
	upstreams, err := indexSlope("upstream in the index", Upstreams, func(n int) *configuration.Configuration {
		return newConfiguration(n, 1)
	})
	if err != nil {
		return nil, err
	}
	partners, err := indexSlope("partner in the index", Partners, func(n int) *configuration.Configuration {
		return newConfiguration(1, n)
	})
	if err != nil {
		return nil, err
	}
	return []Slope{upstreams, partners}, nil
}

// Reservation measures one grant of decode memory.
func (b *Bench) Reservation() ([]Slope, error) {
	now := time.Now()
	memory := decode.NewMemory(4*b.Items, pieceTokens)
	m := newMeter()
	for i := range b.Items {
		if r := memory.Reserve(attempt(i), promptTokens, outputTokens, time.Second, now); r != nil {
			return nil, eris.New(r.String())
		}
	}
	s := m.slope("reservation at a decode sidecar", b.Items)
	runtime.KeepAlive(memory)
	return []Slope{s}, nil
}

// Claim measures one idempotency record of a generation at its home.
func (b *Bench) Claim() ([]Slope, error) {
	now := time.Now()
	table := claim.NewTable(claim.WithCapacity(2 * b.Items))
	m := newMeter()
	for i := range b.Items {
		table.Claim(claim.Request{
			KeyDigest:     request.KeyDigest("partner", attempt(i)),
			ContentDigest: request.KeyDigest("content", attempt(i)),
			Keeper:        "entry-1",
			KeeperAddress: "10.0.0.1:7001",
		}, now)
	}
	s := m.slope("idempotency record of a generation", b.Items)
	runtime.KeepAlive(table)
	return []Slope{s}, nil
}

// InFlight measures one request at its keeper, without its answer and connections.
func (b *Bench) InFlight() ([]Slope, error) {
	book := request.NewTable(request.WithMaxRecords(2 * b.Items))
	m := newMeter()
	for i := range b.Items {
		g := request.Generation{
			Partner:         fmt.Sprintf("partner-%d", i%Partners),
			Key:             attempt(i),
			Model:           "model",
			Prompt:          "a prompt",
			MaxOutputTokens: outputTokens,
		}
		if _, _, why := book.Open(g); why != nil {
			return nil, eris.New(why.String())
		}
	}
	s := m.slope("in-flight request at its keeper", b.Items)
	runtime.KeepAlive(book)
	return []Slope{s}, nil
}

// Lease measures one leased attempt, and its renewal by a heartbeat.
func (b *Bench) Lease() ([]Slope, error) {
	now := time.Now()
	table := lease.NewTable(time.Minute)
	items := make([]string, b.Items)
	for i := range items {
		items[i] = attempt(i)
	}
	m := newMeter()
	for _, item := range items {
		table.Add("entry-1", item, now)
	}
	held := m.slope("leased attempt at a sidecar", b.Items)
	m = newMeter()
	table.Renew("entry-1", items, time.Second, now)
	renewed := m.slope("renewal of a leased attempt", b.Items)
	renewed.MemoryBytes = 0
	runtime.KeepAlive(items)
	return []Slope{held, renewed}, nil
}

// indexSlope compares an index of n items with one of half as many.
func indexSlope(name string, n int, build func(int) *configuration.Configuration) (Slope, error) {
	half, err := indexCost(build, n/2)
	if err != nil {
		return Slope{}, err
	}
	whole, err := indexCost(build, n)
	if err != nil {
		return Slope{}, err
	}
	rest := float64(n - n/2)
	return Slope{
		Name:           name,
		Items:          n,
		MemoryBytes:    (whole.MemoryBytes - half.MemoryBytes) / rest,
		CPUNanoseconds: (whole.CPUNanoseconds - half.CPUNanoseconds) / rest,
	}, nil
}

func indexCost(build func(int) *configuration.Configuration, n int) (Slope, error) {
	const rounds = 20
	m := newMeter()
	kept := make([]*configuration.Index, rounds)
	for i := range kept {
		index, err := configuration.NewIndex(build(n))
		if err != nil {
			return Slope{}, err
		}
		kept[i] = index
	}
	s := m.slope("", rounds)
	runtime.KeepAlive(kept)
	return s, nil
}

// newConfiguration returns a configuration of the target's shape.
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
			CredentialSHA256: []string{access.Digest(name)},
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

func attempt(i int) string {
	return fmt.Sprintf("0197a1b2-0000-7000-8000-%012d", i)
}
