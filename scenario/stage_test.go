package scenario

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/rotisserie/eris"

	"gooseberrypin.example/scenario/answer"
	"gooseberrypin.example/scenario/fleet"
)

const (
	pollInterval = 20 * time.Millisecond
	// expectTimeout bounds an expectation that names no bound.
	expectTimeout = 10 * time.Second
)

type (
	stageKey struct{}

	// stage is what one script works on.
	stage struct {
		directory string
		binaries  string
		host      string
		naive     []string
		fleet     *fleet.Fleet
		faults    []string

		mu       sync.Mutex
		sent     map[string]*sending
		running  sync.WaitGroup
		senders  map[string]*answer.Sender
		finished context.Context
		finish   context.CancelFunc
	}

	// sending is a request that runs in the background.
	sending struct {
		record *answer.Record
		cancel context.CancelFunc
	}
)

func newStage(directory, binaries, host string, naive []string) *stage {
	s := &stage{
		directory: directory,
		binaries:  binaries,
		host:      host,
		naive:     naive,
		sent:      make(map[string]*sending),
		senders:   make(map[string]*answer.Sender),
	}
	s.finished, s.finish = context.WithCancel(context.Background())
	return s
}

func stageOf(ts *testscript.TestScript) *stage {
	return ts.Value(stageKey{}).(*stage)
}

// close ends the fleet and leaves the logs' ends in the script's log.
func (s *stage) close(t testscript.T) {
	s.finish()
	if s.fleet == nil {
		return
	}
	s.fleet.Close()
	s.running.Wait()
	s.faults = s.fleet.Faults()
	for _, name := range s.fleet.Names() {
		p, err := s.fleet.Process(name)
		if err == nil {
			t.Log("--- " + name + "\n" + p.Tail())
		}
	}
}

// documents returns the JSON documents that an expectation looks at.
func (s *stage) documents(kind, name string) ([][]byte, error) {
	if kind == "state" || kind == "vars" {
		return s.operatorPages(name, "/debug/"+kind)
	}
	if kind == "events" {
		return s.eventCounts(name)
	}
	d, err := s.document(kind, name)
	return [][]byte{d}, err
}

// eventCounts returns the numbers of log events of processes.
func (s *stage) eventCounts(name string) ([][]byte, error) {
	var list [][]byte
	for _, name := range s.names(name) {
		p, err := s.fleet.Process(name)
		if err != nil {
			return nil, err
		}
		content, err := json.Marshal(p.Events())
		if err != nil {
			return nil, err
		}
		list = append(list, content)
	}
	return list, nil
}

// names reads a list of processes; "all" are the entries and sidecars that run.
func (s *stage) names(name string) []string {
	if name == "all" {
		return s.daemons()
	}
	return strings.Split(name, ",")
}

func (s *stage) document(kind, name string) ([]byte, error) {
	switch kind {
	case "answer":
		return s.answerDocument(name)
	case "answers":
		return s.answerCounts(strings.Split(name, ","))
	case "stats", "streams":
		return s.upstreamPage(name, "/v1/"+kind)
	case "runs":
		return s.runsDocument(strings.Split(name, ","))
	case "reads":
		return s.fleet.HTTPGet(s.fleet.PlatformAdminAddress(), "/reads")
	}
	return nil, eris.Errorf("no document %q", kind)
}

func (s *stage) operatorPages(name, path string) ([][]byte, error) {
	var pages [][]byte
	for _, name := range s.names(name) {
		address, err := s.fleet.OperatorAddress(name)
		if err != nil {
			return nil, err
		}
		page, err := s.fleet.HTTPGet(address, path)
		if err != nil {
			page = nil
		}
		pages = append(pages, page)
	}
	return pages, nil
}

// daemons lists the entries and sidecars that run.
func (s *stage) daemons() []string {
	var names []string
	for _, name := range s.fleet.Names() {
		p, err := s.fleet.Process(name)
		if err != nil || !p.Running() {
			continue
		}
		if _, err := s.fleet.OperatorAddress(name); err == nil {
			names = append(names, name)
		}
	}
	return names
}

func (s *stage) upstreamPage(name, path string) ([]byte, error) {
	address, err := s.fleet.UpstreamAddress(name)
	if err != nil {
		return nil, err
	}
	page, err := s.fleet.HTTPGet(address, path)
	if err != nil {
		return nil, nil
	}
	return page, nil
}

func (s *stage) sending(name string) (*sending, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sent, found := s.sent[name]
	if !found {
		return nil, eris.Errorf("nothing was sent as %q", name)
	}
	return sent, nil
}

func (s *stage) sender(entry, partner string) (*answer.Sender, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := entry + " " + partner
	if sender, found := s.senders[key]; found {
		return sender, nil
	}
	address, err := s.fleet.CallerAddress(entry)
	if err != nil {
		return nil, err
	}
	s.senders[key] = answer.NewSender(address, fleet.Credential(partner))
	return s.senders[key], nil
}

// background runs a request until it ends or is cancelled.
func (s *stage) background(name string, record *answer.Record, run func(context.Context)) {
	ctx, cancel := context.WithCancel(s.finished)
	s.mu.Lock()
	s.sent[name] = &sending{record: record, cancel: cancel}
	s.mu.Unlock()
	s.running.Go(func() { run(ctx) })
}

// poll checks until done tells that it is over or the bound has passed.
func poll(bound time.Duration, done func() bool) bool {
	deadline := time.NewTimer(bound)
	defer deadline.Stop()
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		if done() {
			return true
		}
		select {
		case <-tick.C:
		case <-deadline.C:
			return done()
		}
	}
}
