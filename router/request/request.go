// Package request holds the requests that an entry works on: for each idempotency key, the answer so
// far and the one connection that receives it.
package request

import (
	"crypto/sha256"
	"encoding/hex"
	"hash"
	"strconv"

	"gooseberrypin.example/router/refusal"
)

const (
	// digestBytes is the length to which SHA-256 digests of keys and contents are truncated, since
	// every heartbeat carries them.
	digestBytes = 16
)

type (
	// Generation is a partner's request for an answer from a model.
	Generation struct {
		Partner         string
		Key             string
		Rule            string
		Model           string
		Prompt          string
		MaxOutputTokens int
	}

	// Piece is a run of consecutive tokens, the completion, or both.
	Piece struct {
		// AnswerID identifies the answer that the piece belongs to.
		AnswerID string
		// Offset is the number of tokens of the answer before the piece.
		Offset     int
		Tokens     []string
		Completion *Completion
	}

	// Position is the part of an answer that a caller already has.
	Position struct {
		// AnswerID identifies the answer. An empty ID selects the answer that the record holds.
		AnswerID string
		// Offset is the number of tokens that the caller has.
		Offset int
	}

	// Completion lets the caller verify that its answer is complete.
	Completion struct {
		TokenCount int
		// DigestSHA256 is the digest of the concatenated tokens, in hexadecimal.
		DigestSHA256 string
		FinishReason string
	}

	// Outcome is the result of a connection: Delivered or Refused.
	//
	//sumtype:decl
	Outcome interface{ outcome() }

	// Delivered means that the complete answer was sent to the caller.
	Delivered struct{}

	// Refused means that it was not, and holds the reason.
	Refused struct{ Refusal *refusal.Refusal }
)

func (Delivered) outcome() {}
func (Refused) outcome()   {}

// KeyDigest returns a digest that identifies a partner's idempotency key, in hexadecimal.
func KeyDigest(partner, key string) string {
	return digest(partner, key)
}

// ContentDigest returns a digest of the model, the output limit and the prompt, in hexadecimal. It does
// not depend on the key.
func (g *Generation) ContentDigest() string {
	return digest(g.Model, strconv.Itoa(g.MaxOutputTokens), g.Prompt)
}

// Fingerprint returns a digest of the partner, the model and the prompt, in hexadecimal. It does not
// depend on the key.
func (g *Generation) Fingerprint() string {
	return digest(g.Partner, g.Model, g.Prompt)
}

// KeyDigest returns the digest of the generation's key, in hexadecimal.
func (g *Generation) KeyDigest() string {
	return KeyDigest(g.Partner, g.Key)
}

// digest returns a hash of the parts and their lengths, in hexadecimal. The lengths keep lists apart
// that concatenate to the same text.
func digest(parts ...string) string {
	h := sha256.New()
	for _, p := range parts {
		writePart(h, p)
	}
	return hex.EncodeToString(h.Sum(nil)[:digestBytes])
}

func writePart(h hash.Hash, part string) {
	_, _ = h.Write([]byte(strconv.Itoa(len(part)) + ":"))
	_, _ = h.Write([]byte(part))
}

// CallDigest returns a digest of a call's service, path and body, in hexadecimal. It does not depend on
// the key.
func CallDigest(service, path string, body []byte) string {
	return digest(service, path, string(body))
}
