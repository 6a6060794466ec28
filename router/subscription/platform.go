package subscription

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// readDone is a read after which the next watch may start at once.
	readDone readResult = iota + 1
	// readFailed is a read that failed or has to be tried again.
	readFailed
	// readRejected is a read that returned a rejected manifest.
	readRejected

	// rejectedPause is the mean pause between reads while the platform serves a rejected manifest.
	rejectedPause = 2 * time.Second
)

type (
	// readResult is the outcome of a watch of the manifest. It selects the pause before the next watch.
	readResult int
)

// watchManifests watches the platform's manifest while this process has to read the platform.
func (r *Reader) watchManifests(ctx context.Context) {
	for r.awaitPlatformReads(ctx) {
		switch r.watchManifest(ctx) {
		case readFailed:
			_ = pause(ctx, r.jittered(r.options.retryPause))
		case readRejected:
			_ = pause(ctx, r.jittered(rejectedPause))
		case readDone:
		}
	}
}

// watchManifest waits for a newer manifest and evaluates it. If there is none within the wait, a holder reads the
// manifest with the revision in force, to detect other content under the same revision.
func (r *Reader) watchManifest(ctx context.Context) readResult {
	after := r.View().Revision
	content, err := r.readManifest(ctx, after, r.options.platformWait)
	if err == nil && content == nil && after > 0 && r.topology().isHolder {
		content, err = r.readManifest(ctx, after-1, 0)
	}
	if err != nil {
		return readFailed
	}
	if content == nil {
		return readDone
	}
	c := newCandidate(content, "")
	if !r.evaluate(ctx, c) {
		return readFailed
	}
	if r.wasRejected(c.digest) {
		return readRejected
	}
	return readDone
}

// readManifest returns the manifest with a revision above after, or nil if there is none within wait. It waits for the
// read budget first.
func (r *Reader) readManifest(ctx context.Context, after int64, wait time.Duration) ([]byte, error) {
	if err := r.awaitReadBudget(ctx); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, wait+answerMargin)
	defer cancel()
	content, err := r.platform.Manifest(ctx, after, wait)
	r.observePlatform(err)
	return content, err
}

// watchVMs watches the platform's VM list while this process has to read the platform.
func (r *Reader) watchVMs(ctx context.Context) {
	for r.awaitPlatformReads(ctx) {
		if !r.watchVMList(ctx) {
			_ = pause(ctx, r.jittered(r.options.retryPause))
		}
	}
}

// watchVMList waits for a newer VM list and installs it. It returns false if the read failed or the list is invalid.
func (r *Reader) watchVMList(ctx context.Context) bool {
	if err := r.awaitReadBudget(ctx); err != nil {
		return false
	}
	watch, cancel := context.WithTimeout(ctx, r.options.platformWait+answerMargin)
	defer cancel()
	content, err := r.platform.VMs(watch, r.View().VMsVersion, r.options.platformWait)
	r.observePlatform(err)
	if err != nil {
		return false
	}
	return content == nil || r.installVMs(content)
}

// Refresh installs a newer configuration if there is one. It asks the holders of the data centre, or the platform if
// none of them answers, and returns an error if the platform does not answer either. It is for a process that
// continues after a pause, before it acts on its configuration.
func (r *Reader) Refresh(ctx context.Context) error {
	for _, address := range r.topology().localHolders {
		if settled, err := r.pull(ctx, address, 0); settled && err == nil {
			return nil
		}
	}
	if r.readWithoutWait(ctx) {
		return nil
	}
	return eris.New("subscription: neither a holder nor the platform answers")
}

// readWithoutWait reads a newer manifest from the platform, if there is one, and evaluates it. It does not wait for an
// update. It returns false if the read failed or has to be tried again.
func (r *Reader) readWithoutWait(ctx context.Context) bool {
	content, err := r.readManifest(ctx, r.View().Revision, 0)
	if err != nil {
		return false
	}
	return content == nil || r.evaluate(ctx, newCandidate(content, ""))
}

// awaitPlatformReads blocks until this process has to read the platform: because it is a holder, the data centre has
// no holder, or no holder answers. It returns false if the context ends first.
func (r *Reader) awaitPlatformReads(ctx context.Context) bool {
	for ctx.Err() == nil {
		if t := r.topology(); t.isHolder || len(t.localHolders) == 0 {
			return true
		}
		remaining := r.untilHolderTimeout()
		if remaining <= 0 {
			r.logHoldersUnresponsive()
			return true
		}
		r.awaitVMListChange(ctx, remaining+r.randomDuration(time.Second))
	}
	return false
}
