package configuration

import (
	"fmt"
	"slices"
)

const (
	// routingPart is the part with pools, rules and limits.
	routingPart = "routing"
	// splitBytes is the size above which a group is split further.
	splitBytes = MaxPartBytes / 4
)

// Split cuts a configuration into a manifest and parts by their SHA-256: pools, rules and
// limits in one part, upstreams by data centre, partners by position. A change touches few parts.
func Split(c *Configuration) (manifest []byte, parts map[string][]byte) {
	m := Manifest{Revision: c.Revision}
	parts = make(map[string][]byte)
	add := func(name string, p part) {
		content := marshal(p)
		digest := Digest(content)
		parts[digest] = content
		m.Parts = append(m.Parts, PartReference{Name: name, SHA256: digest, Bytes: int64(len(content))})
	}
	limits := c.Limits
	add(routingPart, part{Pools: c.Pools, Rules: c.Rules, Limits: &limits})
	byDataCentre := groupUpstreams(c.Upstreams)
	for _, dataCentre := range sortedKeys(byDataCentre) {
		for i, group := range chunks(byDataCentre[dataCentre]) {
			add(fmt.Sprintf("upstreams-%s-%d", dataCentre, i), part{Upstreams: group})
		}
	}
	for i, group := range chunks(c.Partners) {
		add(fmt.Sprintf("partners-%d", i), part{Partners: group})
	}
	return marshal(m), parts
}

func groupUpstreams(list []Upstream) map[string][]Upstream {
	groups := make(map[string][]Upstream)
	for _, u := range list {
		groups[u.DataCentre] = append(groups[u.DataCentre], u)
	}
	return groups
}

// chunks cuts a list so that no chunk's JSON is larger than splitBytes, unless a single
// item is.
func chunks[T any](list []T) [][]T {
	if len(list) == 0 {
		return nil
	}
	if len(list) == 1 || len(marshal(list)) <= splitBytes {
		return [][]T{list}
	}
	half := len(list) / 2
	return slices.Concat(chunks(list[:half]), chunks(list[half:]))
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
