// Package subset limits the number of upstreams of a pool that a process connects to.
package subset

import (
	"math/rand/v2"

	"gooseberrypin.example/router/rendezvous"
)

const (
	// MaxSize is the largest number of upstreams of a pool that a process connects to.
	MaxSize = 16
	// MinSize is the smallest such number, unless the pool has fewer members. It applies however many
	// pools there are.
	MinSize = 4

	// totalUpstreams is the number of upstreams of all pools together that a process connects to. It is
	// exceeded when there are so many pools that MinSize applies.
	totalUpstreams = 104
)

type (
	// Member is an upstream of a pool.
	Member struct {
		Name       string
		DataCentre string
	}
)

// Size returns the number of upstreams of each pool that a process connects to. It shrinks as the
// number of pools grows, so that the number of heartbeats doesn't grow with it.
func Size(pools int) int {
	return min(max(totalUpstreams/max(1, pools), MinSize), MaxSize)
}

// Select returns the names of up to size members for a process, those of its own data centre first.
// Each process ranks the members by its own name, so that the load spreads evenly over the pool.
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

// Draw returns n different candidates drawn at random, or all of them if there are no more than n. n is
// 1 or 2.
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
