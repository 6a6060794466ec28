package contention

import (
	"slices"
	"sync"
	"time"

	"gooseberrypin.example/router/quota"
)

const (
	// MaxLoadAge is the age from which load figures are not used. Entries report each half second, in large fleets more
	// rarely.
	MaxLoadAge = 5 * time.Second
	// surePart is the part of a fair share that comes before what others send beyond theirs. The shares add up to all that
	// is granted, and at full load no request would be sure of memory in time.
	surePart = 0.8
)

type (
	// Shares holds the fair shares of customers, by their loads. It is safe for concurrent use.
	Shares struct {
		loads func() ([]quota.CustomerLoad, time.Time)

		mu sync.Mutex
		// parts contains the part of the demand within the fair share of each customer that exceeds it.
		parts   map[string]float64
		of      time.Time
		version any
	}
)

// NewShares returns the shares by the loads that a function returns with the time of which they are.
func NewShares(loads func() ([]quota.CustomerLoad, time.Time)) *Shares {
	return &Shares{loads: loads}
}

// WithinPart returns the part of a customer's requests that are within its fair share, 1 if its load is not known. Loads are
// compared among the customers with the same unit. version identifies the units.
func (s *Shares) WithinPart(customer string, version any, unit func(customer string) int) float64 {
	loads, of := s.loads()
	if time.Since(of) > MaxLoadAge {
		return 1
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.parts == nil || !of.Equal(s.of) || s.version != version {
		groups := make(map[int][]quota.CustomerLoad)
		for _, l := range loads {
			groups[unit(l.Name)] = append(groups[unit(l.Name)], l)
		}
		s.parts, s.of, s.version = make(map[string]float64), of, version
		for _, group := range groups {
			addParts(s.parts, group)
		}
	}
	if part, found := s.parts[customer]; found {
		return part
	}
	return 1
}

// addParts adds the parts of the customers that exceed their fair share.
func addParts(parts map[string]float64, loads []quota.CustomerLoad) {
	granted := 0.0
	demands := make([]float64, len(loads))
	for n, l := range loads {
		granted += l.Granted
		demands[n] = l.Demand
	}
	shares := FairShares(granted, demands)
	for n, l := range loads {
		if shares[n] < l.Demand {
			parts[l.Name] = surePart * shares[n] / l.Demand
		}
	}
}

// FairShares divides a capacity max-min fairly: no demand gets more than itself, and a demand that gets less than that
// gets as much as any other.
func FairShares(capacity float64, demands []float64) []float64 {
	order := make([]int, len(demands))
	for n := range order {
		order[n] = n
	}
	slices.SortFunc(order, func(a, b int) int {
		switch {
		case demands[a] < demands[b]:
			return -1
		case demands[a] > demands[b]:
			return 1
		}
		return 0
	})
	shares := make([]float64, len(demands))
	for n, i := range order {
		shares[i] = max(0, min(demands[i], capacity/float64(len(order)-n)))
		capacity -= shares[i]
	}
	return shares
}
