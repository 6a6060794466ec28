package configuration

import (
	"reflect"
	"slices"
)

const (
	// UpstreamAdded is an upstream that only the new configuration contains.
	UpstreamAdded ChangeKind = "added"
	// UpstreamRemoved is an upstream that only the old configuration contains.
	UpstreamRemoved ChangeKind = "removed"
	// UpstreamMoved is an upstream whose pools or role differ.
	UpstreamMoved ChangeKind = "moved"
	// UpstreamLeaves is an upstream that begins to leave: it receives no new work any more.
	UpstreamLeaves ChangeKind = "leaves"
	// UpstreamReturns is an upstream that stops leaving: it receives new work again.
	UpstreamReturns ChangeKind = "returns"
	// UpstreamEdited is an upstream with the same pools and role that differs in another field.
	UpstreamEdited ChangeKind = "edited"
)

type (
	// ChangeKind is the kind of change of an upstream.
	ChangeKind string

	// UpstreamChange is the change of one upstream between two configurations.
	UpstreamChange struct {
		Upstream string     `json:"upstream"`
		Change   ChangeKind `json:"change"`
		OldPools []string   `json:"old_pools"`
		NewPools []string   `json:"new_pools"`
		OldRole  Role       `json:"old_role"`
		NewRole  Role       `json:"new_role"`
	}

	// Difference is the result of Diff.
	Difference struct {
		OldRevision int64            `json:"old_revision"`
		NewRevision int64            `json:"new_revision"`
		Upstreams   []UpstreamChange `json:"upstreams"`
		// Pools, Rules and Partners contain the names of those that were added, removed or edited, sorted.
		Pools    []string `json:"pools"`
		Rules    []string `json:"rules"`
		Partners []string `json:"partners"`
		// Limits reports whether any limit differs.
		Limits bool `json:"limits"`
	}
)

// Diff returns the differences between two configurations. Upstreams are sorted by name; unchanged ones are omitted.
func Diff(before, after *Index) *Difference {
	a, b := before.Configuration(), after.Configuration()
	return &Difference{
		OldRevision: a.Revision,
		NewRevision: b.Revision,
		Upstreams:   diffUpstreams(before, after),
		Pools:       changedNames(a.Pools, b.Pools, func(p Pool) string { return p.Name }),
		Rules:       changedNames(a.Rules, b.Rules, func(r Rule) string { return r.Name }),
		Partners:    changedNames(a.Partners, b.Partners, func(p Partner) string { return p.Name }),
		Limits:      a.Limits != b.Limits,
	}
}

func diffUpstreams(before, after *Index) []UpstreamChange {
	changes := []UpstreamChange{}
	for _, name := range upstreamNames(before, after) {
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

// changeOf returns the kind of change of an upstream, or "" if it is unchanged. before or after is nil if that
// configuration does not contain the upstream.
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

// upstreamNames returns the names of the upstreams in any of the indexes, sorted.
func upstreamNames(indexes ...*Index) []string {
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

// changedNames returns the names of the items that were added, removed or edited, sorted.
func changedNames[T any](before, after []T, name func(T) string) []string {
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
