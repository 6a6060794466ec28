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

	// Turn is a time at which an upstream may load one model from the weight store.
	Turn struct {
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

// NextTurn returns an upstream's turn at the weight store that lasts or comes next. Turns go
// round by rank and by the clock, so that the store's rate holds over revisions and
// restarts, as long as an upstream loads at most one model in each.
func NextTurn(index *configuration.Index, upstream string, now time.Time) Turn {
	var names []string
	for _, u := range index.Configuration().Upstreams {
		if u.Kind == configuration.KindEngine {
			names = append(names, u.Name)
		}
	}
	perMinute := index.Configuration().Limits.WeightLoadsPerMinute
	if perMinute <= 0 {
		perMinute = defaultLoadsPerMinute
	}
	slot := time.Minute / time.Duration(perMinute)
	round := slot * time.Duration(max(1, len(names)))
	rank := slices.Index(rendezvous.Rank(turnKey, names, len(names)), upstream)
	offset := slot * time.Duration(max(0, rank))
	since := time.Duration(now.UnixNano()) - offset
	number := int64(since / round)
	position := since % round
	if position < slot/2 {
		return Turn{Number: number}
	}
	return Turn{Number: number + 1, Wait: round - position}
}
