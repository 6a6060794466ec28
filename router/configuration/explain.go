package configuration

import (
	"fmt"

	"gooseberrypin.example/router/label"
)

type (
	// RequestExplanation tells where a partner's request goes.
	RequestExplanation struct {
		Partner string `json:"partner"`
		// Problem tells why the request is refused. Empty: it isn't, for the configuration.
		Problem    string            `json:"problem,omitempty"`
		Rule       string            `json:"rule,omitempty"`
		Repeatable bool              `json:"repeatable"`
		Pools      []PoolExplanation `json:"pools"`
	}

	// PoolExplanation tells which upstreams a pool has.
	PoolExplanation struct {
		Pool      string   `json:"pool"`
		Role      Role     `json:"role"`
		Selector  string   `json:"selector"`
		Upstreams []string `json:"upstreams"`
		// Leaving are those of the upstreams that get no new work.
		Leaving []string `json:"leaving"`
	}

	// UpstreamExplanation tells which pools an upstream is in, and why.
	UpstreamExplanation struct {
		Upstream string            `json:"upstream"`
		Labels   label.Labels      `json:"labels"`
		Leaving  bool              `json:"leaving"`
		Pools    []PoolMatchResult `json:"pools"`
	}

	// PoolMatchResult tells whether a pool's selector matches an upstream.
	PoolMatchResult struct {
		Pool     string `json:"pool"`
		Role     Role   `json:"role"`
		Selector string `json:"selector"`
		Matches  bool   `json:"matches"`
		// Unmet are the requirements of the selector that don't hold.
		Unmet []string `json:"unmet"`
	}
)

// ExplainModel tells where a generation of a partner goes.
func (i *Index) ExplainModel(partner, model string) *RequestExplanation {
	return i.explain(partner, i.RuleForModel(model), fmt.Sprintf("no rule for the model %q", model))
}

// ExplainService tells where a call of a partner goes.
func (i *Index) ExplainService(partner, service string) *RequestExplanation {
	return i.explain(partner, i.RuleForService(service), fmt.Sprintf("no rule for the service %q", service))
}

func (i *Index) explain(partner string, rule *Rule, missing string) *RequestExplanation {
	e := &RequestExplanation{Partner: partner, Pools: []PoolExplanation{}}
	p := i.partner(partner)
	if rule == nil {
		e.Problem = missing
		return e
	}
	e.Rule = rule.Name
	e.Repeatable = rule.Model != "" || rule.Repeatable
	for _, pool := range []string{rule.PrefillPool, rule.DecodePool, rule.ServicePool} {
		if pool != "" {
			e.Pools = append(e.Pools, i.explainPool(i.Pool(pool)))
		}
	}
	switch {
	case p == nil:
		e.Problem = fmt.Sprintf("no partner %q", partner)
	case !p.Allows(rule.Name):
		e.Problem = fmt.Sprintf("partner %q may not use the rule %q", partner, rule.Name)
	default:
		e.Problem = e.withoutUpstream()
	}
	return e
}

// withoutUpstream names the first pool that has no upstream for new work, or returns "".
func (e *RequestExplanation) withoutUpstream() string {
	for _, p := range e.Pools {
		if len(p.Upstreams) == len(p.Leaving) {
			return fmt.Sprintf("pool %q has no upstream for new work", p.Pool)
		}
	}
	return ""
}

func (i *Index) explainPool(p *Pool) PoolExplanation {
	e := PoolExplanation{Pool: p.Name, Role: p.Role, Selector: p.Selector, Upstreams: []string{}, Leaving: []string{}}
	for _, u := range i.Members(p.Name) {
		e.Upstreams = append(e.Upstreams, u.Name)
		if u.Leaving {
			e.Leaving = append(e.Leaving, u.Name)
		}
	}
	return e
}

// ExplainUpstream tells for each pool whether an upstream is in it. It returns nil for an
// unknown upstream.
func (i *Index) ExplainUpstream(name string) *UpstreamExplanation {
	u := i.Upstream(name)
	if u == nil {
		return nil
	}
	e := &UpstreamExplanation{Upstream: name, Labels: u.Labels, Leaving: u.Leaving}
	for _, p := range i.configuration.Pools {
		result := PoolMatchResult{Pool: p.Name, Role: p.Role, Selector: p.Selector, Unmet: []string{}}
		if selector, err := label.Parse(p.Selector); err == nil {
			result.Matches = selector.Matches(u.Labels)
			result.Unmet = selector.Unmet(u.Labels)
		}
		e.Pools = append(e.Pools, result)
	}
	return e
}

func (i *Index) partner(name string) *Partner {
	for n := range i.configuration.Partners {
		if i.configuration.Partners[n].Name == name {
			return &i.configuration.Partners[n]
		}
	}
	return nil
}
