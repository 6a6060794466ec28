package configuration

import (
	"fmt"

	"gooseberrypin.example/router/label"
)

type (
	// RequestExplanation describes the rule and pools that serve a partner's request.
	RequestExplanation struct {
		Partner string `json:"partner"`
		// Problem is the reason why the configuration does not allow the request. It is empty if it does.
		Problem string `json:"problem,omitempty"`
		Rule    string `json:"rule,omitempty"`
		// Repeatable reports whether the request may run more than once. Generations always may.
		Repeatable bool              `json:"repeatable"`
		Pools      []PoolExplanation `json:"pools"`
	}

	// PoolExplanation describes a pool and its upstreams.
	PoolExplanation struct {
		Pool      string   `json:"pool"`
		Role      Role     `json:"role"`
		Selector  string   `json:"selector"`
		Upstreams []string `json:"upstreams"`
		// Leaving contains those of Upstreams that receive no new work.
		Leaving []string `json:"leaving"`
	}

	// UpstreamExplanation describes which pools contain an upstream and why.
	UpstreamExplanation struct {
		Upstream string       `json:"upstream"`
		Labels   label.Labels `json:"labels"`
		Leaving  bool         `json:"leaving"`
		// Pools contains one result for each pool of the configuration.
		Pools []PoolMatchResult `json:"pools"`
	}

	// PoolMatchResult describes whether a pool's selector matches an upstream.
	PoolMatchResult struct {
		Pool     string `json:"pool"`
		Role     Role   `json:"role"`
		Selector string `json:"selector"`
		Matches  bool   `json:"matches"`
		// Unmet contains the requirements of the selector that the upstream's labels do not meet.
		Unmet []string `json:"unmet"`
	}
)

// ExplainModel returns the rule and pools for a partner's generation with a model.
func (i *Index) ExplainModel(partner, model string) *RequestExplanation {
	return i.explain(partner, i.RuleForModel(model), fmt.Sprintf("no rule for the model %q", model))
}

// ExplainService returns the rule and pools for a partner's call to a plain service.
func (i *Index) ExplainService(partner, service string) *RequestExplanation {
	return i.explain(partner, i.RuleForService(service), fmt.Sprintf("no rule for the service %q", service))
}

// explain describes a request of a partner under a rule. noRuleProblem is the problem to report if rule is nil.
func (i *Index) explain(partner string, rule *Rule, noRuleProblem string) *RequestExplanation {
	e := &RequestExplanation{Partner: partner, Pools: []PoolExplanation{}}
	p := i.partner(partner)
	if rule == nil {
		e.Problem = noRuleProblem
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
		e.Problem = e.noUpstreamProblem()
	}
	return e
}

// noUpstreamProblem returns the problem of the first pool without an upstream for new work, or "" if each pool
// has one.
func (e *RequestExplanation) noUpstreamProblem() string {
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

// ExplainUpstream describes, for each pool, whether its selector matches an upstream. It returns nil for an unknown
// upstream.
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
