package metric

import "sync"

type (
	// routeLabels bounds the label values that routes take.
	routeLabels struct {
		mu    sync.Mutex
		known map[string]bool
	}
)

func (l *routeLabels) label(route string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.known[route] {
		return route
	}
	if len(l.known) >= maxRoutes {
		return otherRoute
	}
	if l.known == nil {
		l.known = make(map[string]bool)
	}
	l.known[route] = true
	return route
}
