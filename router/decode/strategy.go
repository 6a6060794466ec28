package decode

import (
	"math/rand/v2"
)

type (
	// Strategy narrows the candidates before the roomiest of them is taken.
	//
	//sumtype:decl
	Strategy interface {
		strategy()
	}

	// BestOfAll compares all candidates.
	BestOfAll struct{}

	// RandomTwo compares two candidates drawn at random.
	RandomTwo struct{}

	// RandomOne takes a candidate at random.
	RandomOne struct{}
)

func (BestOfAll) strategy() {}
func (RandomTwo) strategy() {}
func (RandomOne) strategy() {}

// narrow returns the candidates that a strategy compares.
func narrow(s Strategy, candidates []string, random *rand.Rand) []string {
	switch s.(type) {
	case RandomTwo:
		return draw(candidates, 2, random)
	case RandomOne:
		return draw(candidates, 1, random)
	case BestOfAll:
	}
	return candidates
}

func draw(candidates []string, n int, random *rand.Rand) []string {
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
