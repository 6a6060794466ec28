package gateway

import (
	"context"
	"time"

	"gooseberrypin.example/router/line"
	"gooseberrypin.example/router/upstream"
)

const (
	// maxPrefills bounds the prefill engines that one grant is tried with.
	maxPrefills = 2
	// prefillStartups times the mean startup is the least patience with a prefill engine.
	prefillStartups = 3
	// queuePatience times the expected wait is the patience with a prefill engine that has a queue.
	queuePatience = 3
	// backlogFactor times the target is the expected wait for a prefill from which on the decode
	// engine reads the prompt itself. That slows all streams of the engine, so it has to pay off.
	backlogFactor = 1.1
	// selfReadFactor is how much slower a decode engine reads a prompt than a prefill engine.
	selfReadFactor = 2
	// reservationMargin is left of a reservation's life for the decode request's way.
	reservationMargin = 100 * time.Millisecond
)

// prefill gets the prompt's KV cache computed. It returns false with the verdict when there is none.
func (n *generation) prefill(ctx context.Context, grant line.Grant, terms *DecodeOptions) (verdict, bool) {
	ctx, cancel := context.WithTimeout(ctx, reservationLife(n.pool)-reservationMargin)
	defer cancel()
	tried := make(map[string]bool)
	for try := range maxPrefills {
		members := n.gateway.directory.Ready(n.pool.Name, upstream.PhasePrefill, time.Now())
		m := n.gateway.pick(choosePrefill, members, grant.Member.DataCentre, tried)
		if m == nil || try > 0 && !n.covers(1) {
			// Without a prefill engine the decode engine reads the prompt itself.
			return nil, true
		}
		if n.readsSooner(m, members) {
			return nil, true
		}
		if refused := n.kept(n.ran); refused != nil {
			return done{refused}, false
		}
		tried[m.ID] = true
		cache, ok := n.prefillAt(ctx, m, members)
		if ok {
			terms.Source, terms.Cache = m, cache
			return nil, true
		}
		if ctx.Err() != nil {
			break
		}
	}
	return n.retryOr("no prefill engine read the prompt"), false
}

func (n *generation) prefillAt(ctx context.Context, m *upstream.Member, members []*upstream.Member) (string, bool) {
	tokens := n.request.Generation.PromptTokens
	m.Begin(tokens)
	defer m.End(tokens)
	n.record.Source = m.ID
	n.sent(Prefill)
	began := time.Now()
	terms := n.terms()
	terms.HeadTimeout = n.prefillPatience(m, members)
	defer func() { n.record.PrefillTime += time.Since(began) }()
	try := n.try(m)
	switch r := n.gateway.upstreams.Prefill(ctx, m, n.request, terms).(type) {
	case Prefilled:
		m.Succeeded(time.Since(began))
		n.shared.pace.prefilled(tokens, time.Since(began))
		if n.prefilled {
			n.arrived()
		}
		n.prefilled = true
		return r.Cache, true
	case PrefillFailed:
		if r.Reason == NoAnswer {
			n.unknown(ctx, try, m, r.ConnectionLost)
		}
		if ctx.Err() == nil {
			n.note(m, Prefill, r.Reason, r.Err)
		}
		n.countFailed(r.Reason)
	}
	return "", false
}

// countFailed counts a prefill that gave no KV cache as a retry. The first one that an engine takes is
// none, and one whose answer was lost was most likely taken.
func (n *generation) countFailed(reason NotRunReason) {
	switch {
	case reason == Unreachable:
	case reason == NoAnswer && !n.prefilled:
		n.prefilled = true
	default:
		n.arrived()
	}
}

// prefillPatience is how long a prefill engine may take before another one is tried: an engine that
// went dark must not cost the whole target, one with a queue must not lose its work.
func (n *generation) prefillPatience(m *upstream.Member, members []*upstream.Member) time.Duration {
	return max(n.route.Target/2, prefillStartups*n.shared.pace.Startup(), queuePatience*n.queue(m, members, 0))
}

// queue is the expected time until a prefill engine has read a further prompt. Each other entry is
// taken to read as many prompts as this one, spread over all prefill engines.
func (n *generation) queue(m *upstream.Member, members []*upstream.Member, prompt int) time.Duration {
	own := 0
	for _, other := range members {
		own += other.Load().Tokens
	}
	others := (n.gateway.entries() - 1) * own / max(1, len(members))
	return n.shared.pace.Prefill(m.Load().Tokens + others + prompt)
}

// readsSooner reports whether the decode engine should read the prompt itself, as the prefill engine
// with the shortest queue would make it late. It answers lost prefill engines and long bursts.
func (n *generation) readsSooner(m *upstream.Member, members []*upstream.Member) bool {
	prompt := n.request.Generation.PromptTokens
	wait := n.queue(m, members, prompt)
	return wait > time.Duration(backlogFactor*float64(n.route.Target)) && n.shared.pace.Prefill(selfReadFactor*prompt) < wait
}
