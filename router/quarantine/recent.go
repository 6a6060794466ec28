package quarantine

import (
	"github.com/cespare/xxhash/v2"
)

const (
	// recentSetCapacity is the least number of names that a full recentSet holds.
	recentSetCapacity = 16384
)

type (
	// recentSet is a set of the names that were added last: at least recentSetCapacity, and at most twice as many. It
	// holds their digests, so that its size does not depend on the names. The zero value is empty.
	recentSet struct {
		current, previous map[uint64]struct{}
	}
)

// add adds a name. When the current names are full, they replace the previous ones.
func (s *recentSet) add(name string) {
	if s.current == nil || len(s.current) >= recentSetCapacity {
		s.previous, s.current = s.current, make(map[uint64]struct{})
	}
	s.current[xxhash.Sum64String(name)] = struct{}{}
}

// has reports whether the set holds a name.
func (s *recentSet) has(name string) bool {
	digest := xxhash.Sum64String(name)
	_, inCurrent := s.current[digest]
	_, inPrevious := s.previous[digest]
	return inCurrent || inPrevious
}
