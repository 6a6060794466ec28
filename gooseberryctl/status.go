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

	shownDigest = 12
	watchPoll   = 250 * time.Millisecond
)

type (
	// StatusCommand shows each process.
	StatusCommand struct {
		Source
	}

	// WatchCommand follows a change.
	WatchCommand struct {
		Source
		Revision int64         `help:"Revision to wait for. Default: the platform's, else the highest of any process."`
		Timeout  time.Duration `help:"How long to wait." default:"9s"`
	}

	// fleetStatus compares the processes with the revision that should be in force.
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
	shown := -1
	for {
		ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
		s, err := c.status(ctx, c.Revision)
		cancel()
		if err != nil {
			return err
		}
		if s.InForce != shown {
			shown = s.InForce
			o.line("%6.2f s  revision %d in force on %d of %d", time.Since(started).Seconds(), s.Revision, s.InForce, len(s.Processes))
		}
		if s.InForce == len(s.Processes) || time.Since(started) > c.Timeout {
			return s.print(o)
		}
		time.Sleep(watchPoll)
	}
}

// status asks all processes. Without a wanted revision it takes the platform's, or the
// highest of any process when that is higher.
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
	f.judge()
	return f, nil
}

// judge sets the state of each process. Where contents conflict, the most common one counts.
func (f *fleetStatus) judge() {
	votes := make(map[string]int)
	for _, p := range f.Processes {
		if p.Problem == "" && p.Revision == f.Revision {
			votes[p.Digest]++
		}
	}
	common := ""
	for digest, n := range votes {
		if n > votes[common] || (n == votes[common] && digest < common) {
			common = digest
		}
	}
	for i := range f.Processes {
		p := &f.Processes[i]
		p.State = stateOf(p, f.Revision, common)
		if p.State == stateInForce || p.State == stateDraining {
			f.InForce++
		}
	}
}

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
	o.line("revision %d in force on %d of %d", f.Revision, f.InForce, len(f.Processes))
	if f.InForce < len(f.Processes) {
		return &finding{text: fmt.Sprintf("revision %d is not in force on %d of %d processes",
			f.Revision, len(f.Processes)-f.InForce, len(f.Processes))}
	}
	return nil
}

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
		note = fmt.Sprintf("keeps revision %d out", p.RefusedRevision)
	}
	digest := p.Digest[:min(len(p.Digest), shownDigest)]
	return []string{
		p.Name, orDash(p.Kind), orDash(p.DataCentre), fmt.Sprint(p.Revision), orDash(digest), age, load, p.State, orDash(note),
	}
}
