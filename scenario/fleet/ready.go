package fleet

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"
)

const (
	readyTimeout  = 20 * time.Second
	readyInterval = 20 * time.Millisecond
)

type (
	// stateDump is what the fleet reads of a process's state dump.
	stateDump struct {
		Configuration struct {
			Revision   int64 `json:"revision"`
			VMsVersion int64 `json:"vms_version"`
		} `json:"configuration"`
	}
)

// AwaitReady waits until each entry and sidecar that runs has a configuration and a VM list.
func (f *Fleet) AwaitReady() error {
	deadline := time.NewTimer(readyTimeout)
	defer deadline.Stop()
	tick := time.NewTicker(readyInterval)
	defer tick.Stop()
	for {
		late := f.notReady()
		if late == "" {
			return nil
		}
		select {
		case <-tick.C:
		case <-deadline.C:
			return eris.Errorf("%s: no configuration in force after %s", late, readyTimeout)
		}
	}
}

// notReady returns the name of a process without a configuration, or "".
func (f *Fleet) notReady() string {
	for _, n := range f.nodes {
		if f.processes[n.process()].Running() && !isReady(n.operator) {
			return n.process()
		}
	}
	return ""
}

func isReady(operator string) bool {
	content, err := get(operator, "/debug/state")
	if err != nil {
		return false
	}
	var s stateDump
	return json.Unmarshal(content, &s) == nil && s.Configuration.Revision > 0 && s.Configuration.VMsVersion > 0
}
