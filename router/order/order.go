// Package order derives what an engine shall do from the configuration.
package order

import (
	"slices"
	"time"

	"gooseberrypin.example/router/configuration"
	"gooseberrypin.example/router/rendezvous"
)

const (
	defaultLoadsPerMinute = 60
	turnKey               = "weight-load"
)

type (
	// Target is the state that an engine shall have.
	Target struct {
		Role   configuration.Role
		Models []string
	}

	// LoadSchedule are the times at which one upstream may load models.
	LoadSchedule struct {
		slot   time.Duration
		round  time.Duration
		offset time.Duration
	}

	// LoadSlot is a time at which an upstream may load one model from the weight store.
	LoadSlot struct {
		Number int64
		// Wait is the time until it begins. Zero: it lasts.
		Wait time.Duration
	}

	// Fencing orders all orders to one engine.
	Fencing struct {
		Revision int64
		// Start is when the process that orders started, in Unix milliseconds.
		Start   int64
		Counter int64
	}
)

// Desired returns the state of an upstream: the role of the pools that its labels match,
// and the models of the rules that use these pools. The role is empty when no pool
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

// Equal tells whether an engine with the given role and models is as desired.
func (t Target) Equal(role string, models []string) bool {
	have := slices.Sorted(slices.Values(models))
	return string(t.Role) == role && slices.Equal(t.Models, have)
}

// Missing returns the number of models that must be loaded from the weight store.
func (t Target) Missing(models []string) int {
	missing := 0
	for _, m := range t.Models {
		if !slices.Contains(models, m) {
			missing++
		}
	}
	return missing
}

// Numbers returns the fencing number as engines compare it, from left to right.
func (f Fencing) Numbers() [3]int64 {
	return [3]int64{f.Revision, f.Start, f.Counter}
}

// NewLoadSchedule returns an upstream's turns at the weight store under one configuration. Turns go
// round by rank and by the clock, so that the store's rate holds over revisions and
// restarts, as long as an upstream loads at most one model in each.
func NewLoadSchedule(index *configuration.Index, upstream string) LoadSchedule {
	engines, rank := 0, 0
	own := rendezvous.Score(turnKey, upstream)
	for _, u := range index.Configuration().Upstreams {
		if u.Kind != configuration.KindEngine {
			continue
		}
		engines++
		score := rendezvous.Score(turnKey, u.Name)
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

// Next returns the turn that lasts or comes next.
func (t LoadSchedule) Next(now time.Time) LoadSlot {
	since := time.Duration(now.UnixNano()) - t.offset
	number := int64(since / t.round)
	position := since % t.round
	if position < t.slot/2 {
		return LoadSlot{Number: number}
	}
	return LoadSlot{Number: number + 1, Wait: t.round - position}
}
