package route

import (
	"context"
	"time"

	"gooseberrypin.example/router/dispatch"
	"gooseberrypin.example/router/generation"
	"gooseberrypin.example/router/refusal"
)

const (
	noMemoryRetryAfter = 200 * time.Millisecond
)

type (
	// plan is an admitted try of a request. It implements generation.Plan.
	plan struct {
		router *Router
		queue  *decodeQueue
		ticket *dispatch.Ticket
		model  string
		target generation.Target
	}
)

// PrefillTarget implements generation.Plan.
func (p *plan) PrefillTarget() generation.Target {
	return p.target
}

// Deadline implements generation.Plan.
func (p *plan) Deadline() time.Time {
	return p.ticket.Deadline
}

// Late implements generation.Plan.
func (p *plan) Late() bool {
	return p.ticket.Late
}

// DecodeTarget implements generation.Plan.
func (p *plan) DecodeTarget(ctx context.Context, suspect bool, avoid []string) (generation.Target, *refusal.Refusal) {
	if suspect {
		return p.leastLoaded(avoid)
	}
	a, assigned := p.queue.await(ctx, p.ticket, avoid, p.pools)
	switch {
	case !assigned:
		return generation.Target{}, refusal.New(refusal.RanNo, refusal.Cancelled, 0, "the request ended while it waited for decode memory")
	case a.TooLate:
		return generation.Target{}, refusal.New(refusal.RanNo, refusal.Overloaded, noMemoryRetryAfter, "no decode upstream has room in time")
	}
	return p.targetOf(a.Upstream)
}

// Reserved implements generation.Plan.
func (p *plan) Reserved(t generation.Target) {
	p.queue.dispatcher.Reserved(p.ticket, t.Upstream, time.Now())
}

// Prefilled implements generation.Plan.
func (p *plan) Prefilled() {
	p.queue.dispatcher.Prefilled(p.ticket)
}

// Finish implements generation.Plan.
func (p *plan) Finish(outputTokens int) {
	p.queue.dispatcher.Finish(p.ticket, outputTokens, time.Now())
	p.queue.assign(p.pools)
}

// End implements generation.Plan.
func (p *plan) End(outputTokens int) {
	p.queue.dispatcher.End(p.ticket, outputTokens, time.Now())
	p.queue.assign(p.pools)
}

// leastLoaded returns the decode upstream with the fewest running streams. It refuses when none is
// usable.
func (p *plan) leastLoaded(avoid []string) (generation.Target, *refusal.Refusal) {
	s := p.router.store.Current()
	rule := s.Index.RuleForModel(p.model)
	if rule == nil {
		return generation.Target{}, NoUpstream(p.model)
	}
	candidates := p.router.candidates(s.Index, rule.DecodePool, avoid, time.Now())
	if len(candidates) == 0 {
		return generation.Target{}, NoUpstream(rule.DecodePool)
	}
	return p.targetOf(p.router.leastLoaded(candidates))
}

// targetOf returns the target for an upstream. It refuses when the upstream was removed from the
// configuration after it was chosen.
func (p *plan) targetOf(upstream string) (generation.Target, *refusal.Refusal) {
	index := p.router.store.Current().Index
	if index.Upstream(upstream) == nil {
		return generation.Target{}, NoUpstream(upstream)
	}
	return target(index, upstream), nil
}

// pools returns the upstreams that the plan's model may use now.
func (p *plan) pools() dispatch.Pools {
	index, rule, refused := p.router.rule(p.model)
	if refused != nil {
		return dispatch.Pools{SharingEntries: 1}
	}
	return p.router.pools(index, rule, nil, time.Now())
}
