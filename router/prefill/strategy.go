package prefill

import (
	"math/rand/v2"
	"strconv"

	"gooseberrypin.example/router/rendezvous"
	"gooseberrypin.example/router/subset"
)

type (
	// Strategy narrows the candidates before the cheapest of them is taken.
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

	// Hashed compares the candidates that a hash of the prompt's first block points at.
	Hashed struct {
		Count int
	}
)

func (BestOfAll) strategy() {}
func (RandomTwo) strategy() {}
func (RandomOne) strategy() {}
func (Hashed) strategy()    {}

// narrow returns the candidates that a strategy compares.
func narrow(s Strategy, p Prompt, candidates []string, random *rand.Rand) []string {
	switch s := s.(type) {
	case RandomTwo:
		return subset.Draw(candidates, 2, random)
	case RandomOne:
		return subset.Draw(candidates, 1, random)
	case Hashed:
		return hashed(p, candidates, s.Count)
	case BestOfAll:
	}
	return candidates
}

func hashed(p Prompt, candidates []string, n int) []string {
	if len(p.Blocks) == 0 {
		return candidates
	}
	return rendezvous.Rank(strconv.FormatUint(p.Blocks[0], 16), candidates, n)
}
