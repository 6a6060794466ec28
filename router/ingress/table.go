package ingress

import (
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"gooseberrypin.example/router/access"
)

type (
	// Table looks up the routes of one configuration.
	Table struct {
		Configuration *Configuration
		// InForceSince is the time at which the configuration came into force in this process.
		InForceSince time.Time
		// byHost contains the routes of each host in lower case, the longest prefix first.
		byHost map[string][]*Route
		// byKey contains the customer of each key.
		byKey      map[access.Digest]*Customer
		priorities priorities
	}

	// Store holds the newest configuration. Its version only increases. The zero value is an empty store. A
	// store is safe for concurrent use.
	Store struct {
		mu      sync.Mutex
		current atomic.Pointer[Table]
	}
)

// NewTable returns the table of a configuration that passed Check. It is in force from now on.
func NewTable(c *Configuration) *Table {
	t := &Table{Configuration: c, InForceSince: time.Now(), byHost: make(map[string][]*Route), byKey: make(map[access.Digest]*Customer), priorities: newPriorities(c)}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range c.Customers {
		for _, key := range c.Customers[i].Keys {
			t.byKey[key] = &c.Customers[i]
		}
	}
	return t
}

// HasCustomers reports whether customers are in force, so that routes that are not public need a customer's key.
func (t *Table) HasCustomers() bool {
	return len(t.Configuration.Customers) > 0
}

// Customer returns the customer of a key, or nil if the key is unknown.
func (t *Table) Customer(key access.Digest) *Customer {
	return t.byKey[key]
}

// Match returns the route of the host with the longest matching prefix of the path, or nil. A port in host is
// ignored, and so is its case.
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

// Pick returns the pool for a request. It is drawn at random in proportion to the weights.
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

// Put puts a configuration that passed Check into force if its version is higher than that of the configuration
// in force. It reports whether it did.
func (s *Store) Put(c *Configuration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t := s.current.Load(); t != nil && t.Configuration.Version >= c.Version {
		return false
	}
	s.current.Store(NewTable(c))
	return true
}

// Current returns the table of the configuration in force, or nil if there is none yet.
func (s *Store) Current() *Table {
	return s.current.Load()
}
