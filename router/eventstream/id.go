package eventstream

import "math/big"

const (
	// maxIDBytes bounds the size of an ID, which is kept after its event.
	maxIDBytes = 4 << 10
)

type (
	// ID is the ID of an event: a decimal integer of any size.
	ID struct {
		// Text is the ID as it was received.
		Text string
		// Number is the value of the text.
		Number *big.Int
	}
)

// ParseID returns the ID with a text. It returns false if the text is no decimal integer, or longer than 4 KiB.
func ParseID(text string) (ID, bool) {
	if len(text) > maxIDBytes {
		return ID{}, false
	}
	n, ok := new(big.Int).SetString(text, 10)
	if !ok {
		return ID{}, false
	}
	return ID{Text: text, Number: n}, true
}

// Less reports whether an ID comes before another one.
func (i ID) Less(other ID) bool { return i.Number.Cmp(other.Number) < 0 }

// String returns the ID as it was received.
func (i ID) String() string { return i.Text }
