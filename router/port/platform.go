// Package port has the interfaces by which the domain reaches the outside.
package port

import (
	"context"
	"time"
)

type (
	// Platform reads what the operators and the platform publish. Each call counts
	// against the platform's read rate, a waiting one as well.
	Platform interface {
		// Manifest returns the manifest's bytes once its revision is above after, or nil when wait is over.
		Manifest(ctx context.Context, after int64, wait time.Duration) ([]byte, error)
		// Part returns the part with the given SHA-256 in hexadecimal.
		Part(ctx context.Context, sha256 string) ([]byte, error)
		// VMs returns the list's bytes once its version is above after, or nil when wait is over.
		VMs(ctx context.Context, after int64, wait time.Duration) ([]byte, error)
	}
)
