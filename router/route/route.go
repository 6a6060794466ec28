// Package route decides which entry keeps a request and which upstreams serve it. It uses the
// configuration in force, the VM list and the load hints of the upstreams.
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
	// unreachableCoolDown is how long an upstream gets no work after it was found unreachable.
	unreachableCoolDown = time.Second
	// allUnreachableCoolDown replaces unreachableCoolDown while no upstream of a pool is usable.
	allUnreachableCoolDown = 200 * time.Millisecond
	noUpstreamRetryAfter   = 500 * time.Millisecond
)

type (
	// Self identifies the process that routes.
	Self struct {
		Name       string
		VM         string
		Region     string
		DataCentre string
		// Address is the process's fleet address.
		Address string
	}

	// Router chooses entries and upstreams for requests. It implements generation.Route and is safe
	// for concurrent use.
	Router struct {
		self  Self
		store *configuration.Store
		vms   *vm.Table

		mu           sync.Mutex
		random       *rand.Rand
		cacheVersion cacheVersion
		subsets      map[string][]string
		queues       map[string]*decodeQueue
		// entries are the region's other entries in the VM list, whatever their state.
		entries []vm.VM
		// unreachableAt is when each upstream was last found unreachable, by name.
		unreachableAt map[string]time.Time
		loads         map[string]port.Load
		// observedAt is when each load was measured, by upstream.
		observedAt map[string]time.Time
	}

	// cacheVersion identifies the configuration and the VM list that the cached subsets and entries
	// were computed from.
	cacheVersion struct {
		revision int64
		vms      int64
	}
)

// NewRouter returns a router that takes its random choices from a generator seeded by random.
func NewRouter(self Self, store *configuration.Store, vms *vm.Table, random *rand.Rand) *Router {
	return &Router{
		self:          self,
		store:         store,
		vms:           vms,
		random:        rand.New(rand.NewPCG(random.Uint64(), random.Uint64())),
		subsets:       make(map[string][]string),
		queues:        make(map[string]*decodeQueue),
		unreachableAt: make(map[string]time.Time),
		loads:         make(map[string]port.Load),
		observedAt:    make(map[string]time.Time),
	}
}

// Admit implements generation.Route.
func (r *Router) Admit(g *request.Generation, prompt string, avoid []string, now time.Time) (generation.Plan, *refusal.Refusal) {
	index, rule, refused := r.rule(g.Model)
	if refused != nil {
		return nil, refused
	}
	pools := r.pools(index, rule, avoid, now)
	if len(pools.Prefills) == 0 {
		return nil, NoUpstream(rule.PrefillPool)
	}
	if len(pools.Decodes) == 0 {
		return nil, NoUpstream(rule.DecodePool)
	}
	q := r.queue(index, g.Model)
	r.expireHints(q, pools, now)
	ticket, refused := q.dispatcher.Admit(dispatch.Request{
		Key:       g.KeyDigest(),
		Partner:   g.Partner,
		Weight:    weight(index, g.Partner),
		Prompt:    prefill.NewPrompt(prompt),
		Continued: len(prompt) > len(g.Prompt),
	}, pools, now)
	if refused != nil {
		return nil, refused
	}
	return &plan{router: r, queue: q, ticket: ticket, model: g.Model, target: target(index, ticket.Choice.Upstream)}, nil
}

// Observe records the load that an upstream reported in a response which arrived at now.
func (r *Router) Observe(l port.Load, now time.Time) {
	at := now.Add(-l.Age)
	r.mu.Lock()
	r.loads[l.Upstream] = l
	r.observedAt[l.Upstream] = at
	r.mu.Unlock()
	s := r.store.Current()
	if s == nil {
		return
	}
	for _, p := range s.Index.PoolsOf(l.Upstream) {
		for _, rule := range s.Index.RulesOf(p.Name) {
			if rule.Model != "" {
				r.queue(s.Index, rule.Model).observe(l, at, r.pools(s.Index, rule, nil, now))
			}
		}
	}
}

// MarkUnreachable implements generation.Route. It records that an upstream is unreachable, so that it gets no work
// until a short cool-down is over.
func (r *Router) MarkUnreachable(upstream string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unreachableAt[upstream] = now
}

// Loads returns the latest load of each upstream by name, for the state dump.
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

// rule returns the index of the configuration in force and its rule for a model.
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

// candidates returns the members of the process's subset of a pool that may get work, without those
// to avoid. When all others are cooling down, the shorter cool-down applies.
func (r *Router) candidates(index *configuration.Index, pool string, avoid []string, now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	members := r.subset(index, pool)
	usable := r.reachableSince(members, avoid, now.Add(-unreachableCoolDown))
	if len(usable) == 0 {
		return r.reachableSince(members, avoid, now.Add(-allUnreachableCoolDown))
	}
	return usable
}

// reachableSince returns the members, without those to avoid, that were not found unreachable after a
// time. The caller holds the lock.
func (r *Router) reachableSince(members, avoid []string, since time.Time) []string {
	var usable []string
	for _, name := range members {
		if !slices.Contains(avoid, name) && !r.unreachableAt[name].After(since) {
			usable = append(usable, name)
		}
	}
	return usable
}

// refresh updates the cached entries and clears the cached subsets when the configuration or the VM
// list has changed. The caller holds the lock.
func (r *Router) refresh(revision int64) {
	list := r.vms.Current()
	current := cacheVersion{revision: revision, vms: list.Version}
	if current == r.cacheVersion {
		return
	}
	r.cacheVersion = current
	r.subsets = make(map[string][]string)
	r.entries = nil
	for _, v := range list.VMs {
		if v.Role == vm.RoleEntry && v.Region == r.self.Region && v.Name != r.self.VM {
			r.entries = append(r.entries, v)
		}
	}
}

// subset returns the names of a pool's members that this process uses. It is computed once for each
// configuration and VM list. The caller holds the lock.
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

// leaving reports whether the configuration or the VM list marks an upstream as leaving.
func (r *Router) leaving(u *configuration.Upstream) bool {
	v, listed := r.vms.Find(u.VM)
	return u.Leaving || (listed && v.State == vm.Leaving)
}

// pools returns the upstreams that a rule's requests may use now. SharingEntries is an estimate: it assumes
// that the entries spread evenly over the decode pool.
func (r *Router) pools(index *configuration.Index, rule *configuration.Rule, avoid []string, now time.Time) dispatch.Pools {
	decodes := r.candidates(index, rule.DecodePool, nil, now)
	entries := 1 + len(r.otherEntries())
	sharers := entries * len(decodes) / max(1, len(index.Members(rule.DecodePool)))
	return dispatch.Pools{
		Prefills:       r.candidates(index, rule.PrefillPool, avoid, now),
		Decodes:        decodes,
		SharingEntries: max(1, sharers),
	}
}

// leastLoaded returns the candidate with the fewest running streams by the latest loads.
func (r *Router) leastLoaded(candidates []string) string {
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

// NoConfiguration returns the refusal of work before the first configuration has been received.
func NoConfiguration() *refusal.Refusal {
	return refusal.New(refusal.RanNo, refusal.NoConfiguration, noUpstreamRetryAfter, "no configuration is in force yet")
}

// NoUpstream returns the refusal of work for a pool without a usable member.
func NoUpstream(pool string) *refusal.Refusal {
	return refusal.New(refusal.RanNo, refusal.NoUpstream, noUpstreamRetryAfter, "pool %q has no usable upstream", pool)
}
