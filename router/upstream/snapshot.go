package upstream

import (
	"cmp"
	"slices"
	"time"
)

type (
	// Snapshot is the state of a member in a state dump.
	Snapshot struct {
		ID         string `json:"id"`
		Pool       string `json:"pool"`
		Address    string `json:"address"`
		DataCentre string `json:"data_centre"`
		Phase      string `json:"phase"`
		Draining   bool   `json:"draining"`
		InFlight   int    `json:"in_flight"`
		Tokens     int    `json:"tokens"`
		// EjectedMS is the remaining time for which the member gets no new requests, in milliseconds.
		EjectedMS int64 `json:"ejected_ms"`
		LatencyMS int64 `json:"latency_ms"`
	}
)

// Snapshot returns the state of all members, ordered by ID.
func (d *Directory) Snapshot(now time.Time) []Snapshot {
	d.mu.RLock()
	defer d.mu.RUnlock()
	all := make([]Snapshot, 0, len(d.members))
	for _, m := range d.members {
		load := m.Load()
		all = append(all, Snapshot{
			ID: m.ID, Pool: m.Pool, Address: m.Address, DataCentre: m.DataCentre, Phase: m.Phase.String(),
			Draining: m.Draining, InFlight: load.Requests, Tokens: load.Tokens,
			EjectedMS: max(0, m.unavailableFor(now).Milliseconds()), LatencyMS: m.Latency().Milliseconds(),
		})
	}
	slices.SortFunc(all, func(a, b Snapshot) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

func (h *History) unavailableFor(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return max(h.pausedUntil.Sub(now), h.ejectedUntil.Sub(now), h.claimedUntil.Sub(now))
}
