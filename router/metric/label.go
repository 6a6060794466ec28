package metric

import "sync"

type (
	// boundedLabels bounds the number of values of a label. It is safe for concurrent use.
	boundedLabels struct {
		max   int
		mu    sync.Mutex
		known map[string]bool
	}
)

// label returns the label value for a name: the name itself for the first max names, otherLabel for all others.
func (l *boundedLabels) label(name string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.known[name] {
		return name
	}
	if len(l.known) >= l.max {
		return otherLabel
	}
	if l.known == nil {
		l.known = make(map[string]bool)
	}
	l.known[name] = true
	return name
}
