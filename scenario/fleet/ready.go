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
	// stateDump holds the fields of a process's state dump that the fleet reads.
	stateDump struct {
		Configuration struct {
			Revision   int64 `json:"revision"`
			VMsVersion int64 `json:"vms_version"`
		} `json:"configuration"`
	}
)

// AwaitReady waits until each running entry and sidecar has a configuration and a VM list.
func (f *Fleet) AwaitReady() error {
	return f.AwaitRevision(1)
}

// AwaitRevision waits until a revision, or a later one, is in force on each running entry and sidecar. After
// readyTimeout it returns an error that names one process without it.
func (f *Fleet) AwaitRevision(revision int64) error {
	deadline := time.NewTimer(readyTimeout)
	defer deadline.Stop()
	ticker := time.NewTicker(readyInterval)
	defer ticker.Stop()
	for {
		process := f.processWithoutRevision(revision)
		if process == "" {
			return nil
		}
		select {
		case <-ticker.C:
		case <-deadline.C:
			return eris.Errorf("%s: revision %d is not in force after %s", process, revision, readyTimeout)
		}
	}
}

// processWithoutRevision returns the name of a running entry or sidecar on which the revision is not in force, or
// "" if it is in force on all.
func (f *Fleet) processWithoutRevision(revision int64) string {
	for _, n := range f.nodes {
		if f.processes[n.processName()].Running() && !hasRevision(n.operatorAddress, revision) {
			return n.processName()
		}
	}
	return ""
}

// hasRevision reports whether the process with this operator address has the revision, or a later one, and a VM
// list.
func hasRevision(operator string, revision int64) bool {
	content, err := get(operator, "/debug/state")
	if err != nil {
		return false
	}
	var s stateDump
	return json.Unmarshal(content, &s) == nil && s.Configuration.Revision >= revision && s.Configuration.VMsVersion > 0
}
