package engine

import (
	"context"
	"errors"
	"fmt"
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
	// orphanInterval is the time between two looks at an orphan.
	orphanInterval = 200 * time.Millisecond
	// orphanGrace is how long a stream without an attempt may wait for its keeper's heartbeat.
	orphanGrace = 2 * time.Second
	lostRetry   = 200 * time.Millisecond
	// maxSilences is the number of unanswered probes after which an engine hangs.
	maxSilences = 2
)

// execute notes that a work is at the engine, for the case that the engine dies.
func (c *Controller) execute(w *work) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.executing[w] = c.epoch
	return c.epoch
}

func (c *Controller) executed(w *work) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.executing, w)
}

// failed turns an engine's error into a refusal. The first one that tells of a dead
// engine reports all that ran on it as suspects; what did not reach it is none.
func (c *Controller) failed(ctx context.Context, w *work, err error, epoch int) *refusal.Refusal {
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
		c.executed(w)
	}
	if ctx.Err() == nil {
		c.lost(epoch)
	}
	return refusal.New(ran, refusal.UpstreamLost, lostRetry, "the engine died: %s", fault.Message)
}

// lost reports the end of an engine once.
func (c *Controller) lost(epoch int) {
	c.mu.Lock()
	if epoch != c.epoch || c.down {
		c.mu.Unlock()
		return
	}
	c.epoch++
	c.down = true
	c.counters.EnginesLost++
	fingerprints := make([]string, 0, len(c.executing))
	for w, since := range c.executing {
		if since == epoch && !c.naive.IgnoresSuspects {
			fingerprints = append(fingerprints, w.fingerprint)
		}
	}
	crash := fmt.Sprintf("%s/%d/%d", c.settings.Upstream, c.settings.Started.UnixMilli(), c.epoch)
	c.suspects.Report(fingerprints, crash, time.Now())
	c.mu.Unlock()
	c.log.Info(event.EngineLost, "upstream", c.settings.Upstream)
	if len(fingerprints) > 0 {
		c.log.Info(event.CrashSuspects, "fingerprints", fingerprints)
		go c.push()
	}
}

// probe reads the engine's report. A refused connection tells of its death, several
// unanswered probes that it hangs.
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
		c.lost(epoch)
		return
	}
	if err != nil {
		c.silent()
		return
	}
	c.follow(load)
}

// silent refuses new work while the engine hangs. What runs may go on after it.
func (c *Controller) silent() {
	c.mu.Lock()
	c.silences++
	hangs := c.silences == maxSilences && !c.down
	c.down = c.down || hangs
	c.mu.Unlock()
	if hangs {
		c.log.Info(event.EngineUnresponsive, "upstream", c.settings.Upstream)
	}
}

// follow takes the engine's report, its memory's size and its pace.
func (c *Controller) follow(load port.EngineLoad) {
	c.mu.Lock()
	found := c.down
	c.down, c.silences = false, 0
	resized := load.TotalPieces != c.memory.Load().TotalPieces() || load.PieceTokens != c.load.PieceTokens
	c.load, c.loadAt = load, time.Now()
	if load.TotalPieces > 0 && load.PieceTokens > 0 && resized && c.memory.Load().HeldAttempts() == 0 {
		c.memory.Store(decode.NewMemory(load.TotalPieces, int(load.PieceTokens)))
	}
	if target := c.betweenTokens(); target != c.between {
		c.between = target
		c.pace.Store(decode.NewLimitEstimator(target))
	}
	c.mu.Unlock()
	c.pace.Load().Observe(load.Running, time.Duration(load.StepUS)*time.Microsecond)
	if found {
		c.log.Info(event.EngineFound, "upstream", c.settings.Upstream)
	}
}

func (c *Controller) betweenTokens() time.Duration {
	s := c.store.Current()
	if s == nil || s.Index.Configuration().Limits.BetweenTokensMS <= 0 {
		return defaultBetweenTokens
	}
	return time.Duration(s.Index.Configuration().Limits.BetweenTokensMS) * time.Millisecond
}

// sweeps looks for orphans at the start and from time to time, and at known ones more often.
func (c *Controller) sweeps(ctx context.Context) {
	var swept time.Time
	look := func() {
		c.mu.Lock()
		known := len(c.orphans) > 0
		c.mu.Unlock()
		if known || time.Since(swept) >= sweepInterval {
			swept = time.Now()
			c.sweep(ctx)
		}
	}
	look()
	c.every(ctx, orphanInterval, look)
}

// sweep cancels streams of the engine that no attempt holds. A restarted process thereby
// frees what its predecessor left.
func (c *Controller) sweep(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	list, err := c.engine.Streams(ctx)
	if err != nil || c.naive.KeepsOrphans {
		return
	}
	for _, id := range c.overdueOrphans(list, time.Now()) {
		if err := c.engine.Cancel(ctx, id); err != nil {
			c.cancelFailed(err, id)
			continue
		}
		c.count(func(n *Counters) { n.OrphansCancelled++ })
		c.log.Info(event.OrphanCancelled, "stream_id", id)
	}
}

func (c *Controller) overdueOrphans(list []port.EngineStream, now time.Time) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	seen := make(map[string]time.Time)
	var overdue []string
	for _, s := range list {
		a := toAttempt(s.StreamID)
		w := c.works[a.KeyDigest]
		if (w != nil && w.attempt == a) || c.isExecuting(s.StreamID) {
			continue
		}
		since, known := c.orphans[s.StreamID]
		if !known {
			since = now
		}
		seen[s.StreamID] = since
		if now.Sub(since) >= orphanGrace {
			overdue = append(overdue, s.StreamID)
		}
	}
	c.orphans = seen
	return overdue
}

func (c *Controller) isExecuting(item string) bool {
	for w := range c.executing {
		if w.item == item {
			return true
		}
	}
	return false
}

func (c *Controller) cancelFailed(err error, streamID string) {
	c.log.Error(err, event.CancelFailed, "stream_id", streamID)
}
