package subscription

import (
	"context"
	"time"

	"gooseberrypin.example/router/event"
)

// watchPeers keeps a watch open at one peer after the other.
func (r *Reader) watchPeers(ctx context.Context) {
	for ctx.Err() == nil {
		address := r.nextPeer()
		if address == "" {
			r.awaitVMListChange(ctx, r.options.peerWait)
			continue
		}
		settled, err := r.pull(ctx, address, r.options.peerWait)
		if err == nil {
			r.recordAnswer()
		}
		if !settled {
			_ = pause(ctx, r.jittered(r.options.retryPause))
		}
	}
}

// pull watches a peer for up to wait and applies the update. settled is false if the watch failed, the update has to
// be tried again, or the peer's view is still newer: a peer with a newer view answers the next watch at once, so the
// caller has to pause first.
func (r *Reader) pull(ctx context.Context, address string, wait time.Duration) (settled bool, err error) {
	watch, cancel := context.WithTimeout(ctx, wait+answerMargin)
	defer cancel()
	u, err := r.peers.Watch(watch, address, r.View(), wait)
	if err != nil {
		return false, err
	}
	done := r.apply(ctx, u, address)
	return done && !r.View().Behind(u.View), nil
}

// recordAnswer records the time of an answer.
func (r *Reader) recordAnswer() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastAnswer = time.Now()
	r.unresponsiveLogged = false
}

// untilHolderTimeout returns the time until the process reads the platform itself unless a holder answers. It is zero
// or less if the timeout has passed.
func (r *Reader) untilHolderTimeout() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.options.holderTimeout - time.Since(r.lastAnswer)
}

// pullPendingViews pulls from the peers that reported a newer or conflicting view, until the context ends.
func (r *Reader) pullPendingViews(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case pending := <-r.pendingViews:
			r.pullPendingView(ctx, pending)
		}
	}
}

// pullPendingView pulls from a peer if its view is still newer than this process's view or still conflicts with it.
func (r *Reader) pullPendingView(ctx context.Context, pending peerView) {
	own := r.View()
	if own.Behind(pending.view) || own.Conflicts(pending.view) {
		_, _ = r.pull(ctx, pending.address, 0)
	}
}

// awaitVMListChange waits until the VM list changes, d has passed or the context ends.
func (r *Reader) awaitVMListChange(ctx context.Context, d time.Duration) {
	changed := r.table.Changed()
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-timer.C:
	}
}

// logHoldersUnresponsive logs that no holder answers, once until the next answer.
func (r *Reader) logHoldersUnresponsive() {
	r.mu.Lock()
	logged := r.unresponsiveLogged
	r.unresponsiveLogged = true
	r.mu.Unlock()
	if !logged {
		r.log.Info(event.HoldersUnresponsive)
	}
}

// jittered returns a random duration from 0.5 d to 1.5 d.
func (r *Reader) jittered(d time.Duration) time.Duration {
	return d/2 + r.randomDuration(d)
}

// randomDuration returns a random duration from 0 to below d.
func (r *Reader) randomDuration(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.random.Int64N(int64(d)))
}
