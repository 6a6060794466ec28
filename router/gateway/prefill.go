package gateway

import (
	"context"
	"time"

	"gooseberrypin.example/router/reservation"
	"gooseberrypin.example/router/upstream"
)

const (
	// maxPrefills bounds the prefill engines that are tried during one reservation of decode memory.
	maxPrefills = 2
	// prefillTimeoutStartups times the mean startup time is a lower bound of the prefill timeout.
	prefillTimeoutStartups = 3
	// prefillTimeoutQueueFactor times the expected time of the prefills in the queue of an engine is a lower
	// bound of the prefill timeout.
	prefillTimeoutQueueFactor = 3
	// maxPrefillWaitFactor times the latency target is the longest expected prefill for which a prefill
	// engine is preferred. Beyond it, the decode engine may prefill the prompt itself. That slows all
	// streams of the decode engine, so it must save time.
	maxPrefillWaitFactor = 1.1
	// decodePrefillSlowdown is how many times slower a decode engine prefills a prompt than a prefill engine.
	decodePrefillSlowdown = 2
	// reservationMargin is the part of a reservation's life that is left for the decode request to arrive.
	reservationMargin = 100 * time.Millisecond
)

// prefill has a prefill engine compute the KV cache of the prompt and stores its location in options. It
// returns true when the decode can follow, also if the decode engine is to prefill the prompt itself. It
// returns false with the outcome of the round otherwise.
func (n *generation) prefill(ctx context.Context, grant reservation.Grant, options *DecodeOptions) (roundOutcome, bool) {
	ctx, cancel := context.WithTimeout(ctx, reservationLife(n.pool)-reservationMargin)
	defer cancel()
	tried := make(map[string]bool)
	for prefills := 0; prefills < maxPrefills; {
		members := n.gateway.directory.Ready(n.pool.Name, upstream.PhasePrefill, time.Now())
		m := n.random().pick(n.prefillChooser(), n.pacedPrefills(members), grant.Member.DataCentre, tried)
		if m == nil || prefills > 0 && !n.reserveRetries(1) {
			// Without a prefill engine, the decode engine prefills the prompt itself.
			return nil, true
		}
		if n.decodeEnginePrefillsSooner(m, members, grant.Member) {
			return nil, true
		}
		if refused := n.refuseQuarantined(n.ran); refused != nil {
			return done{refused}, false
		}
		tried[m.ID] = true
		if n.takeQuota(ctx, m) > 0 {
			if ctx.Err() != nil {
				break
			}
			continue
		}
		prefills++
		cache, ok := n.prefillAt(ctx, m, members)
		if ok {
			options.Source, options.Cache = m, cache
			return nil, true
		}
		if ctx.Err() != nil {
			break
		}
	}
	return n.retryOrRefuse("no prefill engine read the prompt"), false
}

// prefillChooser returns how a prefill engine is chosen: by the expected finish if the engines differ, and else by the load.
func (n *generation) prefillChooser() chooser {
	if speeds := n.speedsOf(upstream.PhasePrefill); speeds.Uneven() {
		return chooseSoonest(speeds, n.request.Generation.PromptTokens)
	}
	return choosePrefill
}

// prefillAt sends the prompt to a prefill engine and returns the handle of its KV cache, or false if there is
// none.
func (n *generation) prefillAt(ctx context.Context, m *upstream.Member, members []*upstream.Member) (string, bool) {
	tokens := n.request.Generation.PromptTokens
	m.Begin(tokens)
	defer m.End(tokens)
	n.record.Source = m.ID
	n.countSend(Prefill)
	began := time.Now()
	options := n.sendOptions()
	options.HeadTimeout = n.prefillTimeout(m, members)
	defer func() { n.record.PrefillTime += time.Since(began) }()
	attempt := n.newAttempt(m)
	switch r := n.gateway.upstreams.Prefill(ctx, m, n.request, options).(type) {
	case Prefilled:
		m.Succeeded(time.Since(began))
		n.poolState.estimates.recordPrefill(tokens, time.Since(began))
		n.gateway.recordSpeed(m, tokens, time.Since(began))
		n.gateway.pace.Answered(m, tokens, time.Since(began), time.Now())
		if n.prefillAccepted {
			n.countEngineRequest()
		}
		n.prefillAccepted = true
		return r.Cache, true
	case PrefillFailed:
		if r.Reason == NoAnswer {
			n.recordUnknown(ctx, attempt, m, r.ConnectionLost)
		}
		if ctx.Err() == nil {
			n.recordFailure(m, Prefill, r.Reason, r.Err)
			n.gateway.pace.Failed(m, time.Now())
			if r.Reason == NoAnswer && !r.ConnectionLost {
				// The engine would have taken at least as long.
				n.gateway.recordSpeed(m, tokens, time.Since(began))
			}
		}
		n.countFailedPrefill(r.Reason)
	}
	return "", false
}

// countFailedPrefill counts a prefill without a KV cache as a send that reached an engine. It does not count
// a prefill that reached no engine, nor a first one whose answer was lost: most likely an engine accepted it,
// and the first accepted prefill of a request is no retry.
func (n *generation) countFailedPrefill(reason NotRunReason) {
	switch {
	case reason == Unreachable:
	case reason == NoAnswer && !n.prefillAccepted:
		n.prefillAccepted = true
	default:
		n.countEngineRequest()
	}
}

// prefillTimeout returns how long a prefill engine may take before another one is tried. An unresponsive engine
// must not use up the whole latency target, and the work of an engine with a queue must not be lost.
func (n *generation) prefillTimeout(m *upstream.Member, members []*upstream.Member) time.Duration {
	return max(n.route.TargetLatency/2, prefillTimeoutStartups*n.poolState.estimates.startupTime(), prefillTimeoutQueueFactor*n.expectedPrefillTime(m, members, 0))
}

// expectedPrefillTime returns the expected time until a prefill engine has finished its queue and a further
// prompt of the given number of tokens. Where engines differ, it is that of the learned speed, which includes the prompts
// of other entries. Otherwise it assumes that each other entry has as many prompt tokens in flight as this one, spread
// evenly over all prefill engines.
func (n *generation) expectedPrefillTime(m *upstream.Member, members []*upstream.Member, promptTokens int) time.Duration {
	if speeds := n.speedsOf(upstream.PhasePrefill); speeds.Uneven() {
		return speeds.PerToken(m) * time.Duration(m.Load().Tokens+promptTokens)
	}
	own := 0
	for _, other := range members {
		own += other.Load().Tokens
	}
	others := (n.gateway.entries() - 1) * own / max(1, len(members))
	return n.poolState.estimates.prefillTime(m.Load().Tokens + others + promptTokens)
}

// decodeEnginePrefillsSooner reports whether the decode engine should prefill the prompt itself: the prefill
// engine with the shortest queue would miss the latency target, and the decode engine is faster. This happens
// when prefill engines are lost and in long bursts.
func (n *generation) decodeEnginePrefillsSooner(m *upstream.Member, members []*upstream.Member, decodeEngine *upstream.Member) bool {
	promptTokens := n.request.Generation.PromptTokens
	wait := n.expectedPrefillTime(m, members, promptTokens)
	slowdown := decodePrefillSlowdown * n.relativeTime(decodeEngine)
	return wait > time.Duration(maxPrefillWaitFactor*float64(n.route.TargetLatency)) && n.poolState.estimates.prefillTime(int(slowdown*float64(promptTokens))) < wait
}

// relativeTime returns how many times longer than the median of its pool a decode engine takes, or 1 where engines do not
// differ.
func (n *generation) relativeTime(m *upstream.Member) float64 {
	speeds := n.speedsOf(upstream.PhaseDecode)
	if !speeds.Uneven() {
		return 1
	}
	return float64(speeds.PerToken(m)) / float64(max(1, speeds.Median()))
}
