package configuration

import (
	"reflect"
	"slices"
)

const (
	// UpstreamAdded stands in the new configuration only.
	UpstreamAdded ChangeKind = "added"
	// UpstreamRemoved stands in the old configuration only.
	UpstreamRemoved ChangeKind = "removed"
	// UpstreamMoved is in other pools, or has another role.
	UpstreamMoved ChangeKind = "moved"
	// UpstreamLeaves gets no more new work.
	UpstreamLeaves ChangeKind = "leaves"
	// UpstreamReturns gets new work again.
	UpstreamReturns ChangeKind = "returns"
	// UpstreamEdited keeps its pools and differs otherwise.
	UpstreamEdited ChangeKind = "edited"
)

type (
	// ChangeKind tells what happens to an upstream.
	ChangeKind string

	// UpstreamChange is what happens to one upstream.
	UpstreamChange struct {
		Upstream string     `json:"upstream"`
		Change   ChangeKind `json:"change"`
		OldPools []string   `json:"old_pools"`
		NewPools []string   `json:"new_pools"`
		OldRole  Role       `json:"old_role"`
		NewRole  Role       `json:"new_role"`
	}

	// Difference is what changes from one configuration to another.
	Difference struct {
		OldRevision int64            `json:"old_revision"`
		NewRevision int64            `json:"new_revision"`
		Upstreams   []UpstreamChange `json:"upstreams"`
		// Pools, Rules and Partners name those that were added, removed or edited.
		Pools    []string `json:"pools"`
		Rules    []string `json:"rules"`
		Partners []string `json:"partners"`
		// Limits tells that a limit differs.
		Limits bool `json:"limits"`
	}
)

// Diff returns what changes from one configuration to another.
func Diff(before, after *Index) *Difference {
	a, b := before.Configuration(), after.Configuration()
	return &Difference{
		OldRevision: a.Revision,
		NewRevision: b.Revision,
		Upstreams:   diffUpstreams(before, after),
		Pools:       diffNamed(a.Pools, b.Pools, func(p Pool) string { return p.Name }),
		Rules:       diffNamed(a.Rules, b.Rules, func(r Rule) string { return r.Name }),
		Partners:    diffNamed(a.Partners, b.Partners, func(p Partner) string { return p.Name }),
		Limits:      a.Limits != b.Limits,
	}
}

func diffUpstreams(before, after *Index) []UpstreamChange {
	changes := []UpstreamChange{}
	for _, name := range names(before, after) {
		c := UpstreamChange{
			Upstream: name,
			OldPools: poolNames(before.PoolsOf(name)),
			NewPools: poolNames(after.PoolsOf(name)),
			OldRole:  before.RoleOf(name),
			NewRole:  after.RoleOf(name),
		}
		c.Change = changeOf(before.Upstream(name), after.Upstream(name), c)
		if c.Change != "" {
			changes = append(changes, c)
		}
	}
	return changes
}

// changeOf returns what happens to an upstream, or "".
func changeOf(before, after *Upstream, c UpstreamChange) ChangeKind {
	switch {
	case before == nil:
		return UpstreamAdded
	case after == nil:
		return UpstreamRemoved
	case c.OldRole != c.NewRole || !slices.Equal(c.OldPools, c.NewPools):
		return UpstreamMoved
	case !before.Leaving && after.Leaving:
		return UpstreamLeaves
	case before.Leaving && !after.Leaving:
		return UpstreamReturns
	case !reflect.DeepEqual(before, after):
		return UpstreamEdited
	default:
		return ""
	}
}

func names(indexes ...*Index) []string {
	all := make(map[string]bool)
	for _, i := range indexes {
		for name := range i.upstreams {
			all[name] = true
		}
	}
	return sortedKeys(all)
}

func poolNames(pools []*Pool) []string {
	list := make([]string, 0, len(pools))
	for _, p := range pools {
		list = append(list, p.Name)
	}
	slices.Sort(list)
	return list
}

func diffNamed[T any](before, after []T, name func(T) string) []string {
	old := make(map[string]T, len(before))
	for _, item := range before {
		old[name(item)] = item
	}
	changed := make(map[string]bool)
	for _, item := range after {
		previous, found := old[name(item)]
		if !found || !reflect.DeepEqual(previous, item) {
			changed[name(item)] = true
		}
		delete(old, name(item))
	}
	for key := range old {
		changed[key] = true
	}
	return sortedKeys(changed)
}
