package gooseberryctl

import (
	"context"
	"fmt"
	"time"
)

const (
	stateInForce     = "in force"
	stateDraining    = "draining"
	stateBehind      = "BEHIND"
	stateConflict    = "CONFLICT"
	stateUnreachable = "UNREACHABLE"

	shownDigestChars  = 12
	watchPollInterval = 250 * time.Millisecond
)

type (
	// StatusCommand prints the state of each process.
	StatusCommand struct {
		Source
	}

	// WatchCommand waits until a revision is in force on every process.
	WatchCommand struct {
		Source
		Revision int64         `help:"Revision to wait for. Default: the highest of the platform and all processes."`
		Timeout  time.Duration `help:"Maximum time to wait." default:"9s"`
	}

	// fleetStatus is the state of all processes, compared with the revision that should be in force.
	fleetStatus struct {
		Revision  int64     `json:"revision"`
		InForce   int       `json:"in_force"`
		Processes []Process `json:"processes"`
	}
)

// Run implements the command.
func (c *StatusCommand) Run(o *output) error {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	s, err := c.status(ctx, 0)
	if err != nil {
		return err
	}
	return s.print(o)
}

// Run implements the command.
func (c *WatchCommand) Run(o *output) error {
	started := time.Now()
	shownInForce := -1
	for {
		ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
		s, err := c.status(ctx, c.Revision)
		cancel()
		if err != nil {
			return err
		}
		if s.InForce != shownInForce {
			shownInForce = s.InForce
			o.printLine("%6.2f s  revision %d in force on %d of %d", time.Since(started).Seconds(), s.Revision, s.InForce, len(s.Processes))
		}
		if s.InForce == len(s.Processes) || time.Since(started) > c.Timeout {
			return s.print(o)
		}
		time.Sleep(watchPollInterval)
	}
}

// status queries all processes and compares them with the wanted revision. If wanted is 0, it uses the highest revision of
// the platform and all processes.
func (s *Source) status(ctx context.Context, wanted int64) (*fleetStatus, error) {
	processes, err := s.processes(ctx)
	if err != nil {
		return nil, err
	}
	f := &fleetStatus{Revision: wanted, Processes: processes}
	if wanted == 0 {
		f.Revision = s.published(ctx)
		for _, p := range processes {
			f.Revision = max(f.Revision, p.Revision)
		}
	}
	f.setStates()
	return f, nil
}

// setStates sets the state of each process and counts those that have the revision in force. If processes have different
// contents of the revision, those with the most common content are in force and the others conflict.
func (f *fleetStatus) setStates() {
	processesByDigest := make(map[string]int)
	for _, p := range f.Processes {
		if p.Problem == "" && p.Revision == f.Revision {
			processesByDigest[p.Digest]++
		}
	}
	commonDigest := ""
	for digest, n := range processesByDigest {
		if n > processesByDigest[commonDigest] || (n == processesByDigest[commonDigest] && digest < commonDigest) {
			commonDigest = digest
		}
	}
	for i := range f.Processes {
		p := &f.Processes[i]
		p.State = stateOf(p, f.Revision, commonDigest)
		if p.State == stateInForce || p.State == stateDraining {
			f.InForce++
		}
	}
}

// stateOf returns the state of a process, given the revision and digest that should be in force.
func stateOf(p *Process, revision int64, digest string) string {
	switch {
	case p.Problem != "":
		return stateUnreachable
	case p.Revision < revision || p.Revision == 0:
		return stateBehind
	case p.Revision == revision && p.Digest != digest:
		return stateConflict
	case p.Draining:
		return stateDraining
	default:
		return stateInForce
	}
}

func (f *fleetStatus) print(o *output) error {
	rows := make([][]string, 0, len(f.Processes))
	for _, p := range f.Processes {
		rows = append(rows, p.row())
	}
	header := []string{"PROCESS", "KIND", "DATA CENTRE", "REVISION", "DIGEST", "IN FORCE FOR", "LOAD", "STATE", "NOTE"}
	if err := o.print(f, header, rows); err != nil {
		return err
	}
	o.printLine("revision %d in force on %d of %d", f.Revision, f.InForce, len(f.Processes))
	if f.InForce < len(f.Processes) {
		return &faultError{message: fmt.Sprintf("revision %d is not in force on %d of %d processes",
			f.Revision, len(f.Processes)-f.InForce, len(f.Processes))}
	}
	return nil
}

// row returns the table row of a process.
func (p *Process) row() []string {
	age, load, note := "-", "-", p.Problem
	if p.AgeMS > 0 {
		age = (time.Duration(p.AgeMS) * time.Millisecond).Round(time.Second).String()
	}
	if p.Load.GetTotalPieces() > 0 {
		load = fmt.Sprintf("%d/%d running, %d/%d pieces free", p.Load.GetRunning(), p.Load.GetRunningLimit(),
			p.Load.GetFreePieces(), p.Load.GetTotalPieces())
	}
	if p.RefusedRevision > 0 {
		note = fmt.Sprintf("rejected revision %d", p.RefusedRevision)
	}
	digest := p.Digest[:min(len(p.Digest), shownDigestChars)]
	return []string{
		p.Name, orDash(p.Kind), orDash(p.DataCentre), fmt.Sprint(p.Revision), orDash(digest), age, load, p.State, orDash(note),
	}
}
