package engine

import (
	"context"
	"errors"
	"time"

	"gooseberrypin.example/router/configuration"
	"gooseberrypin.example/router/port"
	"gooseberrypin.example/router/refusal"
	"gooseberrypin.example/router/transfer"
)

const (
	maxHold       = 5 * time.Second
	defaultHold   = time.Second
	kvLifetime    = 800 * time.Millisecond
	cancelTimeout = 2 * time.Second
	// maxResumes is the maximum number of times that a stream is resumed after its connection to a
	// running engine failed.
	maxResumes = 3
)

// Reserve reserves decode memory for an attempt until Decode, for its hold time at most. A hold
// time of zero means defaultHold, and maxHold is the maximum.
func (c *Controller) Reserve(r port.Reservation) *refusal.Refusal {
	if refused := c.admit(configuration.RoleDecode, r.Model, r.Fingerprint); refused != nil {
		return refused
	}
	w, refused := c.enterPhase(r.Attempt, r.Keeper, r.Fingerprint, reserved)
	if refused != nil {
		return refused
	}
	hold := r.Hold
	if hold <= 0 {
		hold = defaultHold
	}
	c.memory.Load().SetLimit(c.limitEstimator.Load().Limit())
	refused = c.memory.Load().Reserve(w.streamID, r.PromptTokens, r.MaxOutputTokens, min(hold, maxHold), time.Now())
	if refused != nil {
		c.leavePhase(w, reserved)
	}
	return refused
}

// Decode imports the KV cache of a reserved attempt and emits its tokens. It returns nil after
// a complete answer. However the decode ends, it cancels the engine's stream and releases its
// memory before it returns.
func (c *Controller) Decode(ctx context.Context, d port.Decode, emit func(port.DecodeEvent) error) *refusal.Refusal {
	w, r := c.enterPhase(d.Attempt, d.Keeper, d.Fingerprint, decoding)
	if r != nil {
		return r
	}
	defer c.leavePhase(w, decoding|reserved)
	if r := c.memory.Load().Start(w.streamID, time.Now()); r != nil {
		return r
	}
	defer c.releaseStream(w)
	ctx, cancel := w.joinContext(ctx)
	defer cancel()
	epoch := c.beginExecution(w)
	defer c.endExecution(w)
	if r := c.transfer(ctx, w, d, epoch); r != nil {
		return r
	}
	return c.generate(ctx, w, d, epoch, emit)
}

// releaseStream cancels the engine's stream and then releases its memory. In this order, the
// memory is not reserved again while the engine still uses it. If the cancel fails, a later sweep
// releases the memory.
func (c *Controller) releaseStream(w *work) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	err := c.engine.Cancel(ctx, w.streamID)
	if err != nil {
		c.logCancelFailure(err, w.streamID)
	} else {
		c.memory.Load().Release(w.streamID)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.uncancelled[w.streamID] = true
	}
	c.recordClosed(w.attempt)
}

// transfer waits until the link starts the transfer, then imports the KV cache.
func (c *Controller) transfer(ctx context.Context, w *work, d port.Decode, epoch int) *refusal.Refusal {
	started := make(chan struct{})
	now := time.Now()
	c.mu.Lock()
	c.transfers[w.streamID] = started
	c.mu.Unlock()
	c.link.Push(transfer.Transfer{
		Attempt:  w.streamID,
		Bytes:    int64(d.KV.PromptTokens) * kvBytesPerToken,
		Deadline: now.Add(c.targetFirstToken() / 2),
		Expires:  now.Add(kvLifetime),
	})
	c.startTransfers()
	defer c.removeTransfer(w.streamID)
	timer := time.NewTimer(kvLifetime)
	defer timer.Stop()
	select {
	case <-started:
	case <-timer.C:
		return refusal.New(refusal.RanNo, refusal.KVLost, queueRetry, "the KV cache expired before its transfer")
	case <-ctx.Done():
		return w.cancelRefusal(refusal.RanNo)
	}
	return c.importKV(ctx, w, d, epoch)
}

// importKV imports the KV cache. It cancels a transfer without progress for stallAfter.
func (c *Controller) importKV(ctx context.Context, w *work, d port.Decode, epoch int) *refusal.Refusal {
	began := time.Now()
	importContext, cancelImport := context.WithCancel(ctx)
	defer cancelImport()
	stall := time.AfterFunc(stallAfter, cancelImport)
	defer stall.Stop()
	request := port.ImportWork{StreamID: w.streamID, SourceAddress: d.KV.SourceAddress, KVHandle: d.KV.Handle}
	done := false
	for progress, err := range c.engine.Import(importContext, request) {
		switch {
		case ctx.Err() != nil:
			return w.cancelRefusal(refusal.RanNo)
		case importContext.Err() != nil:
			return refusal.New(refusal.RanNo, refusal.KVLost, queueRetry, "the transfer stalled")
		case err != nil:
			return c.handleEngineError(ctx, w, err, epoch)
		}
		stall.Reset(stallAfter)
		c.link.Progress(w.streamID, progress.ReceivedBytes, time.Now())
		done = progress.Done
	}
	if !done {
		return refusal.New(refusal.RanNo, refusal.KVLost, queueRetry, "the transfer ended early")
	}
	c.link.Done(w.streamID, time.Since(began))
	return nil
}

func (c *Controller) removeTransfer(streamID string) {
	c.link.Remove(streamID)
	c.mu.Lock()
	delete(c.transfers, streamID)
	c.mu.Unlock()
	c.startTransfers()
}

// startTransfers starts as many queued transfers as the link allows.
func (c *Controller) startTransfers() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		t, found := c.link.Next(time.Now())
		if !found {
			return
		}
		if started := c.transfers[t.Attempt]; started != nil {
			close(started)
		}
	}
}

// generate emits tokens until the end of the answer. When a call fails but the engine still
// holds the stream, it resumes the stream after the last token that was emitted.
func (c *Controller) generate(ctx context.Context, w *work, d port.Decode, epoch int, emit func(port.DecodeEvent) error) *refusal.Refusal {
	var offset int64
	for resumes := 0; ; resumes++ {
		finished, err := c.streamTokens(ctx, w, d, &offset, emit)
		if finished {
			c.count(func(n *Counters) { n.Decodes++ })
			return nil
		}
		ran := refusal.RanUnknown
		if offset > 0 {
			ran = refusal.RanYes
		}
		if ctx.Err() != nil || err == nil {
			return w.cancelRefusal(ran)
		}
		if resumes >= maxResumes || !c.engineHolds(ctx, w.streamID) {
			r := c.handleEngineError(ctx, w, err, epoch)
			r.Ran = ran
			return r
		}
	}
}

// streamTokens emits tokens from *offset on, and advances *offset with each of them. It returns
// true once the end of the answer was emitted. It returns false without an error when emit
// fails, as the keeper closed the stream.
func (c *Controller) streamTokens(ctx context.Context, w *work, d port.Decode, offset *int64, emit func(port.DecodeEvent) error) (finished bool, err error) {
	request := port.DecodeWork{StreamID: w.streamID, MaxOutputTokens: d.MaxOutputTokens, Offset: *offset}
	for token, err := range c.engine.Decode(ctx, request) {
		if err != nil {
			return false, err
		}
		if token.Finished {
			return emit(port.Finished{Reason: token.FinishReason}) == nil, nil
		}
		if token.Offset != *offset {
			continue
		}
		if emit(port.Tokens{Texts: []string{token.Text}}) != nil {
			return false, nil
		}
		*offset++
		c.memory.Load().Grow(w.streamID, d.KV.PromptTokens+int(*offset))
	}
	return false, errors.New("the engine ended the stream early")
}

// engineHolds reports whether the engine responds and holds a stream.
func (c *Controller) engineHolds(ctx context.Context, streamID string) bool {
	list, err := c.engine.Streams(ctx)
	if err != nil {
		return false
	}
	for _, s := range list {
		if s.StreamID == streamID {
			return true
		}
	}
	return false
}
