package ingress

import (
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

type (
	// Table finds the route of a request in one configuration.
	Table struct {
		Configuration *Configuration
		// InForceSince is when the configuration came in force here.
		InForceSince time.Time
		byHost       map[string][]*Route
	}

	// Store holds the newest configuration. Versions only rise. The zero value holds none.
	Store struct {
		mu      sync.Mutex
		current atomic.Pointer[Table]
	}
)

// NewTable indexes a checked configuration.
func NewTable(c *Configuration) *Table {
	t := &Table{Configuration: c, InForceSince: time.Now(), byHost: make(map[string][]*Route)}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t
}

// Match returns the route of the host with the longest prefix of path, or nil.
func (t *Table) Match(host, path string) *Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, r := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Pick draws the pool of one request by weight.
func (r *Route) Pick(random *rand.Rand) string {
	total := 0
	for _, b := range r.Shares {
		total += b.Weight
	}
	drawn := random.IntN(max(total, 1))
	for _, b := range r.Shares {
		if drawn < b.Weight {
			return b.Pool
		}
		drawn -= b.Weight
	}
	return r.Shares[len(r.Shares)-1].Pool
}

// Put takes a checked configuration if its version is higher than the one in force, and reports
// whether it did.
func (s *Store) Put(c *Configuration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t := s.current.Load(); t != nil && t.Configuration.Version >= c.Version {
		return false
	}
	s.current.Store(NewTable(c))
	return true
}

// Current returns the table in force, or nil before the first.
func (s *Store) Current() *Table {
	return s.current.Load()
}
