// Package sidecar stands beside one upstream and owns its memory, its leases and its bookings.
package sidecar
