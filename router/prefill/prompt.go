// Package prefill chooses the upstream that prefills a prompt, and orders the prefills of one upstream.
package prefill

import (
	"github.com/cespare/xxhash/v2"
)

const (
	// BlockTokens is the number of tokens that one prefix hash covers.
	BlockTokens = 256
	// TokenBytes is the assumed mean length of a token in bytes.
	TokenBytes = 4

	blockBytes = BlockTokens * TokenBytes
	hashBytes  = 8
	byteBits   = 8
)

type (
	// Prompt is the size of a prompt and the hashes of its prefixes.
	Prompt struct {
		// Tokens is the estimated number of tokens.
		Tokens int
		// Blocks are the hashes of the prefixes of one, two and more blocks of BlockTokens tokens.
		Blocks []uint64
	}
)

// NewPrompt returns the estimated size and the prefix hashes of a prompt's text.
func NewPrompt(text string) Prompt {
	return Prompt{Tokens: Tokens(text), Blocks: Blocks(text)}
}

// Tokens returns the estimated number of tokens of a prompt, at least 1.
func Tokens(prompt string) int {
	return max(1, len(prompt)/TokenBytes)
}

// Blocks returns one hash for each full block of BlockTokens tokens. Each hash covers the prompt from its start
// to the end of the block, so equal hashes mean equal prefixes.
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
