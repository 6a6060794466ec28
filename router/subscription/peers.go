package subscription

import (
	"context"
	"time"

	"gooseberrypin.example/router/event"
)

// watchPeers holds a watch at one peer after the other.
func (r *Reader) watchPeers(ctx context.Context) {
	for ctx.Err() == nil {
		address := r.source()
		if address == "" {
			r.awaitTopology(ctx, r.options.peerWait)
			continue
		}
		settled, err := r.pull(ctx, address, r.options.peerWait)
		if err == nil {
			r.confirm()
		}
		if !settled {
			_ = pause(ctx, r.jittered(r.options.retry))
		}
	}
}

// pull takes what a peer knows more. It isn't settled when the peer still knows more
// afterwards, as its next answer would come at once.
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

// confirm notes that a holder answered.
func (r *Reader) confirm() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.heard = time.Now()
	r.silent = false
}

// silence returns how long the process still relies on peers. Zero or less: no peer
// answered for too long.
func (r *Reader) silence() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.options.silence - time.Since(r.heard)
}

// takeOffers pulls from peers whose heartbeats show something newer.
func (r *Reader) takeOffers(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case o := <-r.offers:
			r.takeOffer(ctx, o)
		}
	}
}

func (r *Reader) takeOffer(ctx context.Context, o offer) {
	own := r.View()
	if own.Behind(o.view) || own.Conflicts(o.view) {
		_, _ = r.pull(ctx, o.address, 0)
	}
}

// awaitTopology waits until the VM list changes or d is over.
func (r *Reader) awaitTopology(ctx context.Context, d time.Duration) {
	changed := r.table.Changed()
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-timer.C:
	}
}

// logSilence logs once that no holder answers.
func (r *Reader) logSilence() {
	r.mu.Lock()
	was := r.silent
	r.silent = true
	r.mu.Unlock()
	if !was {
		r.log.Info(event.HoldersUnresponsive)
	}
}

// jittered returns a random time around d, from half to one and a half.
func (r *Reader) jittered(d time.Duration) time.Duration {
	return d/2 + r.randomDuration(d)
}

func (r *Reader) randomDuration(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.random.Int64N(int64(d)))
}
