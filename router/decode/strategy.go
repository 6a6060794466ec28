package decode

import (
	"math/rand/v2"

	"gooseberrypin.example/router/subset"
)

type (
	// Strategy selects the candidates that are compared: BestOfAll, RandomTwo or RandomOne.
	//
	//sumtype:decl
	Strategy interface {
		strategy()
	}

	// BestOfAll compares all candidates.
	BestOfAll struct{}

	// RandomTwo compares two candidates drawn at random.
	RandomTwo struct{}

	// RandomOne chooses a candidate at random.
	RandomOne struct{}
)

func (BestOfAll) strategy() {}
func (RandomTwo) strategy() {}
func (RandomOne) strategy() {}

// narrow returns the candidates that a strategy selects.
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
