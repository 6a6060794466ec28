package partner

import (
	"math/rand/v2"
	"time"

	"github.com/google/uuid"
)

type (
	// Request is a Generation or a Call.
	//sumtype:decl
	Request interface {
		key() string
	}

	// Generation is a request for a generated answer of a model.
	Generation struct {
		Key             string
		Model           string
		Prompt          string
		MaxOutputTokens int32
	}

	// Call is a request to a plain service.
	Call struct {
		Key     string
		Service string
		Path    string
		Body    []byte
	}
)

// NewKey returns a UUIDv7 with the given creation time.
func NewKey(created time.Time, r *rand.Rand) string {
	var id uuid.UUID
	ms := created.UnixMilli()
	for i := range 6 {
		id[i] = byte(ms >> (40 - 8*i))
	}
	for i := 6; i < len(id); i++ {
		id[i] = byte(r.Uint32())
	}
	id[6] = id[6]&0x0f | 0x70
	id[8] = id[8]&0x3f | 0x80
	return id.String()
}

func (g Generation) key() string { return g.Key }
func (c Call) key() string       { return c.Key }
