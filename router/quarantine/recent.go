package quarantine

const (
	// recentSetCapacity is the least number of names that a full recentSet holds.
	recentSetCapacity = 8192
)

type (
	// recentSet is a set of the names that were added last: at least recentSetCapacity, and at most twice as many. The
	// zero value is empty.
	recentSet struct {
		current, previous map[string]struct{}
	}
)

// add adds a name. When the current names are full, they replace the previous ones.
func (s *recentSet) add(name string) {
	if s.current == nil || len(s.current) >= recentSetCapacity {
		s.previous, s.current = s.current, make(map[string]struct{})
	}
	s.current[name] = struct{}{}
}

// has reports whether the set holds a name.
func (s *recentSet) has(name string) bool {
	_, inCurrent := s.current[name]
	_, inPrevious := s.previous[name]
	return inCurrent || inPrevious
}
