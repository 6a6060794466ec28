package port

import (
	"context"
	"time"
)

type (
	// View is what a process knows of the published state.
	View struct {
		// Revision is that of the configuration in force. Zero: none.
		Revision int64
		// Digest is the SHA-256 of its manifest, in hexadecimal.
		Digest string
		// VMsVersion is the version of the VM list. Zero: none.
		VMsVersion int64
	}

	// Update is a process's answer to a reader that may be behind.
	Update struct {
		View View
		// Manifest is set when the reader's revision is lower, or when the process
		// refused a manifest that the reader may not have seen.
		Manifest []byte
		// VMs is the VM list, set when the reader's version is lower.
		VMs []byte
	}

	// Peers reads the published state from other processes, by their fleet address.
	Peers interface {
		// Watch returns once the peer knows more than view, or when wait is over.
		Watch(ctx context.Context, address string, view View, wait time.Duration) (Update, error)
		// Part returns the part with the given SHA-256, or nil when the peer doesn't have it.
		Part(ctx context.Context, address, sha256 string) ([]byte, error)
	}
)

// Behind tells whether another view has something newer.
func (v View) Behind(other View) bool {
	return other.Revision > v.Revision || other.VMsVersion > v.VMsVersion
}

// Conflicts tells whether another view has other content under the same revision.
func (v View) Conflicts(other View) bool {
	return v.Revision != 0 && v.Revision == other.Revision && v.Digest != other.Digest
}
