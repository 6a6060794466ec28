package engine

import (
	"slices"
	"strings"
	"time"

	"gooseberrypin.example/router/port"
	"gooseberrypin.example/router/quarantine"
)

type (
	// State is the engine's part of the state dump.
	State struct {
		Upstream  string               `json:"upstream"`
		Down      bool                 `json:"down"`
		Draining  bool                 `json:"draining"`
		Reshaping bool                 `json:"reshaping"`
		Load      port.EngineLoad      `json:"engine_load"`
		Queued    int                  `json:"queued"`
		Attempts  []AttemptState       `json:"attempts"`
		Leases    map[string]int       `json:"leases"`
		Suspects  []quarantine.Suspect `json:"suspects"`
		Counters  Counters             `json:"counters"`
	}

	// AttemptState is one attempt that holds anything.
	AttemptState struct {
		StreamID string `json:"stream_id"`
		Keeper   string `json:"keeper"`
		Queued   bool   `json:"queued"`
		Reserved bool   `json:"reserved"`
		Decoding bool   `json:"decoding"`
	}
)

// State returns what the controller holds.
func (c *Controller) State() State {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := State{
		Upstream:  c.settings.Upstream,
		Down:      c.down,
		Draining:  c.draining,
		Reshaping: c.reshaping,
		Load:      c.load,
		Queued:    c.queue.Len(),
		Attempts:  make([]AttemptState, 0, len(c.works)),
		Leases:    c.leases.ItemCounts(),
		Suspects:  c.suspects.Suspects(time.Now()),
		Counters:  c.counters,
	}
	for _, w := range c.works {
		s.Attempts = append(s.Attempts, AttemptState{
			StreamID: w.item,
			Keeper:   w.keeper,
			Queued:   w.phases&queued != 0,
			Reserved: w.phases&reserved != 0,
			Decoding: w.phases&decoding != 0,
		})
	}
	slices.SortFunc(s.Attempts, func(a, b AttemptState) int { return strings.Compare(a.StreamID, b.StreamID) })
	return s
}
