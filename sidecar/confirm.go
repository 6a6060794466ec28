package sidecar

import (
	"context"
	"time"
)

const (
	confirmTimeout = 500 * time.Millisecond
	// confirmingPeers is the number of entries that are asked besides the platform.
	confirmingPeers = 2
)

// confirm reads the newest revision again, from the platform and from entries. It tells
// whether somebody answered and nobody knows a newer one; the reader takes a newer one.
func (c *Sidecar) confirm(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	view := c.reader.View()
	answered := false
	if manifest, err := c.platform.Manifest(ctx, view.Revision, 0); err == nil {
		if manifest != nil {
			return false
		}
		answered = true
	}
	for _, address := range c.entries(confirmingPeers) {
		update, err := c.peers.Watch(ctx, address, view, 0)
		if err != nil {
			continue
		}
		if update.View.Revision > view.Revision {
			c.reader.ObserveView(address, update.View)
			return false
		}
		answered = true
	}
	return answered
}
