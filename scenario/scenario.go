// Package scenario runs test scripts against real processes on loopback addresses.
package scenario
