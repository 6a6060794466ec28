// Package route decides which entry keeps a request and which upstreams serve it, from
// the configuration in force, the VM list and dated load hints.
package route

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"gooseberrypin.example/router/configuration"
	"gooseberrypin.example/router/dispatch"
	"gooseberrypin.example/router/generation"
	"gooseberrypin.example/router/port"
	"gooseberrypin.example/router/prefill"
	"gooseberrypin.example/router/refusal"
	"gooseberrypin.example/router/request"
	"gooseberrypin.example/router/subset"
	"gooseberrypin.example/router/vm"
)

const (
	coolDown = time.Second
	// lastCoolDown is the cool-down of the last upstreams of a pool.
	lastCoolDown    = 200 * time.Millisecond
	noUpstreamRetry = 500 * time.Millisecond
)

type (
	// Self is the process that routes.
	Self struct {
		Name       string
		VM         string
		Region     string
		DataCentre string
		Address    string
	}

	// Router answers where work goes. It implements generation.Route.
	Router struct {
		self  Self
		store *configuration.Store
		vms   *vm.Table

		mu      sync.Mutex
		random  *rand.Rand
		view    view
		subsets map[string][]string
		lines   map[string]*line
		// entries are the region's other entries in the VM list.
		entries []vm.VM
		// down is when upstreams were found unreachable.
		down  map[string]time.Time
		loads map[string]port.Load
		// observed is when each load was true.
		observed map[string]time.Time
	}

	// view is what the cached subsets and entries were computed from.
	view struct {
		revision int64
		vms      int64
	}
)

// NewRouter returns a router that draws from random.
func NewRouter(self Self, store *configuration.Store, vms *vm.Table, random *rand.Rand) *Router {
	return &Router{
		self:     self,
		store:    store,
		vms:      vms,
		random:   rand.New(rand.NewPCG(random.Uint64(), random.Uint64())),
		subsets:  make(map[string][]string),
		lines:    make(map[string]*line),
		down:     make(map[string]time.Time),
		loads:    make(map[string]port.Load),
		observed: make(map[string]time.Time),
	}
}

// Admit implements generation.Route.
func (r *Router) Admit(g *request.Generation, prompt string, avoid []string, now time.Time) (generation.Plan, *refusal.Refusal) {
	index, rule, why := r.rule(g.Model)
	if why != nil {
		return nil, why
	}
	pools := r.pools(index, rule, avoid, now)
	if len(pools.Prefills) == 0 {
		return nil, NoUpstream(rule.PrefillPool)
	}
	if len(pools.Decodes) == 0 {
		return nil, NoUpstream(rule.DecodePool)
	}
	l := r.line(index, g.Model)
	r.revive(l, pools, now)
	ticket, why := l.dispatcher.Admit(dispatch.Request{
		Key:       g.KeyDigest(),
		Partner:   g.Partner,
		Weight:    weight(index, g.Partner),
		Prompt:    prefill.NewPrompt(prompt),
		Continued: len(prompt) > len(g.Prompt),
	}, pools, now)
	if why != nil {
		return nil, why
	}
	return &plan{router: r, line: l, ticket: ticket, model: g.Model, target: target(index, ticket.Choice.Upstream)}, nil
}

// Observe takes the load of an upstream that rode on an answer.
func (r *Router) Observe(l port.Load, now time.Time) {
	at := now.Add(-l.Age)
	r.mu.Lock()
	r.loads[l.Upstream] = l
	r.observed[l.Upstream] = at
	r.mu.Unlock()
	s := r.store.Current()
	if s == nil {
		return
	}
	for _, p := range s.Index.PoolsOf(l.Upstream) {
		for _, rule := range s.Index.RulesOf(p.Name) {
			if rule.Model != "" {
				r.line(s.Index, rule.Model).observe(l, at, r.pools(s.Index, rule, nil, now))
			}
		}
	}
}

// MarkUnreachable keeps work from an upstream that can't be reached, for a short time.
func (r *Router) MarkUnreachable(upstream string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down[upstream] = now
}

// Loads returns the newest loads, for the state dump.
func (r *Router) Loads() map[string]port.Load {
	r.mu.Lock()
	defer r.mu.Unlock()
	loads := make(map[string]port.Load, len(r.loads))
	for name, l := range r.loads {
		loads[name] = l
	}
	return loads
}

// ShuffledUpstreams returns up to n usable upstreams of a pool in random order.
func (r *Router) ShuffledUpstreams(pool string, n int, now time.Time) []*configuration.Upstream {
	s := r.store.Current()
	if s == nil {
		return nil
	}
	names := r.candidates(s.Index, pool, nil, now)
	r.mu.Lock()
	r.random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	r.mu.Unlock()
	var members []*configuration.Upstream
	for _, name := range names[:min(n, len(names))] {
		members = append(members, s.Index.Upstream(name))
	}
	return members
}

func (r *Router) rule(model string) (*configuration.Index, *configuration.Rule, *refusal.Refusal) {
	s := r.store.Current()
	if s == nil {
		return nil, nil, NoConfiguration()
	}
	rule := s.Index.RuleForModel(model)
	if rule == nil {
		return nil, nil, refusal.New(refusal.RanNo, refusal.UnknownRule, 0, "no rule for model %q", model)
	}
	return s.Index, rule, nil
}

// candidates returns the members of the process's subset that may get work. When all of
// them were unreachable, they are tried again sooner.
func (r *Router) candidates(index *configuration.Index, pool string, avoid []string, now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	members := r.subset(index, pool)
	usable := r.cooled(members, avoid, now.Add(-coolDown))
	if len(usable) == 0 {
		return r.cooled(members, avoid, now.Add(-lastCoolDown))
	}
	return usable
}

// cooled returns the members that were last found unreachable before a time.
func (r *Router) cooled(members, avoid []string, before time.Time) []string {
	var usable []string
	for _, name := range members {
		if !slices.Contains(avoid, name) && !r.down[name].After(before) {
			usable = append(usable, name)
		}
	}
	return usable
}

// refresh drops what was computed from another configuration or VM list. The lock must
// be held.
func (r *Router) refresh(revision int64) {
	list := r.vms.Current()
	current := view{revision: revision, vms: list.Version}
	if current == r.view {
		return
	}
	r.view = current
	r.subsets = make(map[string][]string)
	r.entries = nil
	for _, v := range list.VMs {
		if v.Role == vm.RoleEntry && v.Region == r.self.Region && v.Name != r.self.VM {
			r.entries = append(r.entries, v)
		}
	}
}

// subset is computed once for each configuration and VM list.
func (r *Router) subset(index *configuration.Index, pool string) []string {
	r.refresh(index.Configuration().Revision)
	selected, found := r.subsets[pool]
	if found {
		return selected
	}
	var members []subset.Member
	for _, u := range index.Members(pool) {
		if !r.leaving(u) {
			members = append(members, subset.Member{Name: u.Name, DataCentre: u.DataCentre})
		}
	}
	selected = subset.Select(r.self.Name, r.self.DataCentre, members, subset.Size(len(index.Configuration().Pools)))
	r.subsets[pool] = selected
	return selected
}

func (r *Router) leaving(u *configuration.Upstream) bool {
	v, listed := r.vms.Find(u.VM)
	return u.Leaving || (listed && v.State == vm.Leaving)
}

// pools are the upstreams that a rule's requests may use now.
func (r *Router) pools(index *configuration.Index, rule *configuration.Rule, avoid []string, now time.Time) dispatch.Pools {
	decodes := r.candidates(index, rule.DecodePool, nil, now)
	entries := 1 + len(r.others())
	sharers := entries * len(decodes) / max(1, len(index.Members(rule.DecodePool)))
	return dispatch.Pools{
		Prefills:       r.candidates(index, rule.PrefillPool, avoid, now),
		Decodes:        decodes,
		SharingEntries: max(1, sharers),
	}
}

func (r *Router) quietest(candidates []string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.MinFunc(candidates, func(a, b string) int {
		return r.loads[a].Running - r.loads[b].Running
	})
}

func target(index *configuration.Index, name string) generation.Target {
	return generation.Target{Upstream: name, SidecarAddress: index.Upstream(name).SidecarAddress}
}

func weight(index *configuration.Index, partner string) float64 {
	p := index.Partner(partner)
	if p == nil || p.Weight <= 0 {
		return 1
	}
	return p.Weight
}

// NoConfiguration refuses work before the first configuration is known.
func NoConfiguration() *refusal.Refusal {
	return refusal.New(refusal.RanNo, refusal.NoConfiguration, noUpstreamRetry, "no configuration is in force yet")
}

// NoUpstream refuses work for a pool without a usable member.
func NoUpstream(pool string) *refusal.Refusal {
	return refusal.New(refusal.RanNo, refusal.NoUpstream, noUpstreamRetry, "pool %q has no usable upstream", pool)
}
