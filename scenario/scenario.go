// Package scenario runs scripts against real processes on loopback.
package scenario
