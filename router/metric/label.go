package metric

import "sync"

type (
	// routeLabels bounds the number of values of the route label. It is safe for concurrent use.
	routeLabels struct {
		mu    sync.Mutex
		known map[string]bool
	}
)

// label returns the label value for a route: its name for the first maxRoutes routes, otherRoute for all others.
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
