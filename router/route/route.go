// Package route decides which entry keeps a request and which upstreams serve it, from
// the configuration in force, the VM list and dated load hints.
package route

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"gooseberrypin.example/router/configuration"
	"gooseberrypin.example/router/decode"
	"gooseberrypin.example/router/generation"
	"gooseberrypin.example/router/port"
	"gooseberrypin.example/router/prefill"
	"gooseberrypin.example/router/refusal"
	"gooseberrypin.example/router/request"
	"gooseberrypin.example/router/subset"
	"gooseberrypin.example/router/vm"
)

const (
	defaultCoolDown    = time.Second
	defaultPieceTokens = 4096
	noUpstreamRetry    = 500 * time.Millisecond
	overloadedRetry    = 200 * time.Millisecond
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
		self    Self
		store   *configuration.Store
		vms     *vm.Table
		prefill *prefill.Chooser
		decode  *decode.Chooser

		mu      sync.Mutex
		random  *rand.Rand
		view    view
		subsets map[string][]string
		down    map[string]time.Time
		loads   map[string]port.Load
		// observed is when each load was true.
		observed map[string]time.Time
	}

	// view is what the cached subsets were computed from.
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
		prefill:  prefill.NewChooser(rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))),
		decode:   decode.NewChooser(rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))),
		random:   rand.New(rand.NewPCG(random.Uint64(), random.Uint64())),
		subsets:  make(map[string][]string),
		down:     make(map[string]time.Time),
		loads:    make(map[string]port.Load),
		observed: make(map[string]time.Time),
	}
}

// Prefill implements generation.Route.
func (r *Router) Prefill(g *request.Generation, prompt string, avoid []string, now time.Time) (generation.Target, *refusal.Refusal) {
	index, rule, why := r.rule(g.Model)
	if why != nil {
		return generation.Target{}, why
	}
	candidates := r.candidates(index, rule.PrefillPool, avoid, now)
	if len(candidates) == 0 {
		return generation.Target{}, NoUpstream(rule.PrefillPool)
	}
	r.revive(candidates, now)
	choice, found := r.prefill.Choose(prefill.NewPrompt(prompt), candidates, now)
	if !found {
		return generation.Target{}, overloaded(rule.PrefillPool)
	}
	return target(index, choice.Upstream), nil
}

// Decode implements generation.Route. Suspect work goes where the fewest streams run.
func (r *Router) Decode(g *request.Generation, promptTokens int, suspect bool, avoid []string, now time.Time) (generation.Target, *refusal.Refusal) {
	index, rule, why := r.rule(g.Model)
	if why != nil {
		return generation.Target{}, why
	}
	candidates := r.candidates(index, rule.DecodePool, avoid, now)
	if len(candidates) == 0 {
		return generation.Target{}, NoUpstream(rule.DecodePool)
	}
	r.revive(candidates, now)
	if suspect {
		candidates = []string{r.quietest(candidates)}
	}
	name, found := r.decode.Choose(pieces(index, promptTokens), candidates, nil, now)
	if !found {
		return generation.Target{}, overloaded(rule.DecodePool)
	}
	return target(index, name), nil
}

// Observe takes the load of an upstream that rode on an answer.
func (r *Router) Observe(l port.Load, now time.Time) {
	at := now.Add(-l.Age)
	r.prefill.Observe(prefill.Hint{Upstream: l.Upstream, QueueDelay: l.QueueDelay, Accepting: l.Accepting, At: at})
	r.decode.Observe(decode.Hint{
		Upstream:   l.Upstream,
		FreePieces: l.FreePieces,
		Running:    l.Running,
		Limit:      l.RunningLimit,
		Accepting:  l.Accepting,
		At:         at,
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loads[l.Upstream] = l
	r.observed[l.Upstream] = at
}

// Down keeps work from an upstream that can't be reached, for a short time.
func (r *Router) Down(upstream string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down[upstream] = now.Add(defaultCoolDown)
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

// Spread returns up to n usable upstreams of a pool in random order.
func (r *Router) Spread(pool string, n int, now time.Time) []*configuration.Upstream {
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

// candidates returns the members of the process's subset that may get work.
func (r *Router) candidates(index *configuration.Index, pool string, avoid []string, now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var usable []string
	for _, name := range r.subset(index, pool) {
		if !slices.Contains(avoid, name) && !now.Before(r.down[name]) {
			usable = append(usable, name)
		}
	}
	return usable
}

// subset is computed once for each configuration and VM list.
func (r *Router) subset(index *configuration.Index, pool string) []string {
	current := view{revision: index.Configuration().Revision, vms: r.vms.Current().Version}
	if current != r.view {
		r.view = current
		r.subsets = make(map[string][]string)
	}
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
	selected = subset.Select(r.self.Name, r.self.DataCentre, members, subset.DefaultSize)
	r.subsets[pool] = selected
	return selected
}

func (r *Router) leaving(u *configuration.Upstream) bool {
	v, listed := r.vms.Find(u.VM)
	return u.Leaving || (listed && v.State == vm.Leaving)
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

func pieces(index *configuration.Index, tokens int) int {
	size := int(index.Configuration().Limits.PieceTokens)
	if size <= 0 {
		size = defaultPieceTokens
	}
	return (tokens + size - 1) / size
}

// NoConfiguration refuses work before the first configuration is known.
func NoConfiguration() *refusal.Refusal {
	return refusal.New(refusal.RanNo, refusal.NoConfiguration, noUpstreamRetry, "no configuration is in force yet")
}

// NoUpstream refuses work for a pool without a usable member.
func NoUpstream(pool string) *refusal.Refusal {
	return refusal.New(refusal.RanNo, refusal.NoUpstream, noUpstreamRetry, "pool %q has no usable upstream", pool)
}

func overloaded(pool string) *refusal.Refusal {
	return refusal.New(refusal.RanNo, refusal.Overloaded, overloadedRetry, "pool %q has no room", pool)
}
