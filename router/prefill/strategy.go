package prefill

import (
	"math/rand/v2"
	"strconv"

	"gooseberrypin.example/router/rendezvous"
	"gooseberrypin.example/router/subset"
)

type (
	// Strategy selects the candidates that are compared: BestOfAll, RandomTwo, RandomOne or Hashed.
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

	// Hashed compares the candidates that rendezvous hashing ranks highest for the prompt's first block. For a
	// prompt without a full block it compares all candidates.
	Hashed struct {
		// Count is the number of candidates to compare.
		Count int
	}
)

func (BestOfAll) strategy() {}
func (RandomTwo) strategy() {}
func (RandomOne) strategy() {}
func (Hashed) strategy()    {}

// narrow returns the candidates that a strategy selects for a prompt.
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
