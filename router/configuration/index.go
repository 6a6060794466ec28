package configuration

import (
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"gooseberrypin.example/router/label"
)

type (
	// Index finds the items of one configuration by name, model, service or credential. It is immutable.
	Index struct {
		configuration *Configuration
		upstreams     map[string]*Upstream
		pools         map[string]*Pool
		// members maps pool names to the upstreams of the pool, sorted by name.
		members map[string][]*Upstream
		// poolsOf maps upstream names to the pools that contain the upstream.
		poolsOf   map[string][]*Pool
		byModel   map[string]*Rule
		byService map[string]*Rule
		// byCredential maps the SHA-256 of credentials, in hexadecimal, to the partner.
		byCredential map[string]*Partner
		partners     map[string]*Partner
		// rulesOf maps pool names to the rules that use the pool.
		rulesOf map[string][]*Rule
	}
)

// NewIndex returns an index of a configuration. It returns an error if the selector of a pool is invalid.
func NewIndex(c *Configuration) (*Index, error) {
	i := &Index{
		configuration: c,
		upstreams:     make(map[string]*Upstream, len(c.Upstreams)),
		pools:         make(map[string]*Pool, len(c.Pools)),
		members:       make(map[string][]*Upstream, len(c.Pools)),
		poolsOf:       make(map[string][]*Pool),
		byModel:       make(map[string]*Rule, len(c.Rules)),
		byService:     make(map[string]*Rule, len(c.Rules)),
		byCredential:  make(map[string]*Partner, len(c.Partners)),
		partners:      make(map[string]*Partner, len(c.Partners)),
		rulesOf:       make(map[string][]*Rule, len(c.Pools)),
	}
	for n := range c.Upstreams {
		i.upstreams[c.Upstreams[n].Name] = &c.Upstreams[n]
	}
	for n := range c.Pools {
		if err := i.addPool(&c.Pools[n]); err != nil {
			return nil, err
		}
	}
	i.addRules()
	i.addPartners()
	return i, nil
}

// Configuration returns the indexed configuration.
func (i *Index) Configuration() *Configuration {
	return i.configuration
}

// Upstream returns the upstream with the given name, or nil.
func (i *Index) Upstream(name string) *Upstream {
	return i.upstreams[name]
}

// Pool returns the pool with the given name, or nil.
func (i *Index) Pool(name string) *Pool {
	return i.pools[name]
}

// Members returns the upstreams of a pool, leaving ones included, sorted by name.
func (i *Index) Members(pool string) []*Upstream {
	return i.members[pool]
}

// PoolsOf returns the pools that contain an upstream.
func (i *Index) PoolsOf(upstream string) []*Pool {
	return i.poolsOf[upstream]
}

// RoleOf returns the role that all pools of an upstream have, or "" if no pool contains it.
func (i *Index) RoleOf(upstream string) Role {
	if pools := i.poolsOf[upstream]; len(pools) > 0 {
		return pools[0].Role
	}
	return ""
}

// RuleForModel returns the rule for a model, or nil.
func (i *Index) RuleForModel(model string) *Rule {
	return i.byModel[model]
}

// RuleForService returns the rule for a plain service, or nil.
func (i *Index) RuleForService(service string) *Rule {
	return i.byService[service]
}

// PartnerByCredential returns the partner with the credential that has the given SHA-256, in lower-case
// hexadecimal, or nil.
func (i *Index) PartnerByCredential(digest string) *Partner {
	return i.byCredential[digest]
}

// Partner returns the partner with the given name, or nil.
func (i *Index) Partner(name string) *Partner {
	return i.partners[name]
}

// RulesOf returns the rules that use a pool.
func (i *Index) RulesOf(pool string) []*Rule {
	return i.rulesOf[pool]
}

// Allows reports whether the partner may use the rule with the given name.
func (p *Partner) Allows(rule string) bool {
	return len(p.Rules) == 0 || slices.Contains(p.Rules, rule)
}

func (i *Index) addPool(p *Pool) error {
	selector, err := label.Parse(p.Selector)
	if err != nil {
		return eris.Wrapf(err, "pool %s", p.Name)
	}
	i.pools[p.Name] = p
	for n := range i.configuration.Upstreams {
		u := &i.configuration.Upstreams[n]
		if selector.Matches(u.Labels) {
			i.members[p.Name] = append(i.members[p.Name], u)
			i.poolsOf[u.Name] = append(i.poolsOf[u.Name], p)
		}
	}
	slices.SortFunc(i.members[p.Name], func(a, b *Upstream) int {
		return strings.Compare(a.Name, b.Name)
	})
	return nil
}

func (i *Index) addRules() {
	for n := range i.configuration.Rules {
		r := &i.configuration.Rules[n]
		if r.Model != "" {
			i.byModel[r.Model] = r
			i.addPoolRule(r.PrefillPool, r)
			i.addPoolRule(r.DecodePool, r)
		}
		if r.Service != "" {
			i.byService[r.Service] = r
			i.addPoolRule(r.ServicePool, r)
		}
	}
}

func (i *Index) addPoolRule(pool string, r *Rule) {
	i.rulesOf[pool] = append(i.rulesOf[pool], r)
}

func (i *Index) addPartners() {
	for n := range i.configuration.Partners {
		p := &i.configuration.Partners[n]
		i.partners[p.Name] = p
		for _, digest := range p.CredentialSHA256 {
			i.byCredential[digest] = p
		}
	}
}
