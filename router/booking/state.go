package booking

import (
	"time"
)

type (
	// Dump is the bookings section of the state dump.
	Dump struct {
		Revision        int64               `json:"revision"`
		MaxPeerRevision int64               `json:"ahead_revision"`
		ListVersion     int64               `json:"vms_version"`
		Records         int64               `json:"records"`
		ResultBytes     int64               `json:"result_bytes"`
		Running         int                 `json:"running"`
		Pauses          int64               `json:"pauses"`
		Pools           map[string]PoolDump `json:"pools"`
	}

	// PoolDump is the section of one pool in the state dump.
	PoolDump struct {
		Members  []string  `json:"members"`
		Revision int64     `json:"layout_revision"`
		Settled  time.Time `json:"settled"`
		// CoversAfter is the key creation time after which this sidecar decides on every key.
		CoversAfter time.Time `json:"covers_keys_after"`
		// RequiredRevisions maps a VM to the revision that it must have adopted before keys may run here.
		RequiredRevisions map[string]int64 `json:"waits_for"`
		// HandOverCount is the number of earlier homes whose hand-over is complete.
		HandOverCount int `json:"handed_by"`
		// EpochCount is the number of layouts in the history of the pool.
		EpochCount int `json:"layouts"`
	}
)

// State returns the bookings section of the state dump.
func (h *Home) State() Dump {
	h.mu.RLock()
	defer h.mu.RUnlock()
	d := Dump{
		Revision:        h.revision,
		MaxPeerRevision: h.maxPeerRevision,
		ListVersion:     h.listVersion,
		Records:         h.table.records.Load(),
		ResultBytes:     h.table.resultBytes.Load(),
		Running:         h.running.countBelow(maxRevision),
		Pauses:          h.pauses,
		Pools:           make(map[string]PoolDump, len(h.pools)),
	}
	for name, p := range h.pools {
		d.Pools[name] = p.dump(h.maxSkew + ClockBound)
	}
	return d
}

// Settled reports whether no other sidecar can run this sidecar's keys in any pool.
func (h *Home) Settled() bool {
	h.mu.RLock()
	defer h.mu.RUnlock()
	for _, p := range h.pools {
		if len(p.requiredRevisions) > 0 || p.current().settled.IsZero() {
			return false
		}
	}
	return h.revision > 0 && h.revision >= h.maxPeerRevision
}

// ListVersion returns the version of the newest list of VMs.
func (h *Home) ListVersion() int64 {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.listVersion
}

// Leaving reports whether the platform is removing this sidecar's VM.
func (h *Home) Leaving() bool {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.leaving
}

func (p *pool) dump(margin time.Duration) PoolDump {
	e := p.current()
	d := PoolDump{Revision: e.revision, Settled: e.settled, EpochCount: len(p.epochs), HandOverCount: len(e.handedOverSince)}
	d.CoversAfter = e.settled.Add(margin)
	d.RequiredRevisions = make(map[string]int64, len(p.requiredRevisions))
	for name, revision := range p.requiredRevisions {
		d.RequiredRevisions[name] = revision
	}
	for _, m := range e.layout.Members {
		d.Members = append(d.Members, m.Upstream)
	}
	return d
}
