package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"gooseberrypin.example/router/ingress"
	"gooseberrypin.example/router/refusal"
	"gooseberrypin.example/router/reservation"
)

const (
	// stallFactor times the larger of the latency target and the longest gap of the route is how long a
	// resumable stream may stall before memory at another engine is requested for it. An engine that
	// preempts a stream sends nothing for up to a second. Callers cancel a stream after some four times the
	// target.
	stallFactor = 2
)

type (
	// heldGrant is memory at an engine that was acquired while a stream stalled at another one.
	heldGrant struct {
		reservation.Grant
		acquiredAt time.Time
	}

	// stallMonitor watches the stream of a decode that may continue at another engine. When the stream
	// stalls, it acquires memory at another engine and then cancels the decode. Until it has that memory,
	// the decode goes on, as its stream may still continue. A nil monitor does nothing. It is safe for
	// concurrent use.
	stallMonitor struct {
		generation *generation
		ctx        context.Context
		// cancelDecode cancels the decode.
		cancelDecode context.CancelFunc
		// stallTimeout is how long the engine may send nothing before a search starts.
		stallTimeout time.Duration
		timer        *time.Timer
		// isWriting is whether a write to the caller is in progress. Nothing is read from the engine meanwhile.
		isWriting atomic.Bool

		mu sync.Mutex
		// cancelSearch cancels the current search; nil if there is none.
		cancelSearch context.CancelFunc
		// grant is the memory at another engine; nil if there is none.
		grant *heldGrant
		// reservedRetries is the number of retries that are reserved to continue at the other engine.
		reservedRetries int
		stopped         bool
	}
)

// startStallMonitor starts the monitor of a decode. It returns nil for a decode that may not continue at another
// engine.
func (n *generation) startStallMonitor(ctx context.Context, cancelDecode context.CancelFunc) *stallMonitor {
	kind, ok := n.route.Kind.(ingress.Streaming)
	if !ok || !kind.Resumable || n.decodeRuns+1 >= n.route.MaxAttempts {
		return nil
	}
	s := &stallMonitor{generation: n, ctx: ctx, cancelDecode: cancelDecode, stallTimeout: stallFactor * max(n.route.TargetLatency, kind.MaxGap)}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer = time.AfterFunc(s.stallTimeout, s.search)
	return s
}

// dataReceived restarts the stall timeout and cancels a search, as the engine has sent data. It does nothing once
// the decode is cancelled.
func (s *stallMonitor) dataReceived() {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.grant != nil {
		return
	}
	if s.cancelSearch != nil {
		s.cancelSearch()
		s.cancelSearch = nil
	}
	s.timer.Reset(s.stallTimeout)
}

// setWriting records whether a write to the caller is in progress. A caller that reads slowly does not make its engine a stalled one.
func (s *stallMonitor) setWriting(isWriting bool) {
	if s != nil {
		s.isWriting.Store(isWriting)
	}
}

// decodeCancelled reports whether the monitor cancelled the decode because it has memory at another engine.
func (s *stallMonitor) decodeCancelled() bool {
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.grant != nil
}

// stop stops the monitor. It returns the memory at another engine, or nil, and the number of retries that are
// reserved to continue there.
func (s *stallMonitor) stop() (*heldGrant, int) {
	if s == nil {
		return nil, 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	s.timer.Stop()
	if s.cancelSearch != nil {
		s.cancelSearch()
	}
	return s.grant, s.reservedRetries
}

// search waits for memory at another engine until the stalled one sends data again. During a write to the caller, without a retry
// in the budget, or with quarantined content, it waits for the next stall timeout instead.
func (s *stallMonitor) search() {
	n := s.generation
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	s.mu.Lock()
	if s.stopped || s.cancelSearch != nil {
		s.mu.Unlock()
		return
	}
	if s.isWriting.Load() || n.refuseQuarantined(refusal.RanNo) != nil || !n.poolState.retryBudget.Reserve(retriesPerRound) {
		s.timer.Reset(s.stallTimeout)
		s.mu.Unlock()
		return
	}
	s.cancelSearch = cancel
	w := n.resumeWaiter(time.Now(), n.record.Upstream)
	s.mu.Unlock()
	grant, ok := n.poolState.memoryQueue.Wait(ctx, w)
	s.mu.Lock()
	defer s.mu.Unlock()
	if ok && ctx.Err() == nil {
		s.grant, s.reservedRetries, s.cancelSearch = &heldGrant{Grant: grant, acquiredAt: time.Now()}, retriesPerRound, nil
		s.cancelDecode()
		return
	}
	n.poolState.retryBudget.Return(retriesPerRound)
	if ok {
		n.gateway.upstreams.FreeReservation(grant.Member, grant.Reservation)
	}
	if ctx.Err() == nil {
		s.cancelSearch = nil
		s.timer.Reset(s.stallTimeout)
	}
}
