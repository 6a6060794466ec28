package scenario

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestNaive runs scripts with mechanisms switched off. Each script must fail at the expected condition.
// A script that passes does not test the mechanism.
func TestNaive(t *testing.T) {
	tests := map[string]struct {
		script     string
		mechanisms []string
		// want is a part of the expectation that fails.
		want string
	}{
		"entry forwards the end of an interrupted stream": {
			script: "whole_answer", mechanisms: []string{"entry.keeper_lost"},
			want: "answers e1,e2,e3,e4,e5,e6: whole=6",
		},
		"entries keep requests without claims": {
			script: "answered_once_keeper_lost", mechanisms: []string{"entry.claim"},
			want: "answer late: state=refused",
		},
		"entry stops without draining": {
			script: "planned_stop", mechanisms: []string{"entry.drain"},
			want: "answers a,b,c: whole=3",
		},
		"restarted processes read the platform only": {
			script: "configuration_in_force", mechanisms: []string{"entry.peer_configuration", "sidecar.peer_configuration"},
			want: "state entry1: configuration.revision=2",
		},
		"sidecars keep leases without heartbeats": {
			script: "caller_gone", mechanisms: []string{"sidecar.leases"},
			want: "stats decode1: used_pieces=0",
		},
		"restarted sidecars keep orphaned streams": {
			script: "caller_gone", mechanisms: []string{"sidecar.orphans"},
			want: "stats decode1: used_pieces=0",
		},
		"sidecars run quarantined prompts": {
			script: "crashing_request", mechanisms: []string{"sidecar.suspects"},
			want: "reason=quarantined",
		},
		"sidecars send orders while streams run": {
			script: "orders", mechanisms: []string{"sidecar.orders"},
			want: "engine.reshaping=true",
		},
		"sidecars run every booking that arrives": {
			script: "at_most_once", mechanisms: []string{"sidecar.bookings"},
			want: "runs service1,service2",
		},
		"sidecars store no booking records": {
			script: "refused_did_not_run", mechanisms: []string{"sidecar.bookings"},
			want: "answer a1: state=refused",
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			failed, log := runRecorded(shared.params([]string{scriptDirectory + "/" + test.script + ".txtar"}, test.mechanisms))
			is.True(failed) // the script fails without the mechanism
			failure := failureDetail(log)
			t.Logf("%s without %v: %s", test.script, test.mechanisms, failure)
			is.True(strings.Contains(firstLine(failure), test.want)) // the script fails at the expected condition
		})
	}
}
