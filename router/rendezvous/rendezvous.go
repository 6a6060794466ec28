// Package rendezvous implements rendezvous hashing: it ranks names for a key by highest random weight.
// Processes with the same list of names get the same ranking without communication.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

type (
	scored struct {
		name  string
		score uint64
	}
)

// Score returns the weight of a name for a key, a hash of both.
func Score(key, name string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(name)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(key)
	return d.Sum64()
}

// Rank returns up to n names by weight for a key, the highest first. Equal weights are ordered by name.
func Rank(key string, names []string, n int) []string {
	list := make([]scored, 0, len(names))
	for _, name := range names {
		list = append(list, scored{name: name, score: Score(key, name)})
	}
	slices.SortFunc(list, func(a, b scored) int {
		if a.score != b.score {
			return cmp.Compare(b.score, a.score)
		}
		return cmp.Compare(a.name, b.name)
	})
	ranked := make([]string, 0, min(n, len(list)))
	for _, s := range list[:min(n, len(list))] {
		ranked = append(ranked, s.name)
	}
	return ranked
}

// Winner returns the name with the highest weight for a key, or "" when there are no names. It returns
// the same name as Rank with n = 1, without allocations.
func Winner(key string, names []string) string {
	winner, best := "", uint64(0)
	for _, name := range names {
		score := Score(key, name)
		if winner == "" || score > best || (score == best && name < winner) {
			winner, best = name, score
		}
	}
	return winner
}
