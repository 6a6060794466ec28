package scenario

import (
	"fmt"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

const (
	// shownBytes bounds what a failed expectation shows of a document.
	shownBytes = 2000
)

type (
	// expectation is a parsed expect command.
	expectation struct {
		kind       string
		name       string
		conditions []Condition
		within     time.Duration
		// lasts is set when the conditions must hold at each look for this long.
		lasts time.Duration
		have  []string
		// last is what was looked at last.
		last [][]byte
	}
)

// cmdExpect waits until conditions hold, or checks that they keep holding:
//
//	expect answer|answers|events|state|vars|stats|streams|runs NAME PATH=VALUE... [within=DURATION | for=DURATION]
//	expect reads PATH=VALUE...
func cmdExpect(ts *testscript.TestScript, neg bool, args []string) {
	plain(ts, "expect", neg)
	e := parseExpectation(ts, args)
	s := stageOf(ts)
	check := func() bool {
		documents, err := s.documents(e.kind, e.name)
		ts.Check(err)
		return e.holds(documents)
	}
	if e.lasts > 0 {
		if poll(e.lasts, func() bool { return !check() }) {
			ts.Fatalf("did not last for %s: %s", e.lasts, e)
		}
		return
	}
	start := time.Now()
	if !poll(e.within, check) {
		ts.Fatalf("not within %s: %s", e.within, e)
	}
	ts.Logf("after %s", time.Since(start).Round(time.Millisecond))
}

// cmdSave sets a variable to a value: save VARIABLE KIND NAME PATH.
func cmdSave(ts *testscript.TestScript, neg bool, args []string) {
	plain(ts, "save", neg)
	if len(args) != 4 {
		ts.Fatalf("usage: save VARIABLE KIND NAME PATH")
	}
	documents, err := stageOf(ts).documents(args[1], args[2])
	ts.Check(err)
	value, found := Look(documents[0], args[3])
	if !found {
		ts.Fatalf("%s %s has no %s: %s", args[1], args[2], args[3], documents[0])
	}
	ts.Setenv(args[0], value)
	ts.Logf("%s=%s", args[0], value)
}

func parseExpectation(ts *testscript.TestScript, args []string) *expectation {
	e := &expectation{within: expectTimeout}
	if len(args) < 2 {
		ts.Fatalf("usage: expect KIND NAME PATH=VALUE...")
	}
	e.kind, args = args[0], args[1:]
	if e.kind != "reads" {
		e.name, args = args[0], args[1:]
	}
	for _, arg := range args {
		var err error
		if d, found := strings.CutPrefix(arg, "within="); found {
			e.within, err = time.ParseDuration(d)
			ts.Check(err)
			continue
		}
		if d, found := strings.CutPrefix(arg, "for="); found {
			e.lasts, err = time.ParseDuration(d)
			ts.Check(err)
			continue
		}
		c, err := ParseCondition(arg)
		ts.Check(err)
		e.conditions = append(e.conditions, c)
	}
	return e
}

// holds tells whether all conditions hold in all documents.
func (e *expectation) holds(documents [][]byte) bool {
	all := true
	e.last = documents
	e.have = make([]string, len(e.conditions))
	for _, document := range documents {
		for i, c := range e.conditions {
			ok, have := c.Holds(document)
			if !ok {
				all = false
				e.have[i] = have
			} else if e.have[i] == "" && len(documents) == 1 {
				e.have[i] = have
			}
		}
	}
	return all
}

// String tells what was expected and what was there.
func (e *expectation) String() string {
	var parts []string
	for i, c := range e.conditions {
		parts = append(parts, fmt.Sprintf("%s%s%s (is %q)", c.Path, c.Operator, c.Value, e.have[i]))
	}
	text := e.kind + " " + e.name + ": " + strings.Join(parts, ", ")
	for _, document := range e.last {
		text += "\n" + string(document[:min(len(document), shownBytes)])
	}
	return text
}
