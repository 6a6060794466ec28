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
		// crashedAt is the address of the sidecar whose engine crashed during the try, if any. A lost connection alone
		// does not set it.
		crashedAt string
		// exhausted reports whether no decode upstream has free memory.
		exhausted bool
		// decode is the upstream with the reservation, if any.
		decode *Target
		// started reports whether an engine was ordered to start the prefill.
		started bool
		// cancelled reports whether the request's context has ended.
		cancelled func() bool
	}
)

// run prefills, reserves and decodes. It releases the reservation and ends the plan on every return path.
func (w *work) run(ctx context.Context) result {
	w.cancelled = func() bool { return ctx.Err() != nil }
	kv, refused := w.prefill(ctx)
	if refused != nil {
		w.releaseReservation()
		w.endPlan()
		return result{refused: refused, retryable: refused.Reason == refusal.UpstreamLost}
	}
	w.plan.Prefilled()
	tokensBefore := len(w.record.Tokens())
	res := w.stream(ctx, kv)
	w.releaseAt(*w.decode)
	output := len(w.record.Tokens()) - tokensBefore
	if res.refused == nil {
		w.plan.Finish(output)
	} else {
		w.plan.End(output)
	}
	return res
}

// ran returns whether any part of the request ran in this try or, as given by earlier, in the tries before it.
func (w *work) ran(earlier refusal.Ran) refusal.Ran {
	switch {
	case len(w.record.Tokens()) > 0:
		return refusal.RanYes
	case w.started:
		return max(earlier, refusal.RanUnknown)
	}
	return earlier
}

// prompt returns the request's prompt followed by the tokens of the answer so far. A try after a lost upstream
// continues from there.
func (w *work) prompt() string {
	return w.job.Generation.Prompt + strings.Join(w.record.Tokens(), "")
}

// maxOutput returns the maximum number of tokens that are still to be generated.
func (w *work) maxOutput() int {
	limit := w.job.Generation.MaxOutputTokens
	if limit <= 0 {
		limit = defaultMaxOutput
	}
	return limit - len(w.record.Tokens())
}

// hasWholeAnswer reports whether the answer has all tokens that it may have. Only its end was lost then.
func (w *work) hasWholeAnswer() bool {
	return w.maxOutput() <= 0
}

// prefill runs the prefill at the first upstream that accepts it, after up to maxPrefillTargets tries. Before the
// prefill starts, it reserves decode memory.
func (w *work) prefill(ctx context.Context) (port.KV, *refusal.Refusal) {
	var avoid []string
	var last *refusal.Refusal
	prompt := w.prompt()
	for len(avoid) < maxPrefillTargets && ctx.Err() == nil {
		if refused := w.admit(prompt, avoid); refused != nil {
			return port.KV{}, refusalToReport(last, refused)
		}
		target := w.plan.PrefillTarget()
		kv, refused := w.prefillAt(ctx, target, prompt)
		if refused == nil {
			return kv, nil
		}
		last = refused
		w.endPlan()
		if w.crashedAt != "" || w.exhausted || !mayTryElsewhere(refused) {
			break
		}
		avoid = append(avoid, target.Upstream)
	}
	return port.KV{}, refusalToReport(last, nil)
}

// admit sets the plan for the next prefill upstream, unless there is one. It records a reservation made for an
// earlier plan in the new one.
func (w *work) admit(prompt string, avoid []string) *refusal.Refusal {
	if w.plan != nil {
		return nil
	}
	plan, refused := w.runner.route.Admit(&w.job.Generation, prompt, avoid, time.Now())
	if refused != nil {
		return refused
	}
	w.plan = plan
	if w.decode != nil {
		plan.Reserved(*w.decode)
	}
	return nil
}

func (w *work) prefillAt(ctx context.Context, target Target, prompt string) (port.KV, *refusal.Refusal) {
	ctx, cancel := context.WithDeadline(ctx, w.plan.Deadline().Add(prefillDeadlineSlack))
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
		return port.KV{}, w.markUnreachable(target)
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
			return port.KV{}, w.markUnreachable(target)
		}
		kv, done, refused := w.onPrefill(ctx, target, e)
		if done || refused != nil {
			return kv, refused
		}
	}
}

func (w *work) onPrefill(ctx context.Context, target Target, e port.PrefillEvent) (port.KV, bool, *refusal.Refusal) {
	switch e := e.(type) {
	case port.Queued:
		return port.KV{}, false, nil
	case port.AtHead:
		return port.KV{}, false, w.reserveAndStart(ctx, target)
	case port.Prefilled:
		return e.KV, true, nil
	case port.Refused:
		w.recordCrash(target, e.Refusal)
		return port.KV{}, false, e.Refusal
	}
	return port.KV{}, false, nil
}

// reserveAndStart reserves decode memory, unless it is reserved already, and orders the sidecar to start the prefill.
func (w *work) reserveAndStart(ctx context.Context, target Target) *refusal.Refusal {
	if w.decode == nil {
		if refused := w.reserve(ctx); refused != nil {
			return refused
		}
	}
	w.started = true
	refused, err := w.runner.sidecars.StartPrefill(ctx, target.SidecarAddress, w.job.Attempt)
	if err != nil {
		return w.markUnreachable(target)
	}
	return refused
}

// reserve reserves memory at a decode upstream, after up to maxReservationTargets attempts.
func (w *work) reserve(ctx context.Context) *refusal.Refusal {
	var avoid []string
	var last *refusal.Refusal
	for len(avoid) < maxReservationTargets && ctx.Err() == nil {
		target, refused := w.plan.DecodeTarget(ctx, w.job.Suspect, avoid)
		if refused != nil {
			w.exhausted = true
			return refusalToReport(last, refused)
		}
		refused = w.reserveAt(ctx, target)
		if refused == nil {
			w.decode = &target
			w.plan.Reserved(target)
			return nil
		}
		last = refused
		avoid = append(avoid, target.Upstream)
	}
	w.exhausted = true
	return noMemory(refusalToReport(last, nil))
}

func (w *work) reserveAt(ctx context.Context, target Target) *refusal.Refusal {
	w.runner.holdings.Add(target.SidecarAddress, w.job.Attempt)
	_, refused, err := w.runner.sidecars.Reserve(ctx, target.SidecarAddress, port.Reservation{
		Attempt:         w.job.Attempt,
		Keeper:          w.job.Keeper,
		Partner:         w.job.Generation.Partner,
		Model:           w.job.Generation.Model,
		Fingerprint:     w.job.Fingerprint,
		PromptTokens:    prefill.Tokens(w.prompt()),
		MaxOutputTokens: w.maxOutput(),
		Hold:            w.runner.reservationHold,
	})
	if err != nil {
		w.releaseAt(target)
		return w.markUnreachable(target)
	}
	if refused != nil {
		w.runner.holdings.Remove(target.SidecarAddress, w.job.Attempt)
	}
	return refused
}

// stream decodes and appends the tokens to the record.
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
		return result{refused: w.markUnreachable(*w.decode), retryable: true}
	}
	defer stream.Close()
	for {
		e, err := stream.Next()
		if err != nil {
			return result{refused: w.markUnreachable(*w.decode), retryable: true}
		}
		switch e := e.(type) {
		case port.Tokens:
			w.record.Append(e.Texts)
		case port.Finished:
			return result{finishReason: e.Reason}
		case port.Refused:
			w.recordCrash(*w.decode, e.Refusal)
			return result{refused: e.Refusal, retryable: retryable(e.Refusal)}
		}
	}
}

// endPlan ends the plan, if any, without output.
func (w *work) endPlan() {
	if w.plan != nil {
		w.plan.End(0)
		w.plan = nil
	}
}

// releaseReservation releases the reservation, if any.
func (w *work) releaseReservation() {
	if w.decode != nil {
		w.releaseAt(*w.decode)
	}
}

// releaseAt releases what the attempt holds at a sidecar. It does not depend on the request's context, which may have
// ended.
func (w *work) releaseAt(target Target) {
	w.runner.holdings.Remove(target.SidecarAddress, w.job.Attempt)
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	_ = w.runner.sidecars.Release(ctx, target.SidecarAddress, w.job.Attempt)
}

// recordCrash sets crashedAt when a refusal shows that the engine crashed while it ran the content. An engine that is
// only unreachable does not make content suspect that never ran there.
func (w *work) recordCrash(target Target, refused *refusal.Refusal) {
	if refused.Reason == refusal.UpstreamLost && refused.Ran != refusal.RanNo {
		w.crashedAt = target.SidecarAddress
	}
}

// markUnreachable excludes an upstream from new work and returns the refusal. The upstream is not excluded when the
// request's context has ended, because that ends its streams too.
func (w *work) markUnreachable(t Target) *refusal.Refusal {
	if !w.cancelled() {
		w.runner.route.MarkUnreachable(t.Upstream, time.Now())
		w.runner.log.Info(event.UpstreamUnreachable, "upstream", t.Upstream)
	}
	return refusal.New(refusal.RanNo, refusal.UpstreamLost, defaultRetryAfter, "%s can't be reached", t.Upstream)
}

// mayTryElsewhere reports whether a refused prefill may be sent to another upstream: it did not run, and the reason
// concerns the upstream rather than the request.
func mayTryElsewhere(refused *refusal.Refusal) bool {
	switch refused.Reason {
	case refusal.Overloaded, refusal.Leaving, refusal.WrongRole, refusal.UpstreamLost, refusal.TableFull:
		return refused.Ran == refusal.RanNo
	}
	return false
}

// retryable reports whether another try may follow a refused decode.
func retryable(refused *refusal.Refusal) bool {
	switch refused.Reason {
	case refusal.UpstreamLost, refusal.KVLost, refusal.Leaving, refusal.WrongRole, refusal.Cancelled:
		return true
	}
	return false
}

// refusalToReport returns the refusal to report: the last one from an upstream or, without any, the reason that no
// upstream was tried.
func refusalToReport(last, none *refusal.Refusal) *refusal.Refusal {
	if last != nil {
		return last
	}
	if none != nil {
		return none
	}
	return refusal.New(refusal.RanNo, refusal.Cancelled, 0, "the caller has gone")
}

// noMemory returns the refusal of a request for which no decode memory could be reserved.
func noMemory(refused *refusal.Refusal) *refusal.Refusal {
	return refusal.New(refused.Ran, refusal.Overloaded, max(refused.RetryAfter, defaultRetryAfter), "no decode memory: %s", refused.Message)
}
