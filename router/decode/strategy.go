package decode

import (
	"math/rand/v2"

	"gooseberrypin.example/router/subset"
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
		return subset.Draw(candidates, 2, random)
	case RandomOne:
		return subset.Draw(candidates, 1, random)
	case BestOfAll:
	}
	return candidates
}
