package quarantine

import (
	"slices"
	"strings"
)

const (
	// maxCommonParts bounds the parts that are taken for common. It is the number of suspects that processes exchange.
	maxCommonParts = 28
)

type (
	// commonSet holds parts that requests often have, up to maxCommonParts. The zero value is empty.
	commonSet struct {
		parts []commonPart
		// next is the position of the part that a new one replaces, unless it was added again.
		next int
	}

	// commonPart is a part, and whether it was added again since it was last to be replaced.
	commonPart struct {
		name  string
		again bool
	}
)

// add adds a part. If the set is full, it replaces one that was not added again for longest.
func (c *commonSet) add(name string) {
	for i := range c.parts {
		if c.parts[i].name == name {
			c.parts[i].again = true
			return
		}
	}
	if len(c.parts) < maxCommonParts {
		c.parts = append(c.parts, commonPart{name: strings.Clone(name)})
		return
	}
	for c.parts[c.next].again {
		c.parts[c.next].again = false
		c.next = (c.next + 1) % len(c.parts)
	}
	c.parts[c.next] = commonPart{name: strings.Clone(name)}
	c.next = (c.next + 1) % len(c.parts)
}

// addMissing adds a part unless the set is full.
func (c *commonSet) addMissing(name string) {
	if len(c.parts) < maxCommonParts {
		c.add(name)
	}
}

// first returns the names of a number of the parts, those that were added again first.
func (c *commonSet) first(number int) []string {
	var again, once []string
	for _, part := range c.parts {
		if part.again {
			again = append(again, part.name)
		} else {
			once = append(once, part.name)
		}
	}
	names := slices.Concat(again, once)
	return names[:min(len(names), number)]
}
