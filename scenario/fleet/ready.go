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
	return f.AwaitRevision(1)
}

// AwaitRevision waits until a revision, or a later one, is in force on each entry and
// sidecar that runs.
func (f *Fleet) AwaitRevision(revision int64) error {
	deadline := time.NewTimer(readyTimeout)
	defer deadline.Stop()
	tick := time.NewTicker(readyInterval)
	defer tick.Stop()
	for {
		late := f.behind(revision)
		if late == "" {
			return nil
		}
		select {
		case <-tick.C:
		case <-deadline.C:
			return eris.Errorf("%s: revision %d is not in force after %s", late, revision, readyTimeout)
		}
	}
}

// behind returns the name of a process without the revision, or "".
func (f *Fleet) behind(revision int64) string {
	for _, n := range f.nodes {
		if f.processes[n.process()].Running() && !has(n.operator, revision) {
			return n.process()
		}
	}
	return ""
}

func has(operator string, revision int64) bool {
	content, err := get(operator, "/debug/state")
	if err != nil {
		return false
	}
	var s stateDump
	return json.Unmarshal(content, &s) == nil && s.Configuration.Revision >= revision && s.Configuration.VMsVersion > 0
}
