package sidecar

import (
	"context"
	"time"
)

const (
	confirmTimeout = 500 * time.Millisecond
	// maxConfirmingEntries is the maximum number of entries that are asked besides the platform.
	maxConfirmingEntries = 2
)

// confirmRevision asks the platform and up to maxConfirmingEntries entries for a revision newer
// than the one in force. It returns true if at least one of them answered and none has a newer
// revision. The newer view of an entry is passed to the reader.
func (c *Sidecar) confirmRevision(ctx context.Context) bool {
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
	for _, address := range c.entryAddresses(maxConfirmingEntries) {
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
