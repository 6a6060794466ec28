package engine

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"gooseberrypin.example/router/decode"
	"gooseberrypin.example/router/event"
	"gooseberrypin.example/router/port"
	"gooseberrypin.example/router/refusal"
)

const (
	probeInterval = 500 * time.Millisecond
	probeTimeout  = time.Second
	sweepInterval = time.Second
	// orphanInterval is the time between two sweeps while orphans are recorded.
	orphanInterval = 200 * time.Millisecond
	// orphanGrace is how long a stream without an attempt is kept, so that a heartbeat of its
	// keeper can arrive first.
	orphanGrace = 2 * time.Second
	lostRetry   = 200 * time.Millisecond
	// maxUnansweredProbes is the number of consecutive probes without an answer after which the
	// engine counts as unresponsive.
	maxUnansweredProbes = 2
)

// beginExecution records that a work runs at the engine, and returns the epoch. If the engine
// crashes, the content of such work is reported as suspected.
func (c *Controller) beginExecution(w *work) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.executing[w] = c.epoch
	return c.epoch
}

func (c *Controller) endExecution(w *work) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.executing, w)
}

// handleEngineError converts an error of the engine to a refusal. If the engine is lost, it
// records the loss. A work that did not reach the engine is not reported as suspected then.
func (c *Controller) handleEngineError(ctx context.Context, w *work, err error, epoch int) *refusal.Refusal {
	var fault *port.EngineError
	if !errors.As(err, &fault) {
		return refusal.New(refusal.RanUnknown, refusal.UpstreamLost, lostRetry, "%s", err)
	}
	switch fault.Fault {
	case port.EngineKVUnavailable:
		return refusal.New(refusal.RanNo, refusal.KVLost, queueRetry, "%s", fault.Message)
	case port.EngineFull:
		return refusal.New(refusal.RanNo, refusal.Overloaded, queueRetry, "the engine has no free memory")
	case port.EngineConflict, port.EngineRefused:
		return refusal.New(refusal.RanNo, refusal.WrongRole, roleRetry, "%s", fault.Message)
	case port.EngineLost:
	}
	ran := refusal.RanUnknown
	if !fault.MayHaveStarted {
		ran = refusal.RanNo
		c.endExecution(w)
	}
	if ctx.Err() == nil {
		c.recordEngineLoss(epoch)
	}
	return refusal.New(ran, refusal.UpstreamLost, lostRetry, "the engine died: %s", fault.Message)
}

// recordEngineLoss records the loss of the engine once in each epoch. It reports the content
// of all work that was executing as suspected, and starts the next epoch.
func (c *Controller) recordEngineLoss(epoch int) {
	c.mu.Lock()
	if epoch != c.epoch || c.lost {
		c.mu.Unlock()
		return
	}
	c.epoch++
	c.down, c.lost = true, true
	c.counters.EnginesLost++
	fingerprints := make([]string, 0, len(c.executing))
	for w, began := range c.executing {
		if began == epoch && !c.naive.IgnoresSuspects {
			fingerprints = append(fingerprints, w.fingerprint)
		}
	}
	crash := fmt.Sprintf("%s/%d/%d", c.settings.Upstream, c.settings.Started.UnixMilli(), c.epoch)
	c.suspects.Report(fingerprints, crash, time.Now())
	c.mu.Unlock()
	c.log.Info(event.EngineLost, "upstream", c.settings.Upstream)
	if len(fingerprints) > 0 {
		c.log.Info(event.CrashSuspects, "fingerprints", fingerprints)
		go c.pushSuspects()
	}
}

// probe reads the engine's load report. If the request can't be sent, the engine counts as
// lost. Every other error counts as an unanswered probe.
func (c *Controller) probe(ctx context.Context) {
	c.probing <- struct{}{}
	defer func() { <-c.probing }()
	c.mu.Lock()
	epoch := c.epoch
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	load, err := c.engine.Load(ctx)
	var fault *port.EngineError
	if errors.As(err, &fault) && !fault.MayHaveStarted {
		c.recordEngineLoss(epoch)
		return
	}
	if err != nil {
		c.recordUnansweredProbe()
		return
	}
	c.applyLoad(load)
}

// recordUnansweredProbe counts a probe without an answer. After maxUnansweredProbes in a row it
// marks the engine as down, so that new work is refused. Running work is not cancelled, as it
// may continue when the engine responds again.
func (c *Controller) recordUnansweredProbe() {
	c.mu.Lock()
	c.unansweredProbes++
	unresponsive := c.unansweredProbes == maxUnansweredProbes && !c.down
	c.down = c.down || unresponsive
	c.mu.Unlock()
	if unresponsive {
		c.log.Info(event.EngineUnresponsive, "upstream", c.settings.Upstream)
	}
}

// applyLoad records a load report and marks the engine as up. It resizes the memory if no
// attempt holds any, and updates the limit on concurrent streams.
func (c *Controller) applyLoad(load port.EngineLoad) {
	c.mu.Lock()
	recovered := c.down
	c.down, c.lost, c.unansweredProbes = false, false, 0
	memory := c.memory.Load()
	resized := load.TotalPieces != memory.TotalPieces() || int(load.PieceTokens) != memory.PieceTokens()
	c.load, c.loadAt = load, time.Now()
	if load.TotalPieces > 0 && load.PieceTokens > 0 && resized && memory.HeldAttempts() == 0 {
		c.memory.Store(decode.NewMemory(load.TotalPieces, int(load.PieceTokens)))
	}
	if target := c.targetBetweenTokens(); target != c.limitTarget {
		c.limitTarget = target
		c.limitEstimator.Store(decode.NewLimitEstimator(target))
	}
	c.mu.Unlock()
	c.limitEstimator.Load().Observe(load.Running, time.Duration(load.StepUS)*time.Microsecond)
	if recovered {
		c.log.Info(event.EngineFound, "upstream", c.settings.Upstream)
	}
}

// targetBetweenTokens returns the configured target time between tokens.
func (c *Controller) targetBetweenTokens() time.Duration {
	s := c.store.Current()
	if s == nil || s.Index.Configuration().Limits.BetweenTokensMS <= 0 {
		return defaultBetweenTokens
	}
	return time.Duration(s.Index.Configuration().Limits.BetweenTokensMS) * time.Millisecond
}

// runSweeps sweeps at the start and once in each sweepInterval, and once in each orphanInterval
// while orphans are recorded.
func (c *Controller) runSweeps(ctx context.Context) {
	var lastSweep time.Time
	sweepIfDue := func() {
		c.mu.Lock()
		hasOrphans := len(c.orphans) > 0
		c.mu.Unlock()
		if hasOrphans || time.Since(lastSweep) >= sweepInterval {
			lastSweep = time.Now()
			c.sweep(ctx)
		}
	}
	sweepIfDue()
	c.every(ctx, orphanInterval, sweepIfDue)
}

// sweep cancels the streams of the engine that had no attempt for orphanGrace. After a restart
// of this process it thereby releases the memory of the previous process's streams.
func (c *Controller) sweep(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	c.mu.Lock()
	uncancelled := slices.Collect(maps.Keys(c.uncancelled))
	c.mu.Unlock()
	list, err := c.engine.Streams(ctx)
	if err != nil {
		return
	}
	c.releaseEnded(uncancelled, list)
	if c.naive.KeepsOrphans {
		return
	}
	for _, id := range c.expiredOrphans(list, time.Now()) {
		if err := c.engine.Cancel(ctx, id); err != nil {
			c.logCancelFailure(err, id)
			continue
		}
		c.releaseUncancelled(id)
		c.count(func(n *Counters) { n.OrphansCancelled++ })
		c.log.Info(event.OrphanCancelled, "stream_id", id)
	}
}

// releaseEnded releases the memory of the uncancelled streams that a later list of the engine does not contain.
func (c *Controller) releaseEnded(uncancelled []string, list []port.EngineStream) {
	for _, id := range uncancelled {
		if !slices.ContainsFunc(list, func(s port.EngineStream) bool { return s.StreamID == id }) {
			c.releaseUncancelled(id)
		}
	}
}

// releaseUncancelled releases the memory of a stream that could not be cancelled before.
func (c *Controller) releaseUncancelled(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.uncancelled[id] {
		c.memory.Load().Release(id)
		delete(c.uncancelled, id)
	}
}

// expiredOrphans records which streams in a list of the engine have no attempt, and returns those
// that have had none for orphanGrace.
func (c *Controller) expiredOrphans(list []port.EngineStream, now time.Time) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	orphans := make(map[string]time.Time)
	var expired []string
	for _, s := range list {
		a := toAttempt(s.StreamID)
		w := c.workByKey[a.KeyDigest]
		if (w != nil && w.attempt == a) || c.isExecuting(s.StreamID) {
			continue
		}
		since, known := c.orphans[s.StreamID]
		if !known {
			since = now
		}
		orphans[s.StreamID] = since
		if now.Sub(since) >= orphanGrace {
			expired = append(expired, s.StreamID)
		}
	}
	c.orphans = orphans
	return expired
}

func (c *Controller) isExecuting(streamID string) bool {
	for w := range c.executing {
		if w.streamID == streamID {
			return true
		}
	}
	return false
}

func (c *Controller) logCancelFailure(err error, streamID string) {
	c.log.Error(err, event.CancelFailed, "stream_id", streamID)
}
