package subscription

import (
	"context"
	"time"

	"gooseberrypin.example/router/port"
)

const (
	// maxServeWait is the longest time that a peer's watch stays open without an update.
	maxServeWait = 30 * time.Second
)

// Watch serves the watch of a peer with the given view. It returns as soon as this process has a newer configuration
// or VM list, and at the latest after wait. If there is none by then, the update contains a conflicting or rejected
// manifest that the peer does not have in force, if there is one, so that each process evaluates it itself.
func (r *Reader) Watch(ctx context.Context, view port.View, wait time.Duration) port.Update {
	end := time.Now().Add(min(wait, maxServeWait))
	for {
		changed := r.changes()
		if u := r.newerThan(view); len(u.Manifest)+len(u.VMs) > 0 {
			return u
		}
		remaining := time.Until(end)
		if remaining <= 0 {
			return r.rejectedFor(view)
		}
		select {
		case <-changed:
		case <-time.After(remaining):
		case <-ctx.Done():
			return port.Update{View: r.View()}
		}
	}
}

// Part returns a part of the configuration in force or of the newest rejected one, or nil if neither contains it.
func (r *Reader) Part(sha256 string) []byte {
	if s := r.store.Current(); s != nil {
		if content, found := s.Parts[sha256]; found {
			return content
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.newestRejected == nil {
		return nil
	}
	return r.newestRejected.parts[sha256]
}

// newerThan returns this process's view, with its manifest and VM list if they are newer than those of view.
func (r *Reader) newerThan(view port.View) port.Update {
	u := port.Update{View: r.View()}
	if s := r.store.Current(); s != nil && s.Revision > view.Revision {
		u.Manifest = s.Manifest
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.vmsVersion > view.VMsVersion {
		u.VMs = r.vms
	}
	return u
}

// rejectedFor returns this process's view with a manifest that a peer has to evaluate. It is the one in force if that
// conflicts with the peer's view. Otherwise it is the newest rejected one, unless the peer has that manifest or a
// higher revision in force. A rejected manifest without a valid revision is sent to each peer.
func (r *Reader) rejectedFor(view port.View) port.Update {
	u := port.Update{View: r.View()}
	if u.View.Conflicts(view) {
		u.Manifest = r.store.Current().Manifest
		return u
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.newestRejected != nil && (r.newestRejected.revision == 0 || r.newestRejected.revision >= view.Revision) && r.newestRejected.digest != view.Digest {
		u.Manifest = r.newestRejected.manifest
	}
	return u
}

// changes returns a channel that is closed when a newer configuration or VM list is installed.
func (r *Reader) changes() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}
