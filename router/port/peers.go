package port

import (
	"context"
	"time"
)

type (
	// View identifies the published state that a process holds.
	View struct {
		// Revision is the revision of the active configuration. Zero means none.
		Revision int64
		// Digest is the SHA-256 of the configuration's manifest, in hexadecimal.
		Digest string
		// VMsVersion is the version of the VM list. Zero means none.
		VMsVersion int64
	}

	// Update is the response of a process to a reader whose state may be older.
	Update struct {
		View View
		// Manifest is set when the reader's revision is lower. It is also set when the process rejected a manifest that
		// the reader may not have received.
		Manifest []byte
		// VMs is the VM list. It is set when the reader's version is lower.
		VMs []byte
	}

	// Peers reads the published state from other processes. They are identified by their fleet address.
	Peers interface {
		// Watch returns once the peer holds newer state than view, or after wait.
		Watch(ctx context.Context, address string, view View, wait time.Duration) (Update, error)
		// Part returns the part with the given SHA-256 in hexadecimal, or nil when the peer does not have it.
		Part(ctx context.Context, address, sha256 string) ([]byte, error)
	}
)

// Behind reports whether another view has a newer configuration or VM list.
func (v View) Behind(other View) bool {
	return other.Revision > v.Revision || other.VMsVersion > v.VMsVersion
}

// Conflicts reports whether another view has the same revision with different content.
func (v View) Conflicts(other View) bool {
	return v.Revision != 0 && v.Revision == other.Revision && v.Digest != other.Digest
}
