package generation

import (
	"context"
	"errors"
	"strings"
	"time"

	"gooseberrypin.example/router/event"
	"gooseberrypin.example/router/port"
	"gooseberrypin.example/router/prefill"
	"gooseberrypin.example/router/refusal"
	"gooseberrypin.example/router/request"
)

type (
	// work is one try of a request.
	work struct {
		runner *runner
		record *request.Record
		job    Job
		plan   Plan
		// crashedAt is the sidecar's address when its engine died, not only the connection.
		crashedAt string
		// exhausted tells that no decode upstream has memory.
		exhausted bool
		decode    *Target
		// started tells that an engine was told to begin.
		started bool
		// gone tells whether the caller has gone.
		gone func() bool
	}
)

// run prefills, reserves and decodes. What was held is released on every way out.
func (w *work) run(ctx context.Context) result {
	w.gone = func() bool { return ctx.Err() != nil }
	kv, why := w.prefill(ctx)
	if why != nil {
		w.release()
		w.endPlan()
		return result{why: why, retryable: why.Reason == refusal.UpstreamLost}
	}
	w.plan.Prefilled()
	before := len(w.record.Tokens())
	res := w.stream(ctx, kv)
	w.drop(*w.decode)
	output := len(w.record.Tokens()) - before
	if res.why == nil {
		w.plan.Finish(output)
	} else {
		w.plan.End(output)
	}
	return res
}

// ran tells how far the request got, given how far earlier tries got.
func (w *work) ran(earlier refusal.Ran) refusal.Ran {
	switch {
	case len(w.record.Tokens()) > 0:
		return refusal.RanYes
	case w.started:
		return max(earlier, refusal.RanUnknown)
	}
	return earlier
}

// prompt is the request's prompt, followed by what was answered before an upstream was lost.
func (w *work) prompt() string {
	return w.job.Generation.Prompt + strings.Join(w.record.Tokens(), "")
}

func (w *work) maxOutput() int {
	limit := w.job.Generation.MaxOutputTokens
	if limit <= 0 {
		limit = defaultMaxOutput
	}
	return max(1, limit-len(w.record.Tokens()))
}

// prefill tries a few upstreams; a refused try costs nothing.
func (w *work) prefill(ctx context.Context) (port.KV, *refusal.Refusal) {
	var avoid []string
	var last *refusal.Refusal
	prompt := w.prompt()
	for len(avoid) < prefillTargets && ctx.Err() == nil {
		if why := w.admit(prompt, avoid); why != nil {
			return port.KV{}, worst(last, why)
		}
		target := w.plan.PrefillTarget()
		kv, why := w.prefillAt(ctx, target, prompt)
		if why == nil {
			return kv, nil
		}
		last = why
		w.endPlan()
		if w.crashedAt != "" || w.exhausted || !elsewhere(why) {
			break
		}
		avoid = append(avoid, target.Upstream)
	}
	return port.KV{}, worst(last, nil)
}

// admit makes a plan for the next prefill upstream, unless there is one.
func (w *work) admit(prompt string, avoid []string) *refusal.Refusal {
	if w.plan != nil {
		return nil
	}
	plan, why := w.runner.route.Admit(&w.job.Generation, prompt, avoid, time.Now())
	if why != nil {
		return why
	}
	w.plan = plan
	if w.decode != nil {
		plan.Reserved(*w.decode)
	}
	return nil
}

func (w *work) prefillAt(ctx context.Context, target Target, prompt string) (port.KV, *refusal.Refusal) {
	ctx, cancel := context.WithDeadline(ctx, w.plan.Deadline().Add(prefillSlack))
	defer cancel()
	defer w.runner.holdings.OnLost(target.SidecarAddress, cancel)()
	stream, err := w.runner.sidecars.Prefill(ctx, target.SidecarAddress, port.Prefill{
		Attempt:     w.job.Attempt,
		Keeper:      w.job.Keeper,
		Partner:     w.job.Generation.Partner,
		Model:       w.job.Generation.Model,
		Prompt:      prompt,
		Fingerprint: w.job.Fingerprint,
		Budget:      time.Until(w.plan.Deadline()),
		Late:        w.plan.Late(),
	})
	if err != nil {
		return port.KV{}, w.unreachable(target)
	}
	w.runner.holdings.Add(target.SidecarAddress, w.job.Attempt)
	defer w.runner.holdings.Remove(target.SidecarAddress, w.job.Attempt)
	defer stream.Close()
	for {
		e, err := stream.Next()
		if err != nil && errors.Is(ctx.Err(), context.DeadlineExceeded) {
			return port.KV{}, refusal.New(refusal.RanNo, refusal.Deadline, defaultRetryAfter, "no prefill in time at %s", target.Upstream)
		}
		if err != nil {
			return port.KV{}, w.unreachable(target)
		}
		kv, done, why := w.onPrefill(ctx, target, e)
		if done || why != nil {
			return kv, why
		}
	}
}

func (w *work) onPrefill(ctx context.Context, target Target, e port.PrefillEvent) (port.KV, bool, *refusal.Refusal) {
	switch e := e.(type) {
	case port.Queued:
		return port.KV{}, false, nil
	case port.AtHead:
		return port.KV{}, false, w.start(ctx, target)
	case port.Prefilled:
		return e.KV, true, nil
	case port.Refused:
		w.noteCrash(target, e.Refusal)
		return port.KV{}, false, e.Refusal
	}
	return port.KV{}, false, nil
}

// start reserves decode memory and lets the prefill begin.
func (w *work) start(ctx context.Context, target Target) *refusal.Refusal {
	if w.decode == nil {
		if why := w.reserve(ctx); why != nil {
			return why
		}
	}
	w.started = true
	why, err := w.runner.sidecars.StartPrefill(ctx, target.SidecarAddress, w.job.Attempt)
	if err != nil {
		return w.unreachable(target)
	}
	return why
}

// reserve asks a few decode upstreams for memory.
func (w *work) reserve(ctx context.Context) *refusal.Refusal {
	var avoid []string
	var last *refusal.Refusal
	for len(avoid) < reservationAttempts && ctx.Err() == nil {
		target, why := w.plan.DecodeTarget(ctx, w.job.Suspect, avoid)
		if why != nil {
			w.exhausted = true
			return worst(last, why)
		}
		why = w.reserveAt(ctx, target)
		if why == nil {
			w.decode = &target
			w.plan.Reserved(target)
			return nil
		}
		last = why
		avoid = append(avoid, target.Upstream)
	}
	w.exhausted = true
	return noMemory(worst(last, nil))
}

func (w *work) reserveAt(ctx context.Context, target Target) *refusal.Refusal {
	w.runner.holdings.Add(target.SidecarAddress, w.job.Attempt)
	_, why, err := w.runner.sidecars.Reserve(ctx, target.SidecarAddress, port.Reservation{
		Attempt:         w.job.Attempt,
		Keeper:          w.job.Keeper,
		Partner:         w.job.Generation.Partner,
		Model:           w.job.Generation.Model,
		Fingerprint:     w.job.Fingerprint,
		PromptTokens:    prefill.Tokens(w.prompt()),
		MaxOutputTokens: w.maxOutput(),
		Hold:            w.runner.hold,
	})
	if err != nil {
		w.drop(target)
		return w.unreachable(target)
	}
	if why != nil {
		w.runner.holdings.Remove(target.SidecarAddress, w.job.Attempt)
	}
	return why
}

// stream decodes into the record.
func (w *work) stream(ctx context.Context, kv port.KV) result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer w.runner.holdings.OnLost(w.decode.SidecarAddress, cancel)()
	stream, err := w.runner.sidecars.Decode(ctx, w.decode.SidecarAddress, port.Decode{
		Attempt:         w.job.Attempt,
		Keeper:          w.job.Keeper,
		Model:           w.job.Generation.Model,
		Fingerprint:     w.job.Fingerprint,
		KV:              kv,
		MaxOutputTokens: w.maxOutput(),
	})
	if err != nil {
		return result{why: w.unreachable(*w.decode), retryable: true}
	}
	defer stream.Close()
	for {
		e, err := stream.Next()
		if err != nil {
			return result{why: w.unreachable(*w.decode), retryable: true}
		}
		switch e := e.(type) {
		case port.Tokens:
			w.record.Append(e.Texts)
		case port.Finished:
			return result{finishReason: e.Reason}
		case port.Refused:
			w.noteCrash(*w.decode, e.Refusal)
			return result{why: e.Refusal, retryable: retryable(e.Refusal)}
		}
	}
}

// endPlan gives up a plan, also one that was never begun.
func (w *work) endPlan() {
	if w.plan != nil {
		w.plan.End(0)
		w.plan = nil
	}
}

// release gives up a reservation that no decode used.
func (w *work) release() {
	if w.decode != nil {
		w.drop(*w.decode)
	}
}

// drop ends the lease of an attempt at a sidecar, also when ctx is over.
func (w *work) drop(target Target) {
	w.runner.holdings.Remove(target.SidecarAddress, w.job.Attempt)
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	_ = w.runner.sidecars.Release(ctx, target.SidecarAddress, w.job.Attempt)
}

// noteCrash tells an engine that died from one that is only down: content that never
// ran there is no suspect.
func (w *work) noteCrash(target Target, why *refusal.Refusal) {
	if why.Reason == refusal.UpstreamLost && why.Ran != refusal.RanNo {
		w.crashedAt = target.SidecarAddress
	}
}

// unreachable keeps work from an upstream, unless the stream ended with its caller.
func (w *work) unreachable(t Target) *refusal.Refusal {
	if !w.gone() {
		w.runner.route.MarkUnreachable(t.Upstream, time.Now())
		w.runner.log.Info(event.UpstreamUnreachable, "upstream", t.Upstream)
	}
	return refusal.New(refusal.RanNo, refusal.UpstreamLost, defaultRetryAfter, "%s can't be reached", t.Upstream)
}

// elsewhere tells whether another upstream may take what this one refused.
func elsewhere(why *refusal.Refusal) bool {
	switch why.Reason {
	case refusal.Overloaded, refusal.Leaving, refusal.WrongRole, refusal.UpstreamLost, refusal.TableFull:
		return why.Ran == refusal.RanNo
	}
	return false
}

// retryable tells whether a lost decode may be tried again from the start.
func retryable(why *refusal.Refusal) bool {
	switch why.Reason {
	case refusal.UpstreamLost, refusal.KVLost, refusal.Leaving, refusal.WrongRole, refusal.Cancelled:
		return true
	}
	return false
}

// worst returns the refusal to report: the last real one, or why none could be tried.
func worst(last, none *refusal.Refusal) *refusal.Refusal {
	if last != nil {
		return last
	}
	if none != nil {
		return none
	}
	return refusal.New(refusal.RanNo, refusal.Cancelled, 0, "the caller has gone")
}

// noMemory reports a refused reservation.
func noMemory(why *refusal.Refusal) *refusal.Refusal {
	return refusal.New(why.Ran, refusal.Overloaded, max(why.RetryAfter, defaultRetryAfter), "no decode memory: %s", why.Message)
}
