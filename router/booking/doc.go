// Package booking decides whether a sidecar runs a non-idempotent call.
//
// The home of a key is the upstream with the highest rendezvous weight among the pool's
// members in the configuration. Its sidecar runs a key at most once. It runs a key only
// when no other sidecar can run it and when its records cover the key's creation time.
package booking
