package subscription

import (
	"context"
	"time"

	"gooseberrypin.example/router/port"
)

const (
	// maxServeWait bounds the wait of a peer's watch.
	maxServeWait = 30 * time.Second
)

// Watch answers a peer's watch: at once when this process knows more than view, else when
// it learns more or the wait is over. An answer without news carries a refused manifest
// that the peer has not in force, so that each process judges it by itself.
func (r *Reader) Watch(ctx context.Context, view port.View, wait time.Duration) port.Update {
	timer := time.NewTimer(min(max(wait, 0), maxServeWait))
	defer timer.Stop()
	for {
		changed := r.changes()
		if u := r.newsFor(view); len(u.Manifest)+len(u.VMs) > 0 {
			return u
		}
		select {
		case <-changed:
		case <-timer.C:
			return r.refusedFor(view)
		case <-ctx.Done():
			return port.Update{View: r.View()}
		}
	}
}

// Part returns a part of the configuration in force or of the newest refused one, or nil.
func (r *Reader) Part(sha256 string) []byte {
	if s := r.store.Current(); s != nil {
		if content, found := s.Parts[sha256]; found {
			return content
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.rejected == nil {
		return nil
	}
	return r.rejected.parts[sha256]
}

func (r *Reader) newsFor(view port.View) port.Update {
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

func (r *Reader) refusedFor(view port.View) port.Update {
	u := port.Update{View: r.View()}
	if u.View.Conflicts(view) {
		u.Manifest = r.store.Current().Manifest
		return u
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.rejected != nil && (r.rejected.revision == 0 || r.rejected.revision >= view.Revision) && r.rejected.digest != view.Digest {
		u.Manifest = r.rejected.manifest
	}
	return u
}

// changes returns a channel that is closed when the process learns more.
func (r *Reader) changes() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}
