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
	kvLife        = 800 * time.Millisecond
	cancelTimeout = 2 * time.Second
	// maxResumes bounds how often a broken connection to a living engine is resumed.
	maxResumes = 3
)

// Reserve holds decode memory for an attempt until Decode, at most for its hold time.
func (c *Controller) Reserve(r port.Reservation) *refusal.Refusal {
	if refused := c.admit(configuration.RoleDecode, r.Model, r.Fingerprint); refused != nil {
		return refused
	}
	w, refused := c.begin(r.Attempt, r.Keeper, r.Fingerprint, reserved)
	if refused != nil {
		return refused
	}
	hold := r.Hold
	if hold <= 0 {
		hold = defaultHold
	}
	c.memory.Load().SetLimit(c.pace.Load().Limit())
	refused = c.memory.Load().Reserve(w.item, r.PromptTokens, r.MaxOutputTokens, min(hold, maxHold), time.Now())
	if refused != nil {
		c.leave(w, reserved)
	}
	return refused
}

// Decode imports the KV cache of a reserved attempt and emits its tokens. Whatever ends
// it, the engine's memory is freed at once.
func (c *Controller) Decode(ctx context.Context, d port.Decode, emit func(port.DecodeEvent) error) *refusal.Refusal {
	w, r := c.begin(d.Attempt, d.Keeper, d.Fingerprint, decoding)
	if r != nil {
		return r
	}
	defer c.leave(w, decoding|reserved)
	if r := c.memory.Load().Start(w.item, time.Now()); r != nil {
		return r
	}
	defer c.free(w)
	ctx, cancel := w.join(ctx)
	defer cancel()
	epoch := c.execute(w)
	defer c.executed(w)
	if r := c.transfer(ctx, w, d, epoch); r != nil {
		return r
	}
	return c.generate(ctx, w, d, epoch, emit)
}

// free cancels the engine's stream and only then gives its memory to others.
func (c *Controller) free(w *work) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	if err := c.engine.Cancel(ctx, w.item); err != nil {
		c.cancelFailed(err, w.item)
	}
	c.memory.Load().Release(w.item)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.close(w.attempt)
}

// transfer waits for a turn on the link and pulls the KV cache.
func (c *Controller) transfer(ctx context.Context, w *work, d port.Decode, epoch int) *refusal.Refusal {
	turn := make(chan struct{})
	now := time.Now()
	c.mu.Lock()
	c.transfers[w.item] = turn
	c.mu.Unlock()
	c.link.Push(transfer.Transfer{
		Attempt:  w.item,
		Bytes:    int64(d.KV.PromptTokens) * kvBytesPerToken,
		Deadline: now.Add(c.firstToken() / 2),
		Expires:  now.Add(kvLife),
	})
	c.giveTurns()
	defer c.endTransfer(w.item)
	timer := time.NewTimer(kvLife)
	defer timer.Stop()
	select {
	case <-turn:
	case <-timer.C:
		return refusal.New(refusal.RanNo, refusal.KVLost, queueRetry, "the KV cache expired before its transfer")
	case <-ctx.Done():
		return w.ended(refusal.RanNo)
	}
	return c.pull(ctx, w, d, epoch)
}

// pull ends a transfer that makes no progress.
func (c *Controller) pull(ctx context.Context, w *work, d port.Decode, epoch int) *refusal.Refusal {
	began := time.Now()
	pulling, cancel := context.WithCancel(ctx)
	defer cancel()
	stall := time.AfterFunc(stallAfter, cancel)
	defer stall.Stop()
	request := port.ImportWork{StreamID: w.item, SourceAddress: d.KV.SourceAddress, KVHandle: d.KV.Handle}
	done := false
	for progress, err := range c.engine.Import(pulling, request) {
		switch {
		case ctx.Err() != nil:
			return w.ended(refusal.RanNo)
		case pulling.Err() != nil:
			return refusal.New(refusal.RanNo, refusal.KVLost, queueRetry, "the transfer stalled")
		case err != nil:
			return c.failed(ctx, w, err, epoch)
		}
		stall.Reset(stallAfter)
		c.link.Progress(w.item, progress.ReceivedBytes, time.Now())
		done = progress.Done
	}
	if !done {
		return refusal.New(refusal.RanNo, refusal.KVLost, queueRetry, "the transfer ended early")
	}
	c.link.Done(w.item, time.Since(began))
	return nil
}

func (c *Controller) endTransfer(item string) {
	c.link.Remove(item)
	c.mu.Lock()
	delete(c.transfers, item)
	c.mu.Unlock()
	c.giveTurns()
}

func (c *Controller) giveTurns() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		t, found := c.link.Next(time.Now())
		if !found {
			return
		}
		if turn := c.transfers[t.Attempt]; turn != nil {
			close(turn)
		}
	}
}

// generate emits tokens, and resumes when only the connection to the engine broke.
func (c *Controller) generate(ctx context.Context, w *work, d port.Decode, epoch int, emit func(port.DecodeEvent) error) *refusal.Refusal {
	var offset int64
	for resumes := 0; ; resumes++ {
		finished, err := c.tokens(ctx, w, d, &offset, emit)
		if finished {
			c.count(func(n *Counters) { n.Decodes++ })
			return nil
		}
		ran := refusal.RanUnknown
		if offset > 0 {
			ran = refusal.RanYes
		}
		if ctx.Err() != nil || err == nil {
			return w.ended(ran)
		}
		if resumes >= maxResumes || !c.holds(ctx, w.item) {
			r := c.failed(ctx, w, err, epoch)
			r.Ran = ran
			return r
		}
	}
}

// tokens emits tokens from an offset on until the end, an error or a closed stream.
func (c *Controller) tokens(ctx context.Context, w *work, d port.Decode, offset *int64, emit func(port.DecodeEvent) error) (finished bool, err error) {
	request := port.DecodeWork{StreamID: w.item, MaxOutputTokens: d.MaxOutputTokens, Offset: *offset}
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
		c.memory.Load().Grow(w.item, d.KV.PromptTokens+int(*offset))
	}
	return false, errors.New("the engine ended the stream early")
}

// holds tells whether the engine lives and still has a stream.
func (c *Controller) holds(ctx context.Context, item string) bool {
	list, err := c.engine.Streams(ctx)
	if err != nil {
		return false
	}
	for _, s := range list {
		if s.StreamID == item {
			return true
		}
	}
	return false
}
