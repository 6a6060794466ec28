package scenario

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

const (
	deskPoolPath = "service.bookings.pools.desk"
)

// cmdService sets how a plain service handles calls: service NAME answer|drop|hang.
func cmdService(ts *testscript.TestScript, neg bool, args []string) {
	rejectNegation(ts, "service", neg)
	if len(args) != 2 {
		ts.Fatalf("usage: service NAME answer|drop|hang")
	}
	ts.Check(scriptStateOf(ts).fleet.SetServiceMode(args[0], args[1]))
}

// cmdSettled waits until the named sidecars decide on new keys: settled NAME...
func cmdSettled(ts *testscript.TestScript, neg bool, args []string) {
	rejectNegation(ts, "settled", neg)
	s := scriptStateOf(ts)
	for _, name := range args {
		if !poll(expectTimeout, func() bool { return s.isSettled(name) }) {
			ts.Fatalf("%s is not settled after %s", name, expectTimeout)
		}
	}
}

// isSettled reports whether a sidecar waits for no other sidecar and its records cover every key created
// from now on. It returns false if the state dump cannot be read.
func (s *scriptState) isSettled(sidecar string) bool {
	pages, err := s.operatorPages(sidecar, "/debug/state")
	if err != nil || len(pages) != 1 {
		return false
	}
	requiredRevisions, found := Lookup(pages[0], deskPoolPath+".waits_for")
	settled, _ := Lookup(pages[0], deskPoolPath+".settled")
	coversAfterText, _ := Lookup(pages[0], deskPoolPath+".covers_keys_after")
	coversAfter, parseErr := time.Parse(time.RFC3339Nano, coversAfterText)
	return found && requiredRevisions == "{}" && !strings.HasPrefix(settled, "0001") && parseErr == nil && time.Now().After(coversAfter)
}

// runsDocument returns the number of runs of each key, summed over the named services. A service that
// does not answer counts as zero runs.
func (s *scriptState) runsDocument(names []string) ([]byte, error) {
	total := make(map[string]int)
	for _, name := range names {
		page, err := s.upstreamPage(name, "/runs")
		if err != nil {
			return nil, err
		}
		var runs map[string]int
		if json.Unmarshal(page, &runs) != nil {
			continue
		}
		for key, n := range runs {
			total[key] += n
		}
	}
	return json.Marshal(total)
}
