// Package subset bounds how many upstreams of a pool a process talks to.
package subset

import (
	"gooseberrypin.example/router/rendezvous"
)

const (
	// DefaultSize is the number of upstreams of a pool that a process talks to.
	DefaultSize = 16
)

type (
	// Member is an upstream of a pool.
	Member struct {
		Name       string
		DataCentre string
	}
)

// Select returns up to size members for a process, those of its own data centre first.
// Each process ranks by its own name, so that the pool's load spreads evenly.
func Select(process, dataCentre string, members []Member, size int) []string {
	near := make([]string, 0, len(members))
	far := make([]string, 0, len(members))
	for _, m := range members {
		if m.DataCentre == dataCentre {
			near = append(near, m.Name)
		} else {
			far = append(far, m.Name)
		}
	}
	selected := rendezvous.Rank(process, near, size)
	return append(selected, rendezvous.Rank(process, far, size-len(selected))...)
}
