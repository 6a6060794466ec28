// Package order derives the role and the models of an engine from the configuration, and the times at which
// it may load models.
package order

import (
	"slices"
	"time"

	"gooseberrypin.example/router/configuration"
	"gooseberrypin.example/router/rendezvous"
)

const (
	defaultLoadsPerMinute = 60
	// slotKey is the rendezvous key that ranks engines for the load slots.
	slotKey = "weight-load"
)

type (
	// Target is the desired state of an engine.
	Target struct {
		Role configuration.Role
		// Models is in alphabetical order.
		Models []string
	}

	// LoadSchedule is the schedule of the slots in which one upstream may load models from the weight
	// store. It has one slot in each round.
	LoadSchedule struct {
		slot   time.Duration
		round  time.Duration
		offset time.Duration
	}

	// LoadSlot is a slot in which an upstream may load one model from the weight store.
	LoadSlot struct {
		// Number identifies the slot. It rises by one from each of the upstream's slots to the next.
		Number int64
		// Wait is the time until the slot opens, or 0 if it is open.
		Wait time.Duration
	}

	// Fencing is the fencing token of an order. The token of a later order to the same engine is higher.
	Fencing struct {
		// Revision is the configuration's revision.
		Revision int64
		// Start is when the process that sends the order started, in Unix milliseconds.
		Start int64
		// Counter counts the orders of that process.
		Counter int64
	}
)

// Desired returns the desired state of an upstream: the role of the pools that its labels match,
// and the models of the rules that use these pools. It returns an empty Target when no pool
// matches, or pools of two roles do.
func Desired(index *configuration.Index, upstream string) Target {
	var t Target
	pools := make(map[string]bool)
	for _, p := range index.PoolsOf(upstream) {
		if t.Role != "" && t.Role != p.Role {
			return Target{}
		}
		t.Role = p.Role
		pools[p.Name] = true
	}
	for _, r := range index.Configuration().Rules {
		if r.Model != "" && (pools[r.PrefillPool] || pools[r.DecodePool]) && !slices.Contains(t.Models, r.Model) {
			t.Models = append(t.Models, r.Model)
		}
	}
	slices.Sort(t.Models)
	return t
}

// Equal reports whether an engine with the given role and models is in the desired state. The order of the
// models doesn't matter.
func (t Target) Equal(role string, models []string) bool {
	have := slices.Sorted(slices.Values(models))
	return string(t.Role) == role && slices.Equal(t.Models, have)
}

// Missing returns the number of desired models that are not among the given ones and must be loaded from
// the weight store.
func (t Target) Missing(models []string) int {
	missing := 0
	for _, m := range t.Models {
		if !slices.Contains(models, m) {
			missing++
		}
	}
	return missing
}

// Numbers returns the fencing token in the form that engines compare, from left to right.
func (f Fencing) Numbers() [3]int64 {
	return [3]int64{f.Revision, f.Start, f.Counter}
}

// NewLoadSchedule returns an upstream's schedule for the weight store under one configuration. The slots of a
// round are assigned to the engines by their rendezvous rank, and rounds follow the clock. The limit
// on loads per minute therefore holds over revisions and restarts, provided that an upstream loads at
// most one model in each slot.
func NewLoadSchedule(index *configuration.Index, upstream string) LoadSchedule {
	engines, rank := 0, 0
	own := rendezvous.Score(slotKey, upstream)
	for _, u := range index.Configuration().Upstreams {
		if u.Kind != configuration.KindEngine {
			continue
		}
		engines++
		score := rendezvous.Score(slotKey, u.Name)
		if score > own || (score == own && u.Name < upstream) {
			rank++
		}
	}
	perMinute := index.Configuration().Limits.WeightLoadsPerMinute
	if perMinute <= 0 {
		perMinute = defaultLoadsPerMinute
	}
	slot := time.Minute / time.Duration(perMinute)
	return LoadSchedule{slot: slot, round: slot * time.Duration(max(1, engines)), offset: slot * time.Duration(rank)}
}

// Next returns the slot that is open at now, or otherwise the next one. A slot is open for the first half
// of its length.
func (s LoadSchedule) Next(now time.Time) LoadSlot {
	since := time.Duration(now.UnixNano()) - s.offset
	number := int64(since / s.round)
	position := since % s.round
	if position < s.slot/2 {
		return LoadSlot{Number: number}
	}
	return LoadSlot{Number: number + 1, Wait: s.round - position}
}
