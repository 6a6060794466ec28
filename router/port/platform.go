// Package port defines the interfaces through which the domain packages call engines, sidecars, services, peers and the
// platform.
package port

import (
	"context"
	"time"
)

type (
	// Platform reads the configuration and the VM list from the platform. Each call counts against the platform's limit
	// on the read rate, including calls that wait.
	Platform interface {
		// Manifest returns the encoded manifest once its revision is above after, or nil after wait.
		Manifest(ctx context.Context, after int64, wait time.Duration) ([]byte, error)
		// Part returns the content of the configuration part with the given SHA-256 in hexadecimal.
		Part(ctx context.Context, sha256 string) ([]byte, error)
		// VMs returns the encoded VM list once its version is above after, or nil after wait.
		VMs(ctx context.Context, after int64, wait time.Duration) ([]byte, error)
	}
)
