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
	words             = 1000
	stopReason        = "stop"
	lengthReason      = "length"
)

func promptDigest(prompt string) string {
	sum := sha256.Sum256([]byte(prompt))
	return hex.EncodeToString(sum[:])
}

// outputTokens returns the length of a prompt's answer: the number in [[out=N]], or
// one drawn from the prompt.
func outputTokens(prompt string) int64 {
	marker := regexp.MustCompile(`\[\[out=(\d{1,6})\]\]`).FindStringSubmatch(prompt)
	if marker != nil {
		n, _ := strconv.ParseInt(marker[1], 10, 64)
		return max(1, n)
	}
	sum := sha256.Sum256([]byte(prompt))
	return minOutputTokens + int64(binary.BigEndian.Uint64(sum[:])%outputTokensRange)
}

// tokenText returns the token of a prompt's answer at an offset.
func tokenText(prompt string, offset int64) string {
	sum := sha256.Sum256(binary.BigEndian.AppendUint64([]byte(prompt), uint64(offset)))
	return fmt.Sprintf("w%d ", binary.BigEndian.Uint64(sum[:])%words)
}
