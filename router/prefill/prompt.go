// Package prefill decides where a prompt's KV cache is computed and in which order.
package prefill

import (
	"github.com/cespare/xxhash/v2"
)

const (
	// BlockTokens is the number of tokens that one prefix hash covers.
	BlockTokens = 256
	// TokenBytes is the mean length of a token in bytes.
	TokenBytes = 4

	blockBytes = BlockTokens * TokenBytes
	hashBytes  = 8
	byteBits   = 8
)

type (
	// Prompt is what the decisions need to know of a prompt.
	Prompt struct {
		Tokens int
		// Blocks are the hashes of its prefixes, the shortest first.
		Blocks []uint64
	}
)

// NewPrompt returns the size and the prefix hashes of a prompt's text.
func NewPrompt(text string) Prompt {
	return Prompt{Tokens: Tokens(text), Blocks: Blocks(text)}
}

// Tokens estimates the number of tokens of a prompt.
func Tokens(prompt string) int {
	return max(1, len(prompt)/TokenBytes)
}

// Blocks returns one hash for each whole block of tokens. Each hash covers the prompt
// from its start, so that equal hashes mean equal prefixes.
func Blocks(prompt string) []uint64 {
	blocks := make([]uint64, 0, len(prompt)/blockBytes)
	var previous uint64
	for start := 0; start+blockBytes <= len(prompt); start += blockBytes {
		previous = chain(previous, prompt[start:start+blockBytes])
		blocks = append(blocks, previous)
	}
	return blocks
}

func chain(previous uint64, block string) uint64 {
	var seed [hashBytes]byte
	for i := range seed {
		seed[i] = byte(previous >> (byteBits * i))
	}
	d := xxhash.New()
	_, _ = d.Write(seed[:])
	_, _ = d.WriteString(block)
	return d.Sum64()
}
