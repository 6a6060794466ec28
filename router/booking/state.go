package booking

import (
	"time"
)

type (
	// Dump is the part of the state dump on bookings.
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

	// PoolDump is the part of the state dump on one pool.
	PoolDump struct {
		Members  []string  `json:"members"`
		Revision int64     `json:"layout_revision"`
		Settled  time.Time `json:"settled"`
		// CoversAfter is the creation time after which each key is decided here.
		CoversAfter       time.Time        `json:"covers_keys_after"`
		RequiredRevisions map[string]int64 `json:"waits_for"`
		HandOverCount     int              `json:"handed_by"`
		EpochCount        int              `json:"layouts"`
	}
)

// State returns the value of the state dump.
func (h *Home) State() Dump {
	h.mu.RLock()
	defer h.mu.RUnlock()
	d := Dump{
		Revision:        h.revision,
		MaxPeerRevision: h.ahead,
		ListVersion:     h.listVersion,
		Records:         h.table.records.Load(),
		ResultBytes:     h.table.bytes.Load(),
		Running:         h.running.below(maxRevision),
		Pauses:          h.doubts,
		Pools:           make(map[string]PoolDump, len(h.pools)),
	}
	for name, p := range h.pools {
		d.Pools[name] = p.dump(h.widest + ClockBound)
	}
	return d
}

// Settled tells whether no other sidecar can run this one's keys in any pool.
func (h *Home) Settled() bool {
	h.mu.RLock()
	defer h.mu.RUnlock()
	for _, p := range h.pools {
		if len(p.needs) > 0 || p.current().settled.IsZero() {
			return false
		}
	}
	return h.revision > 0 && h.revision >= h.ahead
}

// ListVersion returns the version of the newest list of VMs.
func (h *Home) ListVersion() int64 {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.listVersion
}

// Leaving tells whether the platform takes the own VM away.
func (h *Home) Leaving() bool {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.leaving
}

func (p *pool) dump(margin time.Duration) PoolDump {
	e := p.current()
	d := PoolDump{Revision: e.revision, Settled: e.settled, EpochCount: len(p.epochs), HandOverCount: len(e.handed)}
	d.CoversAfter = e.settled.Add(margin)
	d.RequiredRevisions = make(map[string]int64, len(p.needs))
	for name, revision := range p.needs {
		d.RequiredRevisions[name] = revision
	}
	for _, m := range e.layout.Members {
		d.Members = append(d.Members, m.Upstream)
	}
	return d
}
