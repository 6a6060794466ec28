package scenario

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

const (
	settledPools = "service.bookings.pools.desk"
)

// cmdService changes how a plain service behaves: service NAME answer|drop|hang.
func cmdService(ts *testscript.TestScript, neg bool, args []string) {
	plain(ts, "service", neg)
	if len(args) != 2 {
		ts.Fatalf("usage: service NAME answer|drop|hang")
	}
	ts.Check(stageOf(ts).fleet.SetServiceMode(args[0], args[1]))
}

// cmdSettled waits until sidecars decide on keys that are created now: settled NAME...
func cmdSettled(ts *testscript.TestScript, neg bool, args []string) {
	plain(ts, "settled", neg)
	s := stageOf(ts)
	for _, name := range args {
		if !poll(expectTimeout, func() bool { return s.decides(name) }) {
			ts.Fatalf("%s did not settle within %s", name, expectTimeout)
		}
	}
}

// decides tells whether a sidecar's records cover keys from now on.
func (s *stage) decides(sidecar string) bool {
	pages, err := s.operatorPages(sidecar, "/debug/state")
	if err != nil || len(pages) != 1 {
		return false
	}
	waits, found := Look(pages[0], settledPools+".waits_for")
	settled, _ := Look(pages[0], settledPools+".settled")
	after, _ := Look(pages[0], settledPools+".covers_keys_after")
	at, bad := time.Parse(time.RFC3339Nano, after)
	return found && waits == "{}" && !strings.HasPrefix(settled, "0001") && bad == nil && time.Now().After(at)
}

// runsDocument adds up the runs of keys at several services.
func (s *stage) runsDocument(names []string) ([]byte, error) {
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
