package answer

import (
	"crypto/sha256"
	"encoding/hex"
	"testing"

	"github.com/matryer/is"
)

type (
	piece struct {
		offset int64
		tokens []string
	}
)

func TestRecordComplete(t *testing.T) {
	tests := map[string]struct {
		earlierTokens []string
		pieces        []piece
		count         int64
		text          string
		want          State
	}{
		"in order":              {pieces: []piece{{0, []string{"a", "b"}}, {2, []string{"c"}}}, count: 3, text: "abc", want: Complete},
		"resumed":               {earlierTokens: []string{"a", "b"}, pieces: []piece{{2, []string{"c"}}}, count: 3, text: "abc", want: Complete},
		"restarted at offset 0": {pieces: []piece{{0, []string{"x", "y"}}, {0, []string{"a"}}}, count: 1, text: "a", want: Complete},
		"gap":                   {pieces: []piece{{0, []string{"a"}}, {2, []string{"c"}}}, count: 3, text: "abc", want: Wrong},
		"fewer tokens than the completion counts": {pieces: []piece{{0, []string{"a"}}}, count: 2, text: "ab", want: Wrong},
		"digest of another answer":                {pieces: []piece{{0, []string{"a", "b"}}}, count: 2, text: "xy", want: Wrong},
		"resumed with tokens of another answer":   {earlierTokens: []string{"x"}, pieces: []piece{{1, []string{"b"}}}, count: 2, text: "ab", want: Wrong},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := NewRecord()
			r.earlierTokens = test.earlierTokens
			r.beginTry()
			for _, p := range test.pieces {
				if !r.addPiece("answer", p.offset, p.tokens) {
					is.Equal(r.Answer().State, test.want)
					return
				}
			}
			sum := sha256.Sum256([]byte(test.text))
			r.complete(test.count, hex.EncodeToString(sum[:]))
			r.finish()
			is.Equal(r.Answer().State, test.want) // state of the answer
		})
	}
}
