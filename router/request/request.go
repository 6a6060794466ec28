// Package request holds the requests that an entry keeps: the answer so far, and the
// one connection that receives it.
package request

import (
	"crypto/sha256"
	"encoding/hex"
	"hash"
	"strconv"

	"gooseberrypin.example/router/refusal"
)

const (
	// digestBytes of a SHA-256 identify keys and contents; they stand in each heartbeat.
	digestBytes = 16
)

type (
	// Generation is a partner's request for an answer of a model.
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
		// AnswerID names the answer that the piece belongs to.
		AnswerID   string
		Offset     int
		Tokens     []string
		Completion *Completion
	}

	// Position is how much of an answer a connection has.
	Position struct {
		// AnswerID names the answer. Empty: whichever is kept.
		AnswerID string
		Offset   int
	}

	// Completion proves that an answer is whole.
	Completion struct {
		TokenCount   int
		DigestSHA256 string
		FinishReason string
	}

	// Outcome ends a connection: Delivered or Refused.
	//
	//sumtype:decl
	Outcome interface{ outcome() }

	// Delivered tells that the whole answer was sent on.
	Delivered struct{}

	// Refused tells why it was not.
	Refused struct{ Refusal *refusal.Refusal }
)

func (Delivered) outcome() {}
func (Refused) outcome()   {}

// KeyDigest identifies a partner's key, in hexadecimal.
func KeyDigest(partner, key string) string {
	return digest(partner, key)
}

// ContentDigest identifies what a generation asks for, whatever its key, in hexadecimal.
func (g *Generation) ContentDigest() string {
	return digest(g.Model, strconv.Itoa(g.MaxOutputTokens), g.Prompt)
}

// Fingerprint identifies a partner's content, whatever its key, in hexadecimal.
func (g *Generation) Fingerprint() string {
	return digest(g.Partner, g.Model, g.Prompt)
}

// KeyDigest identifies the generation's key, in hexadecimal.
func (g *Generation) KeyDigest() string {
	return KeyDigest(g.Partner, g.Key)
}

// digest hashes parts with their lengths, so that no two lists of parts collide.
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

// CallDigest identifies what a call asks for, whatever its key, in hexadecimal.
func CallDigest(service, path string, body []byte) string {
	return digest(service, path, string(body))
}
