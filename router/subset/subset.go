// Package subset bounds how many upstreams of a pool a process talks to.
package subset

import (
	"math/rand/v2"

	"gooseberrypin.example/router/rendezvous"
)

const (
	// MaxSize is the largest number of upstreams of a pool that a process talks to.
	MaxSize = 16
	// MinSize is the smallest one, however many pools there are.
	MinSize = 4

	// pairs is the number of upstreams of all pools that a process talks to, unless there
	// are so many pools that MinSize goes before it.
	pairs = 104
)

type (
	// Member is an upstream of a pool.
	Member struct {
		Name       string
		DataCentre string
	}
)

// Size returns the number of upstreams of each pool that a process talks to, so that its
// heartbeats don't grow with the number of pools.
func Size(pools int) int {
	return min(max(pairs/max(1, pools), MinSize), MaxSize)
}

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

// Draw returns up to two candidates drawn at random: n is 1 or 2.
func Draw(candidates []string, n int, random *rand.Rand) []string {
	if len(candidates) <= n {
		return candidates
	}
	first := random.IntN(len(candidates))
	if n == 1 {
		return candidates[first : first+1]
	}
	second := random.IntN(len(candidates) - 1)
	if second >= first {
		second++
	}
	return []string{candidates[first], candidates[second]}
}
