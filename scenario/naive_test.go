package scenario

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestNaive runs scripts with a mechanism switched off: each must fail, or the script
// does not prove that the mechanism is needed.
func TestNaive(t *testing.T) {
	tests := map[string]struct {
		script     string
		mechanisms []string
		// want is the expectation that breaks.
		want string
	}{
		"an entry that passes on the end of a lost stream": {
			script: "whole_answer", mechanisms: []string{"entry.keeper_lost"},
			want: "answers e1,e2,e3,e4,e5,e6: whole=6",
		},
		"keepers without claims": {
			script: "answered_once_keeper_lost", mechanisms: []string{"entry.claim"},
			want: "answer late: state=refused",
		},
		"an entry that stops at once": {
			script: "planned_stop", mechanisms: []string{"entry.drain"},
			want: "answers a,b,c: whole=3",
		},
		"fresh processes that believe the platform": {
			script: "configuration_in_force", mechanisms: []string{"entry.peer_configuration", "sidecar.peer_configuration"},
			want: "state entry1: configuration.revision=2",
		},
		"sidecars that keep the leases of silent keepers": {
			script: "caller_gone", mechanisms: []string{"sidecar.leases"},
			want: "stats decode1: used_pieces=0",
		},
		"sidecars that leave streams of their predecessor": {
			script: "caller_gone", mechanisms: []string{"sidecar.orphans"},
			want: "stats decode1: used_pieces=0",
		},
		"sidecars that run what crashed engines": {
			script: "crashing_request", mechanisms: []string{"sidecar.suspects"},
			want: "reason=quarantined",
		},
		"sidecars that order at once": {
			script: "orders", mechanisms: []string{"sidecar.orders"},
			want: "engine.reshaping=true",
		},
		"sidecars that run each booking they get": {
			script: "at_most_once", mechanisms: []string{"sidecar.bookings"},
			want: "runs service1,service2",
		},
		"sidecars that forget what they ran": {
			script: "refused_did_not_run", mechanisms: []string{"sidecar.bookings"},
			want: "answer a1: state=refused",
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			failed, log := runRecorded(shared.params([]string{scripts + "/" + test.script + ".txtar"}, test.mechanisms))
			is.True(failed) // the naive build breaks the promise
			failure := lastFailure(log)
			t.Logf("%s without %v: %s", test.script, test.mechanisms, failure)
			is.True(strings.Contains(firstLine(failure), test.want)) // it breaks where it is meant to
		})
	}
}
