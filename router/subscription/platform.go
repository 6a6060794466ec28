package subscription

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

const (
	readDone readResult = iota + 1
	readFailed
	readRefused

	// refusedPause is the mean pause while the platform serves a refused manifest.
	refusedPause = 2 * time.Second
)

type (
	readResult int
)

// watchManifests holds a watch at the platform while this process has to read it.
func (r *Reader) watchManifests(ctx context.Context) {
	for r.awaitTurn(ctx) {
		switch r.watchManifest(ctx) {
		case readFailed:
			_ = pause(ctx, r.jittered(r.options.retry))
		case readRefused:
			_ = pause(ctx, r.jittered(refusedPause))
		case readDone:
		}
	}
}

// watchManifest waits for a newer manifest, and after a wait in vain reads the one that
// has the revision in force, to notice other content under it.
func (r *Reader) watchManifest(ctx context.Context) readResult {
	after := r.View().Revision
	content, err := r.readManifest(ctx, after, r.options.platformWait)
	if err == nil && content == nil && after > 0 && r.topology().holder {
		content, err = r.readManifest(ctx, after-1, 0)
	}
	if err != nil {
		return readFailed
	}
	if content == nil {
		return readDone
	}
	c := newCandidate(content, "")
	if !r.consider(ctx, c) {
		return readFailed
	}
	if r.wasRefused(c.digest) {
		return readRefused
	}
	return readDone
}

func (r *Reader) readManifest(ctx context.Context, after int64, wait time.Duration) ([]byte, error) {
	if err := r.spend(ctx); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, wait+answerMargin)
	defer cancel()
	content, err := r.platform.Manifest(ctx, after, wait)
	r.observePlatform(err)
	return content, err
}

// watchVMs holds a watch at the platform's VM list while this process has to read it.
func (r *Reader) watchVMs(ctx context.Context) {
	for r.awaitTurn(ctx) {
		if !r.watchVMList(ctx) {
			_ = pause(ctx, r.jittered(r.options.retry))
		}
	}
}

func (r *Reader) watchVMList(ctx context.Context) bool {
	if err := r.spend(ctx); err != nil {
		return false
	}
	watch, cancel := context.WithTimeout(ctx, r.options.platformWait+answerMargin)
	defer cancel()
	content, err := r.platform.VMs(watch, r.View().VMsVersion, r.options.platformWait)
	r.observePlatform(err)
	if err != nil {
		return false
	}
	return content == nil || r.takeVMs(content)
}

// Refresh asks the holders of the data centre, or the platform when none answers, for
// anything newer. A process calls it after a pause, before it acts on the configuration.
func (r *Reader) Refresh(ctx context.Context) error {
	for _, address := range r.topology().near {
		if settled, err := r.pull(ctx, address, 0); settled && err == nil {
			return nil
		}
	}
	if r.readNow(ctx) {
		return nil
	}
	return eris.New("subscription: neither a holder nor the platform answers")
}

// readNow reads the platform without waiting for news.
func (r *Reader) readNow(ctx context.Context) bool {
	content, err := r.readManifest(ctx, r.View().Revision, 0)
	if err != nil {
		return false
	}
	return content == nil || r.consider(ctx, newCandidate(content, ""))
}

// awaitTurn blocks until this process has to read the platform: as a holder, or because
// no holder answers. It returns false when the context ends.
func (r *Reader) awaitTurn(ctx context.Context) bool {
	for ctx.Err() == nil {
		if t := r.topology(); t.holder || len(t.near) == 0 {
			return true
		}
		left := r.silence()
		if left <= 0 {
			r.logSilence()
			return true
		}
		r.awaitTopology(ctx, left+r.randomDuration(time.Second))
	}
	return false
}
