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
	// expectTimeout is the time limit of an expectation without within=DURATION.
	expectTimeout = 10 * time.Second
)

type (
	scriptStateKey struct{}

	// scriptState is the state of one running script: its fleet and the requests that it has sent.
	scriptState struct {
		directory          string
		binaries           string
		host               string
		disabledMechanisms []string
		fleet              *fleet.Fleet
		// faults are the data races and panics that the fleet's processes reported. close sets them.
		faults []string

		mu             sync.Mutex
		sent           map[string]*sentRequest
		running        sync.WaitGroup
		senders        map[string]*answer.Sender
		requestContext context.Context
		cancelRequests context.CancelFunc
	}

	// sentRequest is a request that a script sends in the background.
	sentRequest struct {
		record *answer.Record
		cancel context.CancelFunc
	}
)

func newScriptState(directory, binaries, host string, disabledMechanisms []string) *scriptState {
	s := &scriptState{
		directory:          directory,
		binaries:           binaries,
		host:               host,
		disabledMechanisms: disabledMechanisms,
		sent:               make(map[string]*sentRequest),
		senders:            make(map[string]*answer.Sender),
	}
	s.requestContext, s.cancelRequests = context.WithCancel(context.Background())
	return s
}

func scriptStateOf(ts *testscript.TestScript) *scriptState {
	return ts.Value(scriptStateKey{}).(*scriptState)
}

// close cancels all requests, stops the fleet, records its faults and writes the last lines of each
// process's log to the log of the script.
func (s *scriptState) close(t testscript.T) {
	s.cancelRequests()
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

// documents returns the JSON documents of a kind. The kinds state, vars and events have one document for each
// process in the list name, the other kinds have one in total.
func (s *scriptState) documents(kind, name string) ([][]byte, error) {
	if kind == "state" || kind == "vars" {
		return s.operatorPages(name, "/debug/"+kind)
	}
	if kind == "events" {
		return s.eventCounts(name)
	}
	d, err := s.document(kind, name)
	return [][]byte{d}, err
}

// eventCounts returns, for each process in the list name, how often each numbered event is in its log.
func (s *scriptState) eventCounts(name string) ([][]byte, error) {
	var list [][]byte
	for _, name := range s.processNames(name) {
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

// processNames splits a list of process names at commas. "all" selects the running entries and sidecars.
func (s *scriptState) processNames(list string) []string {
	if list == "all" {
		return s.daemons()
	}
	return strings.Split(list, ",")
}

// document returns the one document of a kind other than state, vars and events.
func (s *scriptState) document(kind, name string) ([]byte, error) {
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
	return nil, eris.Errorf("unknown kind of document %q", kind)
}

// operatorPages returns an operator page of each process in the list name. The page of a process that
// does not answer is nil.
func (s *scriptState) operatorPages(name, path string) ([][]byte, error) {
	var pages [][]byte
	for _, name := range s.processNames(name) {
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

// daemons returns the names of the running entries and sidecars.
func (s *scriptState) daemons() []string {
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

// upstreamPage returns a page of an upstream, or nil if the upstream does not answer.
func (s *scriptState) upstreamPage(name, path string) ([]byte, error) {
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

// sentRequest returns the request that was sent under a name.
func (s *scriptState) sentRequest(name string) (*sentRequest, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sent, found := s.sent[name]
	if !found {
		return nil, eris.Errorf("no request %q was sent", name)
	}
	return sent, nil
}

// sender returns the sender of a partner at an entry. It creates each sender once.
func (s *scriptState) sender(entry, partner string) (*answer.Sender, error) {
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

// sendInBackground stores a request under a name and calls run in a goroutine. The context of run is
// cancelled by the command cancel and at the end of the script.
func (s *scriptState) sendInBackground(name string, record *answer.Record, run func(context.Context)) {
	ctx, cancel := context.WithCancel(s.requestContext)
	s.mu.Lock()
	s.sent[name] = &sentRequest{record: record, cancel: cancel}
	s.mu.Unlock()
	s.running.Go(func() { run(ctx) })
}

// poll calls condition every pollInterval until it returns true or the timeout has passed, and reports
// whether it returned true. It calls condition once more after the timeout.
func poll(timeout time.Duration, condition func() bool) bool {
	deadline := time.NewTimer(timeout)
	defer deadline.Stop()
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		if condition() {
			return true
		}
		select {
		case <-tick.C:
		case <-deadline.C:
			return condition()
		}
	}
}
