package engine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"regexp"
	"strconv"
)

const (
	minOutputTokens   = 8
	outputTokensRange = 64
	vocabularySize    = 1000
	stopReason        = "stop"
	lengthReason      = "length"
)

// promptDigest returns the SHA-256 of a prompt in hexadecimal.
func promptDigest(prompt string) string {
	sum := sha256.Sum256([]byte(prompt))
	return hex.EncodeToString(sum[:])
}

// outputTokens returns the number of tokens in the answer to a prompt. That is N if the prompt contains
// [[out=N]], otherwise a number derived from a hash of the prompt.
func outputTokens(prompt string) int64 {
	marker := regexp.MustCompile(`\[\[out=(\d{1,6})\]\]`).FindStringSubmatch(prompt)
	if marker != nil {
		n, _ := strconv.ParseInt(marker[1], 10, 64)
		return max(1, n)
	}
	sum := sha256.Sum256([]byte(prompt))
	return minOutputTokens + int64(binary.BigEndian.Uint64(sum[:])%outputTokensRange)
}

// tokenText returns the token at an offset of the answer to a prompt. It depends on these two alone, so that all
// engines generate the same answer.
func tokenText(prompt string, offset int64) string {
	sum := sha256.Sum256(binary.BigEndian.AppendUint64([]byte(prompt), uint64(offset)))
	return fmt.Sprintf("w%d ", binary.BigEndian.Uint64(sum[:])%vocabularySize)
}
