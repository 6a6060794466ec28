package configuration

import (
	"fmt"
	"slices"
)

const (
	// routingPart is the name of the part with pools, rules and limits.
	routingPart = "routing"
	// maxChunkBytes is the size, as JSON, above which the list of a part is split further.
	maxChunkBytes = MaxPartBytes / 4
)

// Split splits a configuration into a manifest and parts, which are keyed by SHA-256. Pools, rules and limits form
// one part, upstreams are grouped by data centre, and partners by their position in the list. A typical change
// therefore affects few parts.
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
	byDataCentre := groupByDataCentre(c.Upstreams)
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

func groupByDataCentre(list []Upstream) map[string][]Upstream {
	groups := make(map[string][]Upstream)
	for _, u := range list {
		groups[u.DataCentre] = append(groups[u.DataCentre], u)
	}
	return groups
}

// chunks splits a list into chunks whose JSON is at most maxChunkBytes long. A chunk of a single item may be longer.
func chunks[T any](list []T) [][]T {
	if len(list) == 0 {
		return nil
	}
	if len(list) == 1 || len(marshal(list)) <= maxChunkBytes {
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
